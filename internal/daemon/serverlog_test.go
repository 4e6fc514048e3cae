package daemon

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/eventlog"
)

// Guards against a panic of a handler that leaves no line on a log without debug lines.
func TestPanicOfAHandlerIsLogged(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	log := eventlog.New(&output, logrus.InfoLevel, nil)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("odd request") }))
	server.Config.ErrorLog = newServerLog(log.Entry())
	server.Start()
	_, err := http.Get(server.URL)
	is.True(err != nil)
	server.Close()
	log.Close()
	is.True(strings.Contains(output.String(), `"msg":"node.task_panicked"`))
	is.True(strings.Contains(output.String(), `"task":"serve_request"`))
	is.True(strings.Contains(output.String(), "odd request"))
}
