package logqueue

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/bubble"
)

// stalledOutput is an output that blocks until release is closed.
type stalledOutput struct{ release chan struct{} }

func (s stalledOutput) Write(line []byte) (int, error) {
	<-s.release
	return len(line), nil
}

// Guards against a stop that waits for an output that has stalled, and against lines that vanish uncounted.
func TestStalledOutputHoldsUpNothing(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		output, dropped := stalledOutput{release: make(chan struct{})}, 0
		queue := New(output, func() { dropped++ })
		began := time.Now()
		for range 2 * queueLines {
			_, err := queue.Write([]byte("line\n"))
			is.NoErr(err)
		}
		is.True(dropped >= queueLines-1) // the writer may hold one line
		queue.Close()
		is.Equal(time.Since(began), closeTimeout)
		close(output.release)
	})
}

func TestQueuedLinesAreWrittenInOrderAtClose(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	queue := New(&output, func() {})
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, err := io.WriteString(queue, line)
		is.NoErr(err)
	}
	queue.Close()
	is.Equal(output.String(), "a\nb\nc\n")
	is.Equal(queue.Unwritten(), int64(0))
}
