package link

import (
	"encoding/binary"
	"errors"
	"net"
	"sync"
)

// sender gathers frames to be written. What comes while a write is under way goes with
// the next.
type frameWriter struct {
	stream  net.Conn
	mutex   sync.Mutex
	queued  []byte
	spare   []byte
	writing bool
	err     error
}

var errQueueFull = errors.New("too much waits to be sent")

// enqueue adds a frame whose body is appended by a function. It tells whether the caller
// has to see that it is flushed, as nobody is doing so.
func (writer *frameWriter) enqueue(kind byte, call uint64, limit int, body func([]byte) ([]byte, error)) (flushes bool, size int, err error) {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	if writer.err != nil {
		return false, 0, writer.err
	}
	start := len(writer.queued)
	if start > limit {
		return false, 0, errQueueFull
	}
	grown := append(writer.queued, make([]byte, frameHeaderSize)...)
	if body != nil {
		if grown, err = body(grown); err != nil {
			return false, 0, err
		}
	}
	size = len(grown) - start - frameHeaderSize
	binary.LittleEndian.PutUint32(grown[start:], uint32(size))
	grown[start+4] = kind
	binary.LittleEndian.PutUint64(grown[start+8:], call)
	writer.queued = grown
	flushes, writer.writing = !writer.writing, true
	return flushes, size, nil
}

// flush writes all that waits, and what comes meanwhile.
func (writer *frameWriter) flush() {
	for {
		writer.mutex.Lock()
		batch := writer.queued
		if len(batch) == 0 || writer.err != nil {
			writer.writing = false
			writer.mutex.Unlock()
			return
		}
		writer.queued, writer.spare = writer.spare[:0], nil
		writer.mutex.Unlock()
		_, err := writer.stream.Write(batch)
		writer.mutex.Lock()
		if cap(batch) <= maxReusedBuffer {
			writer.spare = batch[:0]
		}
		if err != nil {
			writer.err = err
		}
		writer.mutex.Unlock()
		if err != nil {
			writer.stream.Close() // its reader ends, and all who wait with it
		}
	}
}
