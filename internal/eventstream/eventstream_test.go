package eventstream

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

func TestReaderReturnsOnlyWholeEvents(t *testing.T) {
	is := is.New(t)
	text := "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n"
	reader := NewReader(iotest.OneByteReader(strings.NewReader(text)))
	first, err := reader.Next()
	is.NoErr(err)
	is.Equal(first.ID, "1")
	is.Equal(string(first.Raw), "id: 1\ndata: a\n\n")
	second, err := reader.Next()
	is.NoErr(err)
	is.Equal(second.ID, "2")
	_, err = reader.Next()
	is.True(errors.Is(err, io.ErrUnexpectedEOF)) // the third event is incomplete
}

func TestEndAfterWholeEventIsEOF(t *testing.T) {
	is := is.New(t)
	reader := NewReader(strings.NewReader("data: a\n\n"))
	_, err := reader.Next()
	is.NoErr(err)
	_, err = reader.Next()
	is.True(errors.Is(err, io.EOF))
}

func TestOversizedEventIsRejected(t *testing.T) {
	is := is.New(t)
	reader := NewReader(io.LimitReader(endlessReader{}, 2*MaxEventBytes))
	_, err := reader.Next()
	is.True(errors.Is(err, ErrTooLarge))
}

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// FuzzReader checks that the events, joined, are always a prefix of the stream.
func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n"))
	f.Add([]byte("\n\nid:\n\n:"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		reader := NewReader(bytes.NewReader(raw))
		var passed []byte
		for {
			event, err := reader.Next()
			if err != nil {
				break
			}
			passed = append(passed, event.Raw...)
		}
		if !bytes.HasPrefix(raw, passed) {
			t.Fatalf("%q isn't a prefix of %q", passed, raw)
		}
	})
}
