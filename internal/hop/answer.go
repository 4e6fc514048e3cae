package hop

import (
	"net/http"
	"regexp"
	"strings"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"
)

// InvalidAnswerError means that bytes were received that are no valid answer. The request may have run.
type InvalidAnswerError struct {
	// Reason says what is wrong, without the bytes.
	Reason string
}

func (e *InvalidAnswerError) Error() string { return "the answer is invalid: " + e.Reason }

// IsInvalidAnswer reports whether an error of a Transport means that an answer was received that isn't valid.
func IsInvalidAnswer(err error) bool {
	var invalid *InvalidAnswerError
	return errors.As(err, &invalid)
}

// unreadableHead matches the errors of net/http for heads that it can't read, which quote them.
var unreadableHead = regexp.MustCompile(`(malformed [A-Za-z ]+|(?:bad|invalid|multiple) Content-Length[A-Za-z ]*|un[a-z]+ transfer encoding|transfer encodings)[:;]? .*"`)

// withoutBytes returns the error of reading an answer, or an InvalidAnswerError in place of one that quotes what was
// read: bytes of a back end belong into no log.
func withoutBytes(err error) error {
	if found := unreadableHead.FindStringSubmatch(err.Error()); found != nil {
		return &InvalidAnswerError{Reason: strings.TrimSpace(found[1])}
	}
	return err
}

// headFault returns what is wrong with the head of the answer to a request, or "".
func headFault(request *http.Request, answer *http.Response) string {
	if reason := statusFault(request, answer); reason != "" {
		return reason
	}
	if reason := framingFault(answer); reason != "" {
		return reason
	}
	if !httpguts.ValidHeaderFieldValue(answer.Status) {
		return "its status line has a character that it can't have"
	}
	return fieldFault(answer.Header)
}

// framingFault returns what is wrong with how the answer says where its body ends, or "".
func framingFault(answer *http.Response) string {
	switch {
	case answer.ProtoMajor != 1 && answer.ProtoMajor != 2:
		return "its version of HTTP isn't one that was asked for"
	case !answer.ProtoAtLeast(1, 1) && answer.ContentLength < 0:
		return "it has no length, and chunks aren't read in its version of HTTP" // net/http would pass their framing on
	case answer.StatusCode == http.StatusNoContent && (len(answer.TransferEncoding) > 0 || !isNone(answer.Header.Get("Content-Length"))):
		return "it says that it has a body, which its status can't have"
	default:
		return ""
	}
}

// isNone reports whether the value of a Content-Length field announces no body.
func isNone(length string) bool { return length == "" || length == "0" }

const (
	// lowestStatus is the lowest status of an answer that isn't informational, and highestStatus the highest that has a
	// meaning.
	lowestStatus  = 200
	highestStatus = 599
)

// statusFault returns what is wrong with the status of the answer to a request, or "". net/http passes informational
// answers on only if they are the last that is sent on their connection.
func statusFault(request *http.Request, answer *http.Response) string {
	switch {
	case answer.StatusCode == http.StatusSwitchingProtocols && request.Header.Get("Upgrade") != "":
		return ""
	case answer.StatusCode < lowestStatus || answer.StatusCode > highestStatus:
		return "its status isn't that of an answer to this request"
	default:
		return ""
	}
}

// fieldFault returns what is wrong with the names and values of fields, or "".
func fieldFault(fields http.Header) string {
	for name, values := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return "the name of a field has a character that names can't have"
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return "the value of a field has a character that values can't have"
			}
		}
	}
	return ""
}
