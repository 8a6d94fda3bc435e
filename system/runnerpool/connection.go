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

// persistentConnection is a connection to a runner. It carries one request at a time and
// is owned by the goroutine that acquired it from the pool.
type persistentConnection struct {
	net.Conn
	runner *runnerConnections

	// State of the idle check (idle_check.go). raw is nil if the connection is not a socket.
	raw            syscall.RawConn
	probe          func(descriptor uintptr) bool // method value of probeSocket, stored to avoid an allocation per check
	probeByte      [1]byte
	noInput        bool // result of the last check: no pending input
	closedByRunner bool // result of the last check: the runner closed it without a reset

	reused       bool          // it has carried a request before
	hasKeepAlive bool          // the runner has announced a Keep-Alive timeout
	keepAlive    time.Duration // idle timeout derived from it
	idleSince    time.Time
	expires      time.Time

	buffers *connectionBuffers // nil while the connection is idle
	// headBytesLeft is how many more bytes of a response head may be read; -1 if no head is
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

// Read reads from the connection. While a response head is being read, it returns
// errHeadTooLarge once the head is longer than allowed.
func (connection *persistentConnection) Read(buffer []byte) (int, error) {
	if connection.headBytesLeft == 0 {
		return 0, errHeadTooLarge
	}
	if connection.headBytesLeft > 0 && len(buffer) > connection.headBytesLeft {
		buffer = buffer[:connection.headBytesLeft]
	}
	count, err := connection.Conn.Read(buffer)
	if connection.headBytesLeft > 0 {
		connection.headBytesLeft -= count
	}
	return count, err
}

// attachBuffers takes buffers for a request. releaseBuffers must follow.
func (connection *persistentConnection) attachBuffers() {
	// Only the pool's New function and releaseBuffers fill it, so the type assertion cannot fail.
	connection.buffers = connectionBufferPool.Get().(*connectionBuffers)
	connection.buffers.reader.Reset(connection)
	connection.buffers.writes = connection.buffers.writes[:0]
}

// releaseBuffers returns the buffers for reuse unless the write buffer has grown large. It
// is idempotent.
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
