package hop

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// halfHeads are heads of answers by how they frame the body.
var halfHeads = map[string]string{
	"length":         "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 4\r\n\r\n",
	"empty":          "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 0\r\n\r\n",
	"chunks":         "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n",
	"connection":     "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nConnection: close\r\n\r\n",
	"early hints":    "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 4\r\n\r\n",
	"bare line ends": "HTTP/1.1 200 OK\nX-Stamp: s\nContent-Length: 0\n\n",
	"folded field":   "HTTP/1.1 200 OK\r\nX-Stamp: s\r\n folded\r\nContent-Length: 0\r\n\r\n",
	"no content":     "HTTP/1.1 204 No Content\r\nX-Stamp: s\r\n\r\n",
	"redirection":    "HTTP/1.1 421 Misdirected Request\r\nX-Stamp: s\r\nContent-Length: 0\r\n\r\n",
}

// serveHalfHead serves the connections of the listener, each after the one before. On the first one it answers the first
// request with a whole answer if the connection is to be reused. It answers any other request with the text, and ends the
// connection, by a reset if that is asked for.
func serveHalfHead(listener net.Listener, text string, isReused, resets bool) {
	for isFirst := true; ; isFirst = false {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		answerHalf(conn, text, isFirst && isReused, resets)
	}
}

func answerHalf(conn net.Conn, text string, isReused, resets bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if isReused {
		readRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
	readRequest(reader)
	_, _ = io.WriteString(conn, text)
	if resets {
		_ = conn.(*net.TCPConn).SetLinger(0) // Close resets the connection
	}
}

// readRequest reads a request whole.
func readRequest(reader *bufio.Reader) {
	if request, err := http.ReadRequest(reader); err == nil {
		_, _ = io.Copy(io.Discard, request.Body)
	}
}

// Guards against an answer whose head stops half way and that is taken for a whole one, with an empty or short body: by
// every transport, at every byte, on a new connection and on one that has carried an answer.
func TestHalfHeadIsNoAnswer(t *testing.T) {
	transports := map[string]func() *Transport{
		"hop":     func() *Transport { return NewTransport(TransportConfig{Protocol: HTTP1}) },
		"direct":  func() *Transport { return NewDirectTransport(nil, true) },
		"control": func() *Transport { return NewControlTransport(nil, true) },
	}
	for transport, open := range transports {
		for framing, head := range halfHeads {
			for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
				t.Run(fmt.Sprintf("%s, %s, %s", transport, framing, method), func(t *testing.T) {
					t.Parallel()
					for cut := range len(head) {
						// Each cut has one of the four combinations, and each combination a quarter of the cuts.
						answered, err := answerOfHalfHead(open(), method, head[:cut], cut%2 == 0, cut%4 < 2)
						if err == nil {
							t.Errorf("cut after %q: %s", head[:cut], answered)
						}
					}
				})
			}
		}
	}
}

// answerOfHalfHead returns the status of an answer whose head is the text, or the error of reading it.
func answerOfHalfHead(transport *Transport, method, text string, isReused, resets bool) (status string, err error) {
	defer transport.CloseIdleConnections()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	go serveHalfHead(listener, text, isReused, resets)
	if isReused {
		if _, err := exchange(transport, method, listener.Addr().String()); err != nil {
			return "the first answer failed: " + err.Error(), nil
		}
	}
	return exchange(transport, method, listener.Addr().String())
}

// halfHeadTimeout bounds the wait for an answer.
const halfHeadTimeout = 5 * time.Second

// exchange sends a request and reads its answer to the end.
func exchange(transport *Transport, method, address string) (status string, err error) {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("question")
	}
	ctx, cancel := context.WithTimeout(context.Background(), halfHeadTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/", body)
	if err != nil {
		return "", err
	}
	request.GetBody = nil
	response, err := transport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return "", err
	}
	return response.Status, nil
}

// Guards against a check that fails for all answers: the same heads, whole, are answers.
func TestWholeHeadIsAnAnswer(t *testing.T) {
	for framing, head := range halfHeads {
		t.Run(framing, func(t *testing.T) {
			is := is.New(t)
			body := map[string]string{"length": "body", "chunks": "0\r\n\r\n", "early hints": "body"}[framing]
			_, err := answerOfHalfHead(NewDirectTransport(nil, true), http.MethodPost, head+body, true, false)
			is.NoErr(err)
		})
	}
}
