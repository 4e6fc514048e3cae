package routerhttp

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/harriernotch/harriernotch/internal/failure"
)

// writeBrokenEvent tells the reader of a stream that it ends early. Errors are
// of no interest: the connection is cut next.
func writeErrorEvent(w http.ResponseWriter) {
	body := failure.BodyOf(failure.New(failure.StreamBroken, "the answer broke off; what was received is not whole"))
	raw, err := json.Marshal(body)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "\n\nevent: error\ndata: %s\n\n", raw)
	_ = http.NewResponseController(w).Flush()
}
