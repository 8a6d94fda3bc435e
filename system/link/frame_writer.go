package link

import (
	"encoding/binary"
	"errors"
	"net"
	"sync"
)

// frameWriter queues frames and writes them in batches: what is queued while a write is under way
// goes with the next. At most one goroutine flushes at a time, the one whose enqueue returned mustFlush.
type frameWriter struct {
	stream  net.Conn
	mutex   sync.Mutex
	queued  []byte
	spare   []byte // an empty buffer to queue in next; nil while it is being written
	writing bool   // somebody flushes, or has to
	err     error  // of the first write that failed
}

var errQueueFull = errors.New("too many bytes are queued on the connection")

// enqueue adds a frame, unless more than limit bytes are queued already. The function, if any,
// appends its body. mustFlush tells the caller to have flush called, as nobody is about to;
// size is that of the body in bytes. On an error nothing is queued.
func (writer *frameWriter) enqueue(kind byte, call uint64, limit int, body func([]byte) ([]byte, error)) (mustFlush bool, size int, err error) {
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
	mustFlush, writer.writing = !writer.writing, true
	return mustFlush, size, nil
}

// flush writes what is queued until nothing is, or a write fails. A failed write closes the
// stream.
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
			writer.stream.Close() // ends the reader, and with it the calls in flight
		}
	}
}
