package link

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"yardrock.example/system/wire"
)

// clientConnection is the caller's side of one connection.
type clientConnection struct {
	ready   chan struct{}
	dialErr error

	stream         net.Conn
	writer         *frameWriter
	flushRequested chan struct{} // wakes the writer
	done           chan struct{}
	lastReceived   atomic.Int64 // when the last frame came, by the caller's steady clock

	mutex    sync.Mutex
	calls    map[uint64]chan []byte
	lastCall uint64
}

// clockStart is what the times of connections count from.
var clockStart = time.Now()

// read hands replies to those who wait for them, until the connection ends.
func (conn *clientConnection) readLoop() {
	source := bufio.NewReaderSize(conn.stream, readBufferSize)
	for {
		received, err := readFrame(source)
		if err != nil {
			break
		}
		conn.lastReceived.Store(int64(time.Since(clockStart)))
		if received.kind != frameReply {
			continue // a newer version's kind, which this one does not know
		}
		conn.mutex.Lock()
		waiting, found := conn.calls[received.call]
		delete(conn.calls, received.call)
		conn.mutex.Unlock()
		if found {
			waiting <- received.body
		}
	}
	close(conn.done)
	conn.stream.Close()
}

// writeLoop writes for the callers, none of whom may be held up by a side that reads
// nothing.
func (conn *clientConnection) writeLoop() {
	for {
		select {
		case <-conn.flushRequested:
			conn.writer.flush()
		case <-conn.done:
			return
		}
	}
}

// enqueue sends a frame; it never blocks.
func (conn *clientConnection) enqueue(kind byte, call uint64, limit int, query *wire.Query) error {
	var body func([]byte) ([]byte, error)
	if query != nil {
		body = func(target []byte) ([]byte, error) { return wire.AppendQuery(target, query) }
	}
	flushes, size, err := conn.writer.enqueue(kind, call, limit, body)
	if flushes {
		conn.flushRequested <- struct{}{}
	}
	if err == nil && query != nil {
		countQuerySent(query.Which, size)
	}
	return err
}

func (conn *clientConnection) isClosed() bool {
	select {
	case <-conn.ready:
	default:
		return false
	}
	if conn.dialErr != nil {
		return true
	}
	select {
	case <-conn.done:
		return true
	default:
		return false
	}
}

func (conn *clientConnection) close() {
	<-conn.ready
	if conn.dialErr == nil {
		conn.stream.Close()
	}
}

// registerCall makes a place for a reply.
func (conn *clientConnection) registerCall() (uint64, chan []byte) {
	waiting := make(chan []byte, 1)
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.lastCall++
	conn.calls[conn.lastCall] = waiting
	return conn.lastCall, waiting
}

// unregisterCall tells whether a reply was still waited for, and waits no more.
func (conn *clientConnection) unregisterCall(call uint64) bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	_, waited := conn.calls[call]
	delete(conn.calls, call)
	return waited
}
