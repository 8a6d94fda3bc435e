package runnerpool

import (
	"io"
	"syscall"
	"time"
)

const (
	// minIdleTimeout is as far as the idle time of a runner is shortened; what closes sooner
	// shows trouble and not a time.
	minIdleTimeout = 250 * time.Millisecond
)

// idleChecker is a connection that can itself tell whether something has arrived on it.
type idleChecker interface {
	// Idle tells, without waiting, that nothing has arrived and nothing was closed.
	Idle() bool
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
