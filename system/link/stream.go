package link

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
)

// On a connection each side sends frames: the length of the body, the kind, the number
// of the call, and a body, which is a message of Cap'n Proto. The caller's side begins
// with a greeting.
const (
	greeting    = "yrk2"
	frameHeader = 16
	// mostBody bounds a body, mostWaiting what may wait to be sent, and mostTold what may
	// wait when more is told that nobody waits for.
	mostBody    = 256 << 20
	mostWaiting = 64 << 20
	mostTold    = 4 << 20
	keptBuffer  = 64 << 10
	readBuffer  = 16 << 10
	// readAtOnce bounds what is made room for before it has arrived.
	readAtOnce = 1 << 20
)

// The kinds of frame.
const (
	frameQuery byte = iota + 1
	frameReply
	// frameTold is a query that nobody waits for.
	frameTold
	// frameCancel tells that nobody waits for a query any more.
	frameCancel
)

type frame struct {
	kind byte
	call uint64
	body []byte
}

// sender gathers frames to be written. What comes while a write is under way goes with
// the next.
type sender struct {
	stream  net.Conn
	mutex   sync.Mutex
	waiting []byte
	spare   []byte
	writing bool
	failed  error
}

var errFull = errors.New("too much waits to be sent")

// push adds a frame whose body is appended by a function. It tells whether the caller
// has to see that it is flushed, as nobody is doing so.
func (sender *sender) push(kind byte, call uint64, most int, body func([]byte) ([]byte, error)) (flushes bool, size int, err error) {
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	if sender.failed != nil {
		return false, 0, sender.failed
	}
	began := len(sender.waiting)
	if began > most {
		return false, 0, errFull
	}
	grown := append(sender.waiting, make([]byte, frameHeader)...)
	if body != nil {
		if grown, err = body(grown); err != nil {
			return false, 0, err
		}
	}
	size = len(grown) - began - frameHeader
	binary.LittleEndian.PutUint32(grown[began:], uint32(size))
	grown[began+4] = kind
	binary.LittleEndian.PutUint64(grown[began+8:], call)
	sender.waiting = grown
	flushes, sender.writing = !sender.writing, true
	return flushes, size, nil
}

// flush writes all that waits, and what comes meanwhile.
func (sender *sender) flush() {
	for {
		sender.mutex.Lock()
		batch := sender.waiting
		if len(batch) == 0 || sender.failed != nil {
			sender.writing = false
			sender.mutex.Unlock()
			return
		}
		sender.waiting, sender.spare = sender.spare[:0], nil
		sender.mutex.Unlock()
		_, err := sender.stream.Write(batch)
		sender.mutex.Lock()
		if cap(batch) <= keptBuffer {
			sender.spare = batch[:0]
		}
		if err != nil {
			sender.failed = err
		}
		sender.mutex.Unlock()
		if err != nil {
			sender.stream.Close() // its reader ends, and all who wait with it
		}
	}
}

// readFrame reads the next frame; its body is the caller's to keep.
func readFrame(source *bufio.Reader) (frame, error) {
	var header [frameHeader]byte
	if _, err := io.ReadFull(source, header[:]); err != nil {
		return frame{}, err
	}
	size := int(binary.LittleEndian.Uint32(header[:]))
	if size > mostBody {
		return frame{}, errors.New("a frame is too long")
	}
	read := frame{kind: header[4], call: binary.LittleEndian.Uint64(header[8:])}
	for len(read.body) < size {
		part := min(size-len(read.body), max(readAtOnce, len(read.body)))
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
