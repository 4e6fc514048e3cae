package soak

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/harriernotch/harriernotch/internal/soak/wire"
)

// An answer may go on without end, with bytes that are none: until its connection is closed.

const (
	// endlessPart is how much of an endless answer is written at once, and endlessPause the time between two
	// writes.
	endlessPart  = 32 << 10
	endlessPause = 5 * time.Millisecond
	// endlessLength is a length that no answer reaches. Without one, the end of the connection would be the end of
	// a whole answer.
	endlessLength = "Content-Length: 1000000000000\r\n"
)

// endlessForm is where an answer goes on without end.
type endlessForm uint8

const (
	endlessField endlessForm = iota
	endlessBody
	endlessEvent
	endlessForms
)

// answerEndlessly runs a request and sends an answer that never ends; turn selects its form.
func (b *backEnd) answerEndlessly(w http.ResponseWriter, forwarded wire.Forwarded, turn int) {
	b.fleet.environment.Protocol().WriteStamp(w.Header(), forwarded.Request, b.id())
	header := w.Header().Clone()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // unreachable: the server speaks HTTP/1.1
	}
	defer conn.Close()
	var begin strings.Builder
	begin.WriteString("HTTP/1.1 200 OK\r\n")
	_ = header.Write(&begin) // a Builder takes everything
	begin.WriteString(map[endlessForm]string{
		endlessField: "X-Endless: ",
		endlessBody:  endlessLength + "\r\n",
		endlessEvent: "Content-Type: text/event-stream\r\n" + endlessLength + "\r\nid: 1\ndata: ",
	}[endlessForm(turn%int(endlessForms))])
	_, err = io.WriteString(conn, begin.String())
	for part := strings.Repeat("x", endlessPart); err == nil; time.Sleep(endlessPause) {
		_, err = io.WriteString(conn, part)
	}
}
