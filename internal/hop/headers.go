package hop

import (
	"net/http"
	"strconv"
	"strings"
)

// HeaderReplayed marks an answer to a repeat of a request with an idempotency key that
// has already run: the request wasn't run again.
const HeaderReplayed = "Harriernotch-Replayed"

// ownHeaderPrefix is the prefix of the system's own headers. CopyHeaders drops them;
// each hop sets its own.
const ownHeaderPrefix = "Harriernotch-"

// notForwarded holds the headers that apply to one connection only, carry the caller's
// credentials, or mark the request as idempotent to http.Transport, which replays such a
// request if it can send the body again.
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

// connectionHeaders holds the headers that apply to one connection only.
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

// CopyEndToEnd copies all end-to-end headers: all except those in connectionHeaders and
// those that the Connection header names.
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

// CopyHeaders copies the headers that may be passed on to the next hop: all except
// those in notForwarded and the system's own.
func CopyHeaders(to, from http.Header) {
	for name, values := range from {
		if notForwarded[name] || strings.HasPrefix(name, ownHeaderPrefix) {
			continue
		}
		to[name] = values
	}
}

// CopyAnswerHeaders copies an answer's headers to the next hop. A known length is passed
// on, so that a truncated answer can't be taken for a complete one. A stream's length is
// not: a stream without its closing event must be aborted at its end, which the receiver
// couldn't notice after it has received the announced length.
func CopyAnswerHeaders(to http.Header, answer *http.Response) {
	CopyHeaders(to, answer.Header)
	if answer.ContentLength >= 0 && !isEventStream(answer.Header) {
		to.Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
}
