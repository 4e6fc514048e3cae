package daemon

import (
	"log"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/eventlog"
)

// serverLog writes the HTTP server's own error messages to the node's log at debug level, and panics of handlers as
// those of background tasks are written.
type serverLog struct{ log logrus.FieldLogger }

const (
	// serverPanic is how the server's message about a panic of a handler begins.
	serverPanic = "http: panic serving"
	// taskServeRequest names the handler of a request among the tasks in the log.
	taskServeRequest = "serve_request"
)

// Write implements io.Writer.
func (l serverLog) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	if !strings.HasPrefix(text, serverPanic) {
		l.log.Debug(text)
		return len(line), nil
	}
	cause, stack, _ := strings.Cut(text, "\n")
	l.log.WithFields(logrus.Fields{"task": taskServeRequest, "cause": cause, "stack": stack}).Warn(string(eventlog.TaskPanicked))
	return len(line), nil
}

func newServerLog(target logrus.FieldLogger) *log.Logger {
	return log.New(serverLog{target}, "", 0)
}
