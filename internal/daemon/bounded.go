package daemon

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/gateway"
)

const (
	// answerWriteTimeout is how long a client of a listener other than the callers' may take to read an answer.
	answerWriteTimeout = 5 * time.Second
	// maxPagesAtOnce is the number of pages (status and metrics) that are made, or wait to be read, at the same time. A
	// page of a large fleet has some hundred kilobytes.
	maxPagesAtOnce = 8
)

// bounded returns a handler for the listeners other than the callers'. It bounds the time of each request's body, which
// none of them needs, and of its answer. A connection that is upgraded isn't bound by it.
func bounded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// An error means that the connection has ended.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerWriteTimeout))
		if r.Body != http.NoBody {
			gateway.EndBody(w, r)
		}
		next.ServeHTTP(w, r)
	})
}

// pages bounds the number of pages that are made at the same time.
type pages struct {
	slots   chan struct{}
	refused tally.Counter
}

func newPages(scope tally.Scope) *pages {
	return &pages{slots: make(chan struct{}, maxPagesAtOnce), refused: scope.Counter("pages_refused")}
}

// handler returns the handler of a page.
func (p *pages) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case p.slots <- struct{}{}:
			defer func() { <-p.slots }()
			next.ServeHTTP(w, r)
		default:
			p.refused.Inc(1)
			failure.WriteHTTP(w, failure.New(failure.Overloaded, "too many pages are being read; try again"))
		}
	})
}
