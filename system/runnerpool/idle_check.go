package runnerpool

import (
	"errors"
	"io"
	"syscall"
	"time"
)

// minIdleTimeout is the shortest idle timeout that is learnt for a runner. A connection
// that is closed sooner indicates a failure of the runner rather than its idle timeout.
const minIdleTimeout = 250 * time.Millisecond

// idleChecker is implemented by connections that are not sockets, such as those of a
// simulated network.
type idleChecker interface {
	// Idle reports, without blocking, that there is no pending input and that the other end
	// has neither closed nor reset the connection.
	Idle() bool
}

// probeSocket reads a byte without blocking. It may consume that byte, because any result
// other than no input makes the connection unusable.
func (connection *persistentConnection) probeSocket(descriptor uintptr) bool {
	for {
		count, err := syscall.Read(int(descriptor), connection.probeByte[:])
		if !errors.Is(err, syscall.EINTR) {
			connection.noInput, connection.closedByRunner = errors.Is(err, syscall.EAGAIN), count == 0 && err == nil
			return true
		}
	}
}

// isIdle reports that an idle connection is open and has no pending input. If it returns
// false, closedByRunner says whether the runner closed the connection without a reset and
// without sending anything before.
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
	connection.closedByRunner = errors.Is(err, io.EOF)
	return false
}

// learnIdleTimeout shortens the runner's idle timeout to half of the time after which
// the runner closed this connection. It has an effect only after isIdle returned false.
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
