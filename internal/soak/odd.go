package soak

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/harriernotch/harriernotch/internal/soak/wire"
)

// A back end in trouble may send bytes that are no valid answer: with odd names of fields, or an odd status.

const (
	// oddStatus is the status of odd answers whose status isn't what is odd. No other answer has it.
	oddStatus = 299
	oddBody   = "odd\n"
)

// oddAnswer is the beginning of an answer up to its status, and all that follows the fields that every answer has.
type oddAnswer struct{ begin, end string }

// oddAnswers are what is sent in place of an answer.
var oddAnswers = []oddAnswer{
	{oddLine, "Odd Name: x\r\n" + oddLength + "\r\n" + oddBody},
	{oddLine, "Odd Name: x\r\nContent-Length: 0\r\n\r\n"},
	{oddLine, "Transfer-Encoding : chunked\r\n\r\n" + oddChunks + "\r\n"},
	{oddLine, "Content-Length : 1\r\n\r\n" + oddBody},
	{oddLine, "Transfer-Encoding: chunked\r\n\r\n" + oddChunks + "Odd Name: x\r\n\r\n"},
	{strings.Replace(oddLine, "1.1", "1.0", 1), "Transfer-Encoding: chunked\r\n\r\n" + oddChunks + "\r\n"},
	{"HTTP/1.1 103 Early\r\nOdd Name: x\r\n\r\n" + oddLine, oddLength + "\r\n" + oddBody},
	{"HTTP/1.1 101 Odd\r\n", oddLength + "\r\n" + oddBody},
	{"HTTP/1.1 000 Odd\r\n", oddLength + "\r\n" + oddBody},
	{"HTTP/1.1 099 Odd\r\n", oddLength + "\r\n" + oddBody},
	{"HTTP/1.1 600 Odd\r\n", oddLength + "\r\n" + oddBody},
}

var (
	oddLine   = "HTTP/1.1 " + strconv.Itoa(oddStatus) + " Odd\r\n"
	oddLength = "Content-Length: " + strconv.Itoa(len(oddBody)) + "\r\n"
	oddChunks = strconv.FormatInt(int64(len(oddBody)), 16) + "\r\n" + oddBody + "\r\n0\r\n"
)

// answerOddly runs a request and sends bytes that are no valid answer to it; turn selects them.
func (b *backEnd) answerOddly(w http.ResponseWriter, r *http.Request, forwarded wire.Forwarded, turn int) {
	b.fleet.environment.Protocol().WriteStamp(w.Header(), forwarded.Request, b.id())
	if isStream(r.URL.Path) {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	header := w.Header().Clone()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // unreachable: the server speaks HTTP/1.1
	}
	defer conn.Close()
	odd := oddAnswers[turn%len(oddAnswers)]
	var text strings.Builder
	text.WriteString(odd.begin)
	_ = header.Write(&text) // a Builder takes everything
	text.WriteString(odd.end)
	_, _ = io.WriteString(conn, text.String()) // fails if the gateway has gone
}

// checkOdd checks that an answer isn't an odd one. The mutex is held.
func (c *checker) checkOdd(s sentRequest, r reply) {
	isOdd := r.status == oddStatus || r.status != 0 && (r.status < http.StatusOK || r.status > http.StatusNetworkAuthenticationRequired)
	if isOdd {
		c.failLocked(PromiseOwn, "%s through %s got an answer that is none, with status %d, whole %t", s.request, s.gateway, r.status, r.whole)
	}
}
