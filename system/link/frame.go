package link

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
)

// A connection begins with the client's preamble. Then each side sends frames: a header and a
// body, which is a Cap'n Proto message. The header has, in little-endian order, the body's
// length (4 bytes), the kind (1), 3 unused bytes, and the number of the call (8).
const (
	preamble        = "yrk2"
	frameHeaderSize = 16
)

// Sizes in bytes.
const (
	maxBodySize = 256 << 20
	// maxQueuedBytes is how much may be queued when a query, reply or cancellation is added,
	// maxQueuedNotificationBytes when a notification is. One more frame of any size fits.
	maxQueuedBytes             = 64 << 20
	maxQueuedNotificationBytes = 4 << 20
	// maxReusedBuffer bounds the buffers that are kept for the next write.
	maxReusedBuffer = 64 << 10
	readBufferSize  = 16 << 10
	// maxReadAllocation bounds the memory that is allocated for a body before any of it came;
	// then as much again as has come is allocated at a time.
	maxReadAllocation = 1 << 20
)

var errFrameTooLong = errors.New("the frame's body is longer than allowed")

// The kinds of frame.
const (
	frameQuery byte = iota + 1
	frameReply
	// frameNotification is a query without a reply.
	frameNotification
	// frameCancel says that nobody waits for the reply of a call any more. It has no body.
	frameCancel
)

// frame is a frame that was read.
type frame struct {
	kind byte
	call uint64
	body []byte
}

// readFrame reads the next frame. Its body is new memory, which the caller owns.
func readFrame(source *bufio.Reader) (frame, error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(source, header[:]); err != nil {
		return frame{}, err
	}
	size := int(binary.LittleEndian.Uint32(header[:]))
	if size > maxBodySize {
		return frame{}, errFrameTooLong
	}
	received := frame{kind: header[4], call: binary.LittleEndian.Uint64(header[8:])}
	for len(received.body) < size {
		part := min(size-len(received.body), max(maxReadAllocation, len(received.body)))
		start := len(received.body)
		if start == 0 {
			received.body = make([]byte, part)
		} else {
			received.body = append(received.body, make([]byte, part)...)
		}
		if _, err := io.ReadFull(source, received.body[start:]); err != nil {
			return frame{}, err
		}
	}
	return received, nil
}
