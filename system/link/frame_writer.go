package link

import (
	"encoding/binary"
	"errors"
	"net"
	"sync"
)

// frameWriter queues frames and writes them in batches: frames queued during a write go out with
// the next one. At most one goroutine flushes at a time, as a flush is only due after an enqueue
// that returned mustFlush.
type frameWriter struct {
	stream   net.Conn
	mutex    sync.Mutex
	queued   []byte
	spare    []byte // empty buffer that replaces queued at the next flush, or nil
	flushing bool   // a flush is running or has been requested
	err      error  // of a failed write; permanent
}

var errQueueFull = errors.New("the send queue of the connection is full")

// enqueue queues a frame, unless more than limit bytes are queued already. body, if not nil,
// appends the frame's body. If mustFlush is returned, the caller must arrange a call of flush.
// size is the body's size in bytes. On an error nothing is queued.
func (writer *frameWriter) enqueue(kind byte, callID uint64, limit int, body func([]byte) ([]byte, error)) (mustFlush bool, size int, err error) {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	if writer.err != nil {
		return false, 0, writer.err
	}
	start := len(writer.queued)
	if start > limit {
		return false, 0, errQueueFull
	}
	extended := append(writer.queued, make([]byte, frameHeaderSize)...)
	if body != nil {
		if extended, err = body(extended); err != nil {
			return false, 0, err
		}
	}
	size = len(extended) - start - frameHeaderSize
	binary.LittleEndian.PutUint32(extended[start:], uint32(size))
	extended[start+4] = kind
	binary.LittleEndian.PutUint64(extended[start+8:], callID)
	writer.queued = extended
	mustFlush, writer.flushing = !writer.flushing, true
	return mustFlush, size, nil
}

// flush writes queued frames until the queue is empty or a write fails. A failed write closes the
// stream.
func (writer *frameWriter) flush() {
	for {
		writer.mutex.Lock()
		batch := writer.queued
		if len(batch) == 0 || writer.err != nil {
			writer.flushing = false
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
			writer.stream.Close() // ends the read loop, which fails the calls in flight
		}
	}
}
