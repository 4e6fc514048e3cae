package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Service is a plain HTTP service. It answers every call with the call's method, path and body, and
// records the calls that it ran.
type Service struct {
	// Delay is the processing time of a call.
	Delay time.Duration

	mutex sync.Mutex
	runs  []Run
}

// Run is one call that a back end ran.
type Run struct {
	// RequestID is the request's ID from the header HeaderRequestID.
	RequestID string
	// Body is the body of the call; Engine leaves it empty.
	Body string
}

// HeaderRequestID is the header that carries the request's ID to back ends.
const HeaderRequestID = "X-Request-Id"

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mutex.Lock()
	s.runs = append(s.runs, Run{RequestID: r.Header.Get(HeaderRequestID), Body: string(body)})
	count := len(s.runs)
	s.mutex.Unlock()
	time.Sleep(s.Delay)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Service-Run", fmt.Sprint(count))
	_, _ = fmt.Fprintf(w, "%s %s %s\n", r.Method, r.URL.Path, body)
}

// Runs returns the calls that the service has started to run.
func (s *Service) Runs() []Run {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Run(nil), s.runs...)
}
