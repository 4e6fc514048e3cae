package peerlink

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"testing/iotest"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/bubble"
	"github.com/harriernotch/harriernotch/internal/pipenet"
)

// Guards against bytes that are lost or read twice where a message outgrows a buffer.
func TestMessagesOfAllSizesAreReadWhole(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{0, 1, firstReadBytes - 1, firstReadBytes, firstReadBytes + 1, smallMessageBytes, 3 * smallMessageBytes} {
		want := bytes.Repeat([]byte("0123456789abcdef!"), size/17+1)[:size]
		read, err := readAtMost(make([]byte, 0, firstReadBytes), iotest.HalfReader(bytes.NewReader(want)), -1)
		is.Equal(err, io.EOF)
		is.True(bytes.Equal(read, want))
		source := bytes.NewReader(want)
		first, err := readAtMost(make([]byte, 0, firstReadBytes), source, smallMessageBytes)
		is.Equal(err == nil, size >= smallMessageBytes)
		is.Equal(len(first), min(size, smallMessageBytes))
		is.Equal(source.Len(), max(size-smallMessageBytes, 0))
	}
}

// Guards against large messages that are held in numbers: while one is read, the next one waits; small ones don't.
func TestLargeMessagesAreReadOneAtATime(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		network, messages := pipenet.New(), NewMessages()
		listener, err := network.Listen("pipe", testAddress)
		is.NoErr(err)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			Serve(context.Background(), w, r, ServeConfig{MaxMessageBytes: 4 << 20, IdleTimeout: time.Minute, Messages: messages, Answer: func(query []byte) ([]byte, error) {
				return query[:1], nil
			}})
		})}
		defer server.Close()
		go func() { _ = server.Serve(listener) }()
		open := func() *websocket.Conn {
			client := &http.Client{Transport: &http.Transport{DialContext: network.Dial, DisableKeepAlives: true}}
			socket, _, err := websocket.Dial(t.Context(), "ws://"+testAddress+testPath, &websocket.DialOptions{HTTPClient: client})
			is.NoErr(err)
			return socket
		}
		answered := func(socket *websocket.Conn, message []byte) bool {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			go func() { _ = socket.Write(t.Context(), websocket.MessageBinary, message) }()
			_, _, err := socket.Read(ctx)
			return err == nil
		}
		unfinished, large, small, later := open(), open(), open(), open()
		defer small.CloseNow()
		defer later.CloseNow()
		writer, err := unfinished.Writer(t.Context(), websocket.MessageBinary)
		is.NoErr(err)
		go func() { _, _ = writer.Write(make([]byte, 2*mediumMessageBytes)) }()
		time.Sleep(time.Second)
		is.True(answered(small, []byte("x")))
		is.True(!answered(large, make([]byte, 2*mediumMessageBytes)))
		is.NoErr(unfinished.CloseNow())
		is.True(answered(later, make([]byte, 2*mediumMessageBytes)))
		_ = large.CloseNow()
	})
}
