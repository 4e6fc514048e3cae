// Package socket looks into the receive buffers of connections without reading from them.
package socket

// Input is what a connection's socket holds that hasn't been read.
type Input uint8

// The values of Input.
const (
	// None: nothing, or it can't be determined.
	None Input = iota
	// Bytes: at least one byte.
	Bytes
	// Ended: no bytes, but the end of the connection or an error.
	Ended
)
