package hop

import (
	"net/http"
	"strconv"
	"strings"
)

// HeaderReplayed marks an answer that was kept from the first run under an
// idempotency key.
const HeaderReplayed = "Harriernotch-Replayed"

// ownHeaderPrefix begins the system's own headers; they are set anew at every
// hop and never passed on.
const ownHeaderPrefix = "Harriernotch-"

// notPassed are the headers that belong to one connection, carry the caller's
// secret, or would let a transport replay the request.
var notForwarded = map[string]bool{
	"Authorization":       true,
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Host":                true,
	"Idempotency-Key":     true,
	"Keep-Alive":          true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"X-Idempotency-Key":   true,
}

// connectionHeaders are the headers that belong to one connection.
var connectionHeaders = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Host":                true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// CopyEndToEnd copies every header but those that belong to one connection,
// whether by custom or because the Connection header names them.
func CopyEndToEnd(to, from http.Header) {
	named := map[string]bool{}
	for _, list := range from["Connection"] {
		for _, name := range strings.Split(list, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if connectionHeaders[name] || named[name] {
			continue
		}
		to[name] = values
	}
}

// CopyHeaders copies what may pass from one hop to the next.
func CopyHeaders(to, from http.Header) {
	for name, values := range from {
		if notForwarded[name] || strings.HasPrefix(name, ownHeaderPrefix) {
			continue
		}
		to[name] = values
	}
}

// CopyAnswerHeaders copies an answer's headers to the next hop. A known length
// is passed on, so that a short answer can't look whole. A stream's is not: one
// that lacks its closing event must still be broken off visibly at its end.
func CopyAnswerHeaders(to http.Header, answer *http.Response) {
	CopyHeaders(to, answer.Header)
	if answer.ContentLength >= 0 && !isEventStream(answer.Header) {
		to.Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
}
