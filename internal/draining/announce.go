package draining

import (
	"net/http"
	"sync/atomic"
)

// announcingWriter adds the announcement of the connection's close to the head of an answer.
type announcingWriter struct {
	http.ResponseWriter
	isClosing *atomic.Bool
}

// WriteHeader implements http.ResponseWriter.
func (w *announcingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.announce()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *announcingWriter) Write(part []byte) (int, error) {
	w.announce() // without effect once the head was written
	return w.ResponseWriter.Write(part)
}

// FlushError is called by http.ResponseController.
func (w *announcingWriter) FlushError() error {
	w.announce()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the writer for the other methods of http.ResponseController.
func (w *announcingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *announcingWriter) announce() {
	if w.isClosing.Load() {
		w.Header().Set("Connection", "close")
	}
}
