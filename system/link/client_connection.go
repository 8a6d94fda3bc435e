package link

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"yardrock.example/system/wire"
)

// clientConnection is the client side of one connection. The fields after dialErr are set before
// ready is closed, and only if dialErr is nil.
type clientConnection struct {
	ready   chan struct{} // closed when the dial has succeeded or failed
	dialErr error

	stream         net.Conn
	writer         *frameWriter
	flushRequested chan struct{} // has room for one; wakes writeLoop
	done           chan struct{} // closed when readLoop has ended
	lastReceived   atomic.Int64  // time of the last frame received, as nanoseconds since clockStart

	mutex      sync.Mutex
	calls      map[uint64]chan []byte // by call ID, for pending calls; receives the reply body, with room for one
	lastCallID uint64
}

// clockStart is the reference for lastReceived, which is a time on the monotonic clock.
var clockStart = time.Now()

// start starts the connection's goroutines on a dialled stream and closes ready.
func (conn *clientConnection) start(stream net.Conn) {
	conn.stream, conn.writer = stream, &frameWriter{stream: stream, queued: []byte(preamble)}
	conn.flushRequested, conn.done, conn.calls = make(chan struct{}, 1), make(chan struct{}), map[uint64]chan []byte{}
	conn.lastReceived.Store(int64(time.Since(clockStart)))
	go conn.readLoop()
	go conn.writeLoop()
	close(conn.ready)
}

// readLoop delivers replies to their calls until reading fails: because the peer closed the
// stream, because of close, or after a failed write.
func (conn *clientConnection) readLoop() {
	source := bufio.NewReaderSize(conn.stream, readBufferSize)
	for {
		received, err := readFrame(source)
		if err != nil {
			break
		}
		conn.lastReceived.Store(int64(time.Since(clockStart)))
		if received.kind != frameReply {
			continue // frame kind of a later version
		}
		conn.mutex.Lock()
		replyBody, found := conn.calls[received.callID]
		delete(conn.calls, received.callID)
		conn.mutex.Unlock()
		if found {
			replyBody <- received.body
		}
	}
	close(conn.done)
	conn.stream.Close()
}

// writeLoop writes queued frames, so that callers do not block on a peer that does not read. It
// ends with readLoop.
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

// enqueue queues a frame for writeLoop; a nil query means no body. It does not block:
// flushRequested has room for one signal, and the frame writer asks for another flush only
// after the previous one has ended.
func (conn *clientConnection) enqueue(kind byte, callID uint64, limit int, query *wire.Query) error {
	var body func([]byte) ([]byte, error)
	if query != nil {
		body = func(target []byte) ([]byte, error) { return wire.AppendQuery(target, query) }
	}
	mustFlush, size, err := conn.writer.enqueue(kind, callID, limit, body)
	if mustFlush {
		conn.flushRequested <- struct{}{}
	}
	if err == nil && query != nil {
		countQuerySent(query.Which, size)
	}
	return err
}

// isClosed reports whether the connection has ended or its dial has failed.
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

// close waits for the dial and closes the connection.
func (conn *clientConnection) close() {
	<-conn.ready
	if conn.dialErr == nil {
		conn.stream.Close()
	}
}

// registerCall returns the ID of a new call and the channel that receives its reply body.
func (conn *clientConnection) registerCall() (uint64, chan []byte) {
	replyBody := make(chan []byte, 1)
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.lastCallID++
	conn.calls[conn.lastCallID] = replyBody
	return conn.lastCallID, replyBody
}

// unregisterCall removes a call, so that a late reply is dropped. It reports whether the call
// was pending.
func (conn *clientConnection) unregisterCall(callID uint64) bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	_, pending := conn.calls[callID]
	delete(conn.calls, callID)
	return pending
}
