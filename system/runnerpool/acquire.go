package runnerpool

import (
	"context"
	"errors"
	"syscall"
	"time"

	"yardrock.example/system/apierror"
)

// dialTimeout limits how long opening a connection may take: a runner's host that takes
// longer is considered down, and time is left to try another runner.
const dialTimeout = 700 * time.Millisecond

// acquire returns a connection with no pending input and with the request's deadline set:
// the most recently used idle one, or a new one. The caller must put or discard it.
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

// takeIdle returns the most recently used idle connection, or nil after counting a new one
// that the caller must dial.
func (pool *Pool) takeIdle(request *Request, now time.Time) (*persistentConnection, *runnerConnections, error) {
	var removed []*persistentConnection
	defer func() { closeAll(removed) }() // runs after the mutex is unlocked
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.closed {
		return nil, nil, &apierror.Error{Kind: apierror.Unavailable, Message: "the runner connection pool is closed", Remedy: "retry on another front", NeverSent: true}
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
		return nil, nil, &apierror.Error{Kind: apierror.Unavailable, Message: "all connections to runner " + request.Runner.Address + " are in use", Remedy: "choose another runner", NeverSent: true}
	}
	runner.total++
	pool.inUse++
	return nil, runner, nil
}

// dial opens a connection that takeIdle has counted, and releases it if dialling fails.
// The error has Lost set unless ctx ended or the request's deadline passed.
func (pool *Pool) dial(ctx context.Context, request *Request, runner *runnerConnections) (*persistentConnection, error) {
	address := request.Runner.Address
	deadline, ownTimeout := time.Now().Add(dialTimeout), true
	if !request.Deadline.IsZero() && request.Deadline.Before(deadline) {
		deadline, ownTimeout = request.Deadline, false
	}
	dialCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	stream, err := pool.network.Dial(dialCtx, address)
	if err != nil {
		pool.release(runner)
		if ctx.Err() != nil {
			return nil, cancelled(ctx, address, true)
		}
		return nil, &apierror.Error{Kind: apierror.Unavailable, Message: "cannot reach runner " + address + ": " + err.Error(), Remedy: "check that the runner is up and its address is correct",
			NeverSent: true, ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED), Lost: ownTimeout || dialCtx.Err() == nil, Cause: err}
	}
	pool.dials.Add(1)
	connection := newConnection(stream, runner)
	connection.SetDeadline(request.Deadline)
	return connection, nil
}

// release removes a connection in use from the counts.
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

// put returns a connection in use to the idle ones. It is closed instead if its runner was
// removed or has more connections than now allowed.
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
