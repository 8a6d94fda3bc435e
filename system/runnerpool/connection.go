package runnerpool

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	readerBytes = 4 << 10
)

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
