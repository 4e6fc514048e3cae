package hop

import (
	"net/http"

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

// headFault returns what is wrong with the head of the answer to a request, or "".
func headFault(request *http.Request, answer *http.Response) string {
	if reason := statusFault(request, answer); reason != "" {
		return reason
	}
	return fieldFault(answer.Header)
}

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
