package runnerpool

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"
)

// bufferBytes is the initial size of a connection's read and write buffers.
const bufferBytes = 4 << 10

// persistentConnection is a connection to a runner. It carries one request at a time;
// whoever took it from the pool owns it.
type persistentConnection struct {
	net.Conn
	runner *runnerConnections

	// The idle check (idle_check.go). raw is nil if the connection is not a socket.
	raw            syscall.RawConn
	probe          func(descriptor uintptr) bool // probeSocket as a value, to save an allocation
	probeByte      [1]byte
	noInput        bool // result of the last check: nothing has arrived
	closedByRunner bool // result of the last check: the runner closed it properly

	reused       bool          // it has carried a request before
	hasKeepAlive bool          // the runner has said how long it keeps the connection
	keepAlive    time.Duration // how long it is kept idle in that case
	idleSince    time.Time
	expires      time.Time

	buffers *connectionBuffers // nil while the connection is idle
	// headBytesLeft is how many bytes of a response head may still be read; -1 if none is
	// being read.
	headBytesLeft int
}

// connectionBuffers are the buffers of a connection while it carries a request.
type connectionBuffers struct {
	reader *bufio.Reader
	writes []byte
}

var connectionBufferPool = sync.Pool{New: func() any {
	return &connectionBuffers{reader: bufio.NewReaderSize(nil, bufferBytes), writes: make([]byte, 0, bufferBytes)}
}}

// newConnection wraps a stream to a runner.
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

// Read reads from the connection. While a response head is read, it returns
// errHeadTooLarge once the head is longer than allowed.
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

// attachBuffers takes buffers for a request. releaseBuffers must follow.
func (connection *persistentConnection) attachBuffers() {
	// The pool's New and releaseBuffers are its only sources, so that the type is certain.
	connection.buffers = connectionBufferPool.Get().(*connectionBuffers)
	connection.buffers.reader.Reset(connection)
	connection.buffers.writes = connection.buffers.writes[:0]
}

// releaseBuffers gives the buffers back, unless one has grown large. It may be called
// again.
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
