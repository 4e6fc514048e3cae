// Package logqueue keeps log lines from holding up what writes them: they wait in a bounded queue for an output that may
// be slow, stall or fail.
package logqueue

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLines is the number of lines that can wait for the output.
	queueLines = 512
	// closeTimeout is how long Close waits for the output. A gateway that stops has 400 ms for its last lines; see
	// settings.DrainTimeout.
	closeTimeout = 250 * time.Millisecond
)

// Queue is an io.Writer for log lines, each written by one call. It is safe for concurrent use.
type Queue struct {
	lines chan []byte
	// onDrop is called for each line that finds the queue full.
	onDrop func()
	// unwritten counts the lines that the output didn't take.
	unwritten atomic.Int64
	done      chan struct{}
	// written is closed when the goroutine that writes has ended.
	written chan struct{}
}

// New returns a queue for an output and starts to write. Close stops it.
func New(output io.Writer, onDrop func()) *Queue {
	q := &Queue{lines: make(chan []byte, queueLines), onDrop: onDrop, done: make(chan struct{}), written: make(chan struct{})}
	go q.copyTo(output)
	return q
}

// Write implements io.Writer. It never blocks, and drops the line if the queue is full.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.onDrop()
	}
	return len(line), nil
}

// Unwritten returns the number of lines that the output didn't take.
func (q *Queue) Unwritten() int64 { return q.unwritten.Load() }

// Close returns once the queued lines are written. If the output blocks for closeTimeout, the lines that it hasn't taken
// are lost.
func (q *Queue) Close() {
	close(q.done)
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-q.written:
	case <-timer.C:
	}
}

// copyTo copies lines from the queue to the output until Close.
func (q *Queue) copyTo(output io.Writer) {
	defer close(q.written)
	for {
		select {
		case line := <-q.lines:
			q.writeLine(output, line)
		case <-q.done:
			q.drain(output)
			return
		}
	}
}

// drain writes the queued lines.
func (q *Queue) drain(output io.Writer) {
	for {
		select {
		case line := <-q.lines:
			q.writeLine(output, line)
		default:
			return
		}
	}
}

// writeLine writes a line. The error of an output that fails is counted, because it can't be logged anywhere else.
func (q *Queue) writeLine(output io.Writer, line []byte) {
	if _, err := output.Write(line); err != nil {
		q.unwritten.Add(1)
	}
}
