package link

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"yardrock.example/system/wire"
)

// clientConnection is the client's side of one connection. Its fields below dialErr are set
// before ready is closed, and only if dialErr is nil.
type clientConnection struct {
	ready   chan struct{} // closed when the dial has ended
	dialErr error

	stream         net.Conn
	writer         *frameWriter
	flushRequested chan struct{} // wakes writeLoop
	done           chan struct{} // closed when readLoop has ended
	lastReceived   atomic.Int64  // when the last frame came; a duration since clockStart

	mutex    sync.Mutex
	calls    map[uint64]chan []byte // where the body of each pending call's reply goes; has room for it
	lastCall uint64
}

// clockStart makes times of connections durations on the monotonic clock.
var clockStart = time.Now()

// start begins the connection on a dialled stream, and makes it ready.
func (conn *clientConnection) start(stream net.Conn) {
	conn.stream, conn.writer = stream, &frameWriter{stream: stream, queued: []byte(preamble)}
	conn.flushRequested, conn.done, conn.calls = make(chan struct{}, 1), make(chan struct{}), map[uint64]chan []byte{}
	conn.lastReceived.Store(int64(time.Since(clockStart)))
	go conn.readLoop()
	go conn.writeLoop()
	close(conn.ready)
}

// readLoop gives replies to the calls that they belong to, until the stream ends, which the
// other side, close or a failed write causes.
func (conn *clientConnection) readLoop() {
	source := bufio.NewReaderSize(conn.stream, readBufferSize)
	for {
		received, err := readFrame(source)
		if err != nil {
			break
		}
		conn.lastReceived.Store(int64(time.Since(clockStart)))
		if received.kind != frameReply {
			continue // a kind of a later version
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

// writeLoop writes what was enqueued. Callers do not write themselves, as the other side may
// read nothing. It ends with readLoop.
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

// enqueue queues a frame with a query, or without a body, for writeLoop. It does not block: the
// channel has room for one request to flush, and the writer asks for a second only after the
// first was served.
func (conn *clientConnection) enqueue(kind byte, call uint64, limit int, query *wire.Query) error {
	var body func([]byte) ([]byte, error)
	if query != nil {
		body = func(target []byte) ([]byte, error) { return wire.AppendQuery(target, query) }
	}
	mustFlush, size, err := conn.writer.enqueue(kind, call, limit, body)
	if mustFlush {
		conn.flushRequested <- struct{}{}
	}
	if err == nil && query != nil {
		countQuerySent(query.Which, size)
	}
	return err
}

// isClosed tells whether the connection ended, or could not be dialled.
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

// close ends the connection, after its dial.
func (conn *clientConnection) close() {
	<-conn.ready
	if conn.dialErr == nil {
		conn.stream.Close()
	}
}

// registerCall gives a new call's number and the channel that gets the body of its reply.
func (conn *clientConnection) registerCall() (uint64, chan []byte) {
	waiting := make(chan []byte, 1)
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.lastCall++
	conn.calls[conn.lastCall] = waiting
	return conn.lastCall, waiting
}

// unregisterCall drops the reply of a call that still comes. It tells whether the call was
// pending.
func (conn *clientConnection) unregisterCall(call uint64) bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	_, waited := conn.calls[call]
	delete(conn.calls, call)
	return waited
}
