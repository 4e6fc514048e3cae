package routerhttp

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/harriernotch/harriernotch/internal/failure"
)

// writeErrorEvent sends an event that says that the stream is incomplete. Write errors
// are ignored, because the connection is aborted next anyway.
func writeErrorEvent(w http.ResponseWriter) {
	body := failure.BodyOf(failure.New(failure.StreamBroken, "the answer broke off; what was received is not whole"))
	raw, err := json.Marshal(body)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "\n\nevent: error\ndata: %s\n\n", raw)
	_ = http.NewResponseController(w).Flush()
}
