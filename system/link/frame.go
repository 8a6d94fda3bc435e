package link

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
)

// On a connection each side sends frames: the length of the body, the kind, the number
// of the call, and a body, which is a message of Cap'n Proto. The caller's side begins
// with a greeting.
const (
	preamble        = "yrk2"
	frameHeaderSize = 16
	// maxBodySize bounds a body, maxQueuedBytes what may wait to be sent, and maxQueuedNotificationBytes what may
	// wait when more is told that nobody waits for.
	maxBodySize                = 256 << 20
	maxQueuedBytes             = 64 << 20
	maxQueuedNotificationBytes = 4 << 20
	maxReusedBuffer            = 64 << 10
	readBufferSize             = 16 << 10
	// maxReadAllocation bounds what is made room for before it has arrived.
	maxReadAllocation = 1 << 20
)

// The kinds of frame.
const (
	frameQuery byte = iota + 1
	frameReply
	// frameNotification is a query that nobody waits for.
	frameNotification
	// frameCancel tells that nobody waits for a query any more.
	frameCancel
)

type frame struct {
	kind byte
	call uint64
	body []byte
}

// readFrame reads the next frame; its body is the caller's to keep.
func readFrame(source *bufio.Reader) (frame, error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(source, header[:]); err != nil {
		return frame{}, err
	}
	size := int(binary.LittleEndian.Uint32(header[:]))
	if size > maxBodySize {
		return frame{}, errors.New("a frame is too long")
	}
	read := frame{kind: header[4], call: binary.LittleEndian.Uint64(header[8:])}
	for len(read.body) < size {
		part := min(size-len(read.body), max(maxReadAllocation, len(read.body)))
		had := len(read.body)
		if had == 0 {
			read.body = make([]byte, part)
		} else {
			read.body = append(read.body, make([]byte, part)...)
		}
		if _, err := io.ReadFull(source, read.body[had:]); err != nil {
			return frame{}, err
		}
	}
	return read, nil
}
