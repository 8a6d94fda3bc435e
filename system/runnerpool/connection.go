package runnerpool

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	readerBytes = 4 << 10
	// headBytes bounds the head of an answer.
	headBytes = 64 << 10
)

var errHeadTooLarge = errors.New("the head of its answer is too large")

// quieter is a connection that can itself tell whether something has arrived on it.
type quieter interface {
	// Quiet tells, without waiting, that nothing has arrived and nothing was closed.
	Quiet() bool
}

// connection is one kept connection. It bears one query at a time.
type connection struct {
	net.Conn
	runner    *runner
	raw       syscall.RawConn
	look      func(descriptor uintptr) bool
	silent    bool
	one       [1]byte
	reused    bool // it has borne an answer before
	told      bool // the runner told how long it keeps the connection idle
	keep      time.Duration
	idleSince time.Time
	expires   time.Time

	work     *workspace
	headLeft int  // bytes that the head of an answer may still have; -1: no head is read
	received bool // a byte of an answer has come since the query was sent
}

// workspace is what a connection needs only while it bears a query.
type workspace struct {
	reader *bufio.Reader
	writes []byte
}

var workspaces = sync.Pool{New: func() any {
	return &workspace{reader: bufio.NewReaderSize(nil, readerBytes), writes: make([]byte, 0, readerBytes)}
}}

func newConnection(stream net.Conn, held *runner) *connection {
	made := &connection{Conn: stream, runner: held, headLeft: -1}
	if socket, found := stream.(syscall.Conn); found {
		if raw, err := socket.SyscallConn(); err == nil {
			made.raw = raw
			made.look = made.lookAt
		}
	}
	return made
}

// lookAt reads without waiting. Whatever it finds but nothing makes the connection
// unfit, so that a byte that is taken away here is not missed.
func (connection *connection) lookAt(descriptor uintptr) bool {
	for {
		_, err := syscall.Read(int(descriptor), connection.one[:])
		if err != syscall.EINTR {
			connection.silent = err == syscall.EAGAIN
			return true
		}
	}
}

// quiet tells that nothing has arrived on an idle connection and nothing was closed.
func (connection *connection) quiet() bool {
	if connection.raw != nil {
		connection.silent = false
		return connection.raw.Read(connection.look) == nil && connection.silent
	}
	if able, found := connection.Conn.(quieter); found {
		return able.Quiet()
	}
	return true
}

// foundClosed heeds that the runner ended a connection that was idle since a time: a
// runner that doesn't tell its time shows it so.
func (connection *connection) foundClosed(now time.Time) {
	if connection.told || connection.idleSince.IsZero() {
		return
	}
	shorter := max(now.Sub(connection.idleSince)/2, shortestIdle)
	for {
		known := connection.runner.patience.Load()
		if int64(shorter) >= known || connection.runner.patience.CompareAndSwap(known, int64(shorter)) {
			return
		}
	}
}

// Read reads what the runner sent; while a head is read, no more than it may have.
func (connection *connection) Read(target []byte) (int, error) {
	if connection.headLeft == 0 {
		return 0, errHeadTooLarge
	}
	if connection.headLeft > 0 && len(target) > connection.headLeft {
		target = target[:connection.headLeft]
	}
	count, err := connection.Conn.Read(target)
	if count > 0 {
		connection.received = true
		if connection.headLeft > 0 {
			connection.headLeft -= count
		}
	}
	return count, err
}

// equip lends the connection what it needs for a query.
func (connection *connection) equip() {
	connection.work = workspaces.Get().(*workspace)
	connection.work.reader.Reset(connection)
	connection.work.writes = connection.work.writes[:0]
	connection.received = false
}

// strip takes it back.
func (connection *connection) strip() {
	if connection.work == nil {
		return
	}
	connection.work.reader.Reset(nil)
	if cap(connection.work.writes) <= directBytes+headBytes {
		workspaces.Put(connection.work)
	}
	connection.work = nil
}
