package link

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
)

// A connection begins with the client's preamble. Then each side sends frames: a header,
// followed by a body, which is a Cap'n Proto message. The header is little-endian: body length
// in bytes (4 bytes), frame kind (1), unused (3), call ID (8).
const (
	preamble        = "yrk2"
	frameHeaderSize = 16
)

// Sizes in bytes.
const (
	maxBodySize = 256 << 20
	// maxQueuedBytes is the queue length up to which a query, reply or cancellation is accepted;
	// maxQueuedNotificationBytes is that for notifications. A frame that is accepted may exceed
	// the limit by its own size.
	maxQueuedBytes             = 64 << 20
	maxQueuedNotificationBytes = 4 << 20
	// maxReusedBuffer is the largest write buffer that is kept for reuse.
	maxReusedBuffer = 64 << 10
	readBufferSize  = 16 << 10
	// maxReadAllocation is allocated for a body at first; then the buffer grows by at most the
	// bytes already received. A peer cannot cause large allocations by a length alone.
	maxReadAllocation = 1 << 20
)

var errFrameTooLong = errors.New("the frame body exceeds the maximum size")

// Frame kinds.
const (
	frameQuery byte = iota + 1
	frameReply
	// frameNotification carries a query that gets no reply.
	frameNotification
	// frameCancel cancels a call, as the client no longer waits for its reply. It has no body.
	frameCancel
)

// frame is a received frame.
type frame struct {
	kind   byte
	callID uint64
	body   []byte
}

// readFrame reads the next frame. The caller owns the body, which is newly allocated.
func readFrame(source *bufio.Reader) (frame, error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(source, header[:]); err != nil {
		return frame{}, err
	}
	size := int(binary.LittleEndian.Uint32(header[:]))
	if size > maxBodySize {
		return frame{}, errFrameTooLong
	}
	received := frame{kind: header[4], callID: binary.LittleEndian.Uint64(header[8:])}
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
