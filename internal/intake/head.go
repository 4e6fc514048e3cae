package intake

import "bytes"

const (
	// MaxHeadBytes is the largest limit on a head that can be set.
	MaxHeadBytes = 1 << 20
	// HeadAllowance is the memory of a head that is part of ConnectionBytes. Ordinary heads take less.
	HeadAllowance = 8 << 10
	// ConnectionBytes is the memory of a connection: buffers, goroutine, and an ordinary head.
	ConnectionBytes = 28 << 10

	// fieldBytes is the memory of one field besides its own bytes: its entries in the maps of the request that was read
	// and of the one that is passed on.
	fieldBytes = 256
	// bytesPerByte is the memory of one byte of a head.
	bytesPerByte = 2
	// readAhead is the buffer of net/http. What follows a head in the same read, up to this, may belong to the next one.
	readAhead = 4 << 10
)

// headMeter estimates the memory of the head of a request from the bytes that are read, before net/http parses them. Each
// line counts as a field.
type headMeter struct {
	// bytes and lines were read of the head so far.
	bytes, lines int64
	// lineBytes is the size of the line that is being read.
	lineBytes int
	// isWhole is true once the empty line that ends the head was read. It comes too early at worst if the head may have
	// begun in bytes that were read with the request before it, or has lines that no valid head has.
	isWhole bool
	// isAhead is true if the head may have begun in bytes that were read with the request before it.
	isAhead bool
	// rest and restLines are the bytes and lines of the last read that may belong to a later head.
	rest, restLines int64
}

// memory returns the memory that the head takes, with what was read after it.
func (h *headMeter) memory() int64 {
	return h.bytes*bytesPerByte + (h.lines+h.restLines)*fieldBytes
}

// readHead counts bytes that were read before the request began to be handled.
func (h *headMeter) readHead(part []byte) {
	isUncertain := h.isAhead || h.isWhole
	h.rest, h.restLines = 0, 0
	begin := 0
	for begin < len(part) {
		length := bytes.IndexByte(part[begin:], '\n')
		if length < 0 {
			h.lineBytes += len(part) - begin
			break
		}
		isEmpty := h.lineBytes+length <= 1 // one byte is the carriage return
		h.lineBytes = 0
		begin += length + 1
		if isEmpty && (h.lines > 0 || h.isAhead) {
			h.isWhole = true
			if !isUncertain {
				h.bytes += int64(begin)
				h.setRest(part[begin:])
				return
			}
		}
		h.lines++
	}
	h.bytes += int64(len(part))
	if isUncertain {
		h.setRest(part)
	}
}

// readBody counts bytes that were read while a request is handled, into a buffer of the given size.
func (h *headMeter) readBody(part []byte, buffer int) {
	if buffer > readAhead { // net/http reads into its own buffer otherwise
		part = nil
	}
	h.setRest(part)
}

func (h *headMeter) setRest(part []byte) {
	h.rest, h.restLines = int64(len(part)), int64(bytes.Count(part, []byte{'\n'}))
}

// next begins the next head.
func (h *headMeter) next() {
	*h = headMeter{isAhead: h.rest > 0, rest: h.rest, restLines: h.restLines}
}
