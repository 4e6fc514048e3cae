package failure

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers that carry a failure next to its JSON body.
const (
	// HeaderKind carries the kind's stable name.
	HeaderKind = "Harriernotch-Error"
	// HeaderRan states whether the request ran: no, yes or unknown.
	HeaderRan = "Harriernotch-Ran"
)

// Body is the JSON form of a failure, in the shape that OpenAI-style clients
// expect, with the system's own fields added.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the content of Body.
type BodyError struct {
	Message           string  `json:"message"`
	Type              string  `json:"type"`
	Ran               Ran     `json:"ran"`
	Retry             bool    `json:"retry"`
	RetryAfterSeconds float64 `json:"retry_after_seconds,omitempty"`
}

// BodyOf returns the JSON form of err.
func BodyOf(err error) Body {
	typed := From(err)
	answer := typed.Kind.Answer()
	return Body{Error: BodyError{
		Message:           typed.Message,
		Type:              answer.Name,
		Ran:               answer.Ran,
		Retry:             answer.Retry,
		RetryAfterSeconds: typed.RetryDelay().Seconds(),
	}}
}

// WriteHTTP answers a request with err. It must not be called after a part of
// another answer was written.
func WriteHTTP(w http.ResponseWriter, err error) {
	WriteHTTPWith(w, err, retryAfterSeconds)
}

// WriteHTTPWith is WriteHTTP with another format of the Retry-After header, for
// callers that accept fractions of a second.
func WriteHTTPWith(w http.ResponseWriter, err error, formatRetryAfter func(time.Duration) string) {
	typed := From(err)
	answer := typed.Kind.Answer()
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderKind, answer.Name)
	header.Set(HeaderRan, string(answer.Ran))
	if wait := typed.RetryDelay(); answer.Retry && wait > 0 {
		header.Set("Retry-After", formatRetryAfter(wait))
	}
	w.WriteHeader(answer.Status)
	// An error of Encode is ignored: the caller may have disconnected, and the error
	// concerns no one else.
	_ = json.NewEncoder(w).Encode(BodyOf(typed))
}

// maxRetryAfter limits the delay that ParseRetryAfter returns.
const maxRetryAfter = 24 * time.Hour

// ParseRetryAfter parses a Retry-After header in seconds, with or without a fraction. It returns
// 0 for an empty header and for one that isn't a positive number of seconds, such as a date.
func ParseRetryAfter(header string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(header), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// retryAfterSeconds formats a delay for the Retry-After header, which takes whole
// seconds; it rounds up.
func retryAfterSeconds(wait time.Duration) string {
	return strconv.Itoa(int(math.Ceil(wait.Seconds())))
}
