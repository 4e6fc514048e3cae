package daemon

import (
	"log"
	"strings"

	"github.com/sirupsen/logrus"
)

// serverLog writes the HTTP server's own error messages to the node's log at debug level.
type serverLog struct{ log logrus.FieldLogger }

// Write implements io.Writer.
func (l serverLog) Write(line []byte) (int, error) {
	l.log.Debug(strings.TrimSpace(string(line)))
	return len(line), nil
}

func newServerLog(target logrus.FieldLogger) *log.Logger {
	return log.New(serverLog{target}, "", 0)
}
