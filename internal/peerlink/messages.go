package peerlink

import (
	"context"
	"io"
	"slices"

	"github.com/coder/websocket"
)

const (
	// smallMessageBytes is the size up to which messages are read on all connections at the same time. Of larger ones,
	// maxMediumMessages are read at the same time, and of those larger than mediumMessageBytes one.
	smallMessageBytes  = 32 << 10
	mediumMessageBytes = 1 << 20
	maxMediumMessages  = 8
	// firstReadBytes is the size of the first buffer for a message. Most messages are smaller.
	firstReadBytes = 4 << 10
	// readGrowth is how many times as large each further buffer is.
	readGrowth = 4
	// maxKeptBytes is the largest buffer that is kept for the next message.
	maxKeptBytes = 256 << 10
)

// Messages reads the messages of many connections. The larger messages are, the fewer are read at the same time, so that what
// is held grows little with the number of connections. It is safe for concurrent use.
type Messages struct {
	// medium holds the buffers for messages larger than smallMessageBytes that aren't in use.
	medium chan []byte
	// large is held while a message larger than mediumMessageBytes is read and used.
	large chan struct{}
}

// NewMessages returns a Messages.
func NewMessages() *Messages {
	m := &Messages{medium: make(chan []byte, maxMediumMessages), large: make(chan struct{}, 1)}
	for range maxMediumMessages {
		m.medium <- nil
	}
	return m
}

// Read reads the next message and calls use with it, which must not keep it. It gives up when the context ends.
func (m *Messages) Read(ctx context.Context, socket *websocket.Conn, use func(message []byte) error) error {
	_, reader, err := socket.Reader(ctx)
	if err != nil {
		return err
	}
	message, err := readAtMost(make([]byte, 0, firstReadBytes), reader, smallMessageBytes)
	if err == nil {
		return m.readMedium(ctx, reader, message, use)
	}
	if err != io.EOF {
		return err
	}
	return use(message)
}

// readMedium reads the rest of a message that is larger than smallMessageBytes.
func (m *Messages) readMedium(ctx context.Context, reader io.Reader, begin []byte, use func([]byte) error) error {
	var buffer []byte
	select {
	case buffer = <-m.medium:
	case <-ctx.Done():
		return ctx.Err()
	}
	message, err := readAtMost(append(buffer[:0], begin...), reader, mediumMessageBytes)
	defer func() {
		if cap(message) > maxKeptBytes {
			message = nil
		}
		m.medium <- message
	}()
	if err == nil {
		return m.readLarge(ctx, reader, message, use)
	}
	if err != io.EOF {
		return err
	}
	return use(message)
}

// readLarge reads the rest of a message that is larger than mediumMessageBytes.
func (m *Messages) readLarge(ctx context.Context, reader io.Reader, begin []byte, use func([]byte) error) error {
	select {
	case m.large <- struct{}{}:
		defer func() { <-m.large }()
	case <-ctx.Done():
		return ctx.Err()
	}
	message, err := readAtMost(begin, reader, -1)
	if err != io.EOF {
		return err
	}
	return use(message)
}

// readAtMost appends what it reads to the buffer, until an error, which is io.EOF at the end, or until the buffer has the
// given length, unless that is negative.
func readAtMost(buffer []byte, reader io.Reader, length int) ([]byte, error) {
	for len(buffer) != length {
		if len(buffer) == cap(buffer) {
			more := (readGrowth - 1) * cap(buffer)
			if length >= 0 {
				more = min(more, length-len(buffer))
			}
			buffer = slices.Grow(buffer, more)
		}
		free := buffer[len(buffer):cap(buffer)]
		if length >= 0 {
			free = free[:min(len(free), length-len(buffer))]
		}
		n, err := reader.Read(free)
		buffer = buffer[:len(buffer)+n]
		if err != nil {
			return buffer, err
		}
	}
	return buffer, nil
}
