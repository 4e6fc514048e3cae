package daemon

import (
	"log"
	"strings"

	"github.com/sirupsen/logrus"
)

// serverLog passes the HTTP server's own complaints to the node's log.
type serverLog struct{ log logrus.FieldLogger }

// Write implements io.Writer.
func (l serverLog) Write(line []byte) (int, error) {
	l.log.Debug(strings.TrimSpace(string(line)))
	return len(line), nil
}

func newServerLog(target logrus.FieldLogger) *log.Logger {
	return log.New(serverLog{target}, "", 0)
}
