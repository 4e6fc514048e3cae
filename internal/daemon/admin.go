package daemon

import (
	"net/http"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/failure"
)

// adminHandler returns the handler of the operators' endpoints.
func (g *Gateway) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !g.state.Ready() {
			failure.WriteHTTP(w, failure.New(failure.NotReady, "the gateway takes no new work"))
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.Handle("GET /metrics", g.pages.handler(g.metrics.Handler))
	mux.Handle("GET /status", g.pages.handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, g.status()) })))
	mux.HandleFunc("DELETE /withheld/{fingerprint}", g.releaseWithheld)
	return bounded(mux)
}

// releaseWithheld serves an operator's command to release the withheld requests with a
// fingerprint.
func (g *Gateway) releaseWithheld(w http.ResponseWriter, r *http.Request) {
	fingerprint, err := dispatch.ParseFingerprint(r.PathValue("fingerprint"))
	if err != nil {
		failure.WriteHTTP(w, failure.New(failure.InvalidRequest, "the fingerprint isn't one; give 16 hexadecimal digits, as the status shows them"))
		return
	}
	if !g.state.ReleaseWithheld(fingerprint) {
		failure.WriteHTTP(w, failure.New(failure.UnknownRoute, "no requests with this fingerprint are withheld here"))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
