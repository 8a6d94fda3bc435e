package runnerpool

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	readerBytes = 4 << 10
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 64 << 10
)

var errHeadTooLarge = errors.New("the head of its answer is too large")

// idleChecker is a connection that can itself tell whether something has arrived on it.
type idleChecker interface {
	// Idle tells, without waiting, that nothing has arrived and nothing was closed.
	Idle() bool
}

// persistentConnection is one kept connection. It bears one query at a time.
type persistentConnection struct {
	net.Conn
	runner         *runnerConnections
	raw            syscall.RawConn
	probe          func(descriptor uintptr) bool
	noInput        bool // the look found nothing
	closedByRunner bool // it found the end
	probeByte      [1]byte
	reused         bool // it has borne an answer before
	hasKeepAlive   bool // the runner told how long it keeps the connection idle
	keepAlive      time.Duration
	idleSince      time.Time
	expires        time.Time

	buffers       *connectionBuffers
	headBytesLeft int // bytes that the head of an answer may still have; -1: no head is read
}

// connectionBuffers is what a connection needs only while it bears a query.
type connectionBuffers struct {
	reader *bufio.Reader
	writes []byte
}

var connectionBufferPool = sync.Pool{New: func() any {
	return &connectionBuffers{reader: bufio.NewReaderSize(nil, readerBytes), writes: make([]byte, 0, readerBytes)}
}}

func newConnection(stream net.Conn, runner *runnerConnections) *persistentConnection {
	connection := &persistentConnection{Conn: stream, runner: runner, headBytesLeft: -1}
	if socket, found := stream.(syscall.Conn); found {
		if raw, err := socket.SyscallConn(); err == nil {
			connection.raw = raw
			connection.probe = connection.probeSocket
		}
	}
	return connection
}

// probeSocket reads without waiting. Whatever it finds but nothing makes the connection
// unfit, so that a byte that is taken away here is not missed.
func (connection *persistentConnection) probeSocket(descriptor uintptr) bool {
	for {
		count, err := syscall.Read(int(descriptor), connection.probeByte[:])
		if err != syscall.EINTR {
			connection.noInput, connection.closedByRunner = err == syscall.EAGAIN, count == 0 && err == nil
			return true
		}
	}
}

// isIdle tells that nothing has arrived on an idle connection and nothing was closed; if
// not, ended tells that the runner closed it and said nothing.
func (connection *persistentConnection) isIdle() bool {
	connection.noInput, connection.closedByRunner = false, false
	if connection.raw != nil {
		return connection.raw.Read(connection.probe) == nil && connection.noInput
	}
	checker, found := connection.Conn.(idleChecker)
	if !found || checker.Idle() {
		return true
	}
	_, err := connection.Conn.Read(connection.probeByte[:])
	connection.closedByRunner = err == io.EOF
	return false
}

// learnIdleTimeout learns from an idle connection that was not quiet: a runner that doesn't tell
// how long it keeps connections shows it by closing them.
func (connection *persistentConnection) learnIdleTimeout(now time.Time) {
	idle := now.Sub(connection.idleSince)
	if !connection.closedByRunner || idle < minIdleTimeout {
		return
	}
	shorter := int64(max(idle/2, minIdleTimeout))
	for {
		known := connection.runner.idleTimeout.Load()
		if shorter >= known || connection.runner.idleTimeout.CompareAndSwap(known, shorter) {
			return
		}
	}
}

// Read reads what the runner sent; while a head is read, no more than it may have.
func (connection *persistentConnection) Read(target []byte) (int, error) {
	if connection.headBytesLeft == 0 {
		return 0, errHeadTooLarge
	}
	if connection.headBytesLeft > 0 && len(target) > connection.headBytesLeft {
		target = target[:connection.headBytesLeft]
	}
	count, err := connection.Conn.Read(target)
	if connection.headBytesLeft > 0 {
		connection.headBytesLeft -= count
	}
	return count, err
}

// attachBuffers lends the connection what it needs for a query.
func (connection *persistentConnection) attachBuffers() {
	connection.buffers = connectionBufferPool.Get().(*connectionBuffers)
	connection.buffers.reader.Reset(connection)
	connection.buffers.writes = connection.buffers.writes[:0]
}

// releaseBuffers takes it back.
func (connection *persistentConnection) releaseBuffers() {
	if connection.buffers == nil {
		return
	}
	connection.buffers.reader.Reset(nil)
	if cap(connection.buffers.writes) <= 2*singleWriteBytes {
		connectionBufferPool.Put(connection.buffers)
	}
	connection.buffers = nil
}
