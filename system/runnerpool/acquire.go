package runnerpool

import (
	"context"
	"errors"
	"syscall"
	"time"

	"yardrock.example/system/apierror"
)

// dialTimeout is how long opening a connection may take: longer means that the runner's
// machine is gone, and another runner can still be tried in time.
const dialTimeout = 700 * time.Millisecond

// acquire returns a connection on which nothing has arrived, with the request's deadline
// set: the idle one used last, or a new one. The caller must put or discard it.
func (pool *Pool) acquire(ctx context.Context, request *Request) (*persistentConnection, error) {
	now := time.Now()
	for {
		connection, runner, err := pool.takeIdle(request, now)
		if err != nil {
			return nil, err
		}
		if connection == nil {
			return pool.dial(ctx, request, runner)
		}
		connection.SetDeadline(request.Deadline)
		if connection.isIdle() {
			return connection, nil
		}
		connection.learnIdleTimeout(now)
		pool.discard(connection)
		if ctx.Err() != nil {
			return nil, cancelled(ctx, request.Runner.Address, true)
		}
	}
}

// takeIdle returns the idle connection used last, or nil after it has reserved the place
// of a new one.
func (pool *Pool) takeIdle(request *Request, now time.Time) (*persistentConnection, *runnerConnections, error) {
	var removed []*persistentConnection
	defer func() { closeAll(removed) }() // runs after the mutex is unlocked
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.closed {
		return nil, nil, &apierror.Error{Kind: apierror.Unavailable, Message: "the connections to runners are closed", Remedy: "ask another front", NeverSent: true}
	}
	var runner *runnerConnections
	runner, removed = pool.runnerFor(request.Runner.Address, request.Runner.Incarnation, nil)
	runner.maxTotal = max(request.MaxConnections, 1)
	removed = pool.removeExpired(runner, now, removed)
	if last := len(runner.idle) - 1; last >= 0 {
		connection := runner.idle[last]
		runner.idle[last] = nil
		runner.idle = runner.idle[:last]
		pool.idle--
		pool.inUse++
		return connection, runner, nil
	}
	if runner.total >= runner.maxTotal {
		return nil, nil, &apierror.Error{Kind: apierror.Unavailable, Message: "the connections to runner " + request.Runner.Address + " are all out", Remedy: "choose another runner", NeverSent: true}
	}
	runner.total++
	pool.inUse++
	return nil, runner, nil
}

// dial opens a connection whose place is reserved, and releases the place if it fails.
// The error has Lost set unless the caller's deadline was the reason.
func (pool *Pool) dial(ctx context.Context, request *Request, runner *runnerConnections) (*persistentConnection, error) {
	address := request.Runner.Address
	deadline, ownTimeout := time.Now().Add(dialTimeout), true
	if !request.Deadline.IsZero() && request.Deadline.Before(deadline) {
		deadline, ownTimeout = request.Deadline, false
	}
	dialling, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	stream, err := pool.network.Dial(dialling, address)
	if err != nil {
		pool.release(runner)
		if ctx.Err() != nil {
			return nil, cancelled(ctx, address, true)
		}
		return nil, &apierror.Error{Kind: apierror.Unavailable, Message: "cannot reach runner " + address + ": " + err.Error(), Remedy: "check that the runner runs and that its address is right",
			NeverSent: true, ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED), Lost: ownTimeout || dialling.Err() == nil, Cause: err}
	}
	pool.dials.Add(1)
	connection := newConnection(stream, runner)
	connection.SetDeadline(request.Deadline)
	return connection, nil
}

// release gives up the place of a connection in use.
func (pool *Pool) release(runner *runnerConnections) {
	pool.mutex.Lock()
	runner.total--
	pool.inUse--
	pool.mutex.Unlock()
}

// discard closes a connection in use.
func (pool *Pool) discard(connection *persistentConnection) {
	connection.Close()
	pool.release(connection.runner)
}

// put makes a connection in use idle, so that another request may be sent on it. It is
// closed instead if its runner was removed or has more connections than allowed now.
func (pool *Pool) put(connection *persistentConnection) {
	runner, now := connection.runner, time.Now()
	pool.mutex.Lock()
	timeout := connection.keepAlive
	if !connection.hasKeepAlive {
		timeout = time.Duration(runner.idleTimeout.Load())
	}
	if runner.removed || runner.total > runner.maxTotal {
		pool.mutex.Unlock()
		pool.discard(connection)
		return
	}
	connection.idleSince, connection.expires = now, now.Add(timeout)
	runner.idle = append(runner.idle, connection)
	pool.idle++
	pool.inUse--
	if !pool.sweepScheduled {
		pool.sweepScheduled = true
		pool.sweepTimer.Reset(max(timeout, minSweepInterval))
	}
	pool.mutex.Unlock()
}
