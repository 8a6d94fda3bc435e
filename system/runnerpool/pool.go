// Package runnerpool sends forwarded requests to runners over persistent HTTP/1.1 connections.
//
// It does not use net/http's Transport, because the callers must know exactly what may
// have happened. Every failure says whether the request was never sent, was rejected by
// a runner that guarantees it did not run, or may have run (see Pool.Send). The
// invariants are:
//
//   - A response is only passed on if it carries the ID of its request, or if it is the
//     first on a new connection, has status 300 or higher and no ID. Late responses to
//     earlier requests on the same connection are dropped.
//   - A request is sent again by the pool only while no byte of it was accepted by a
//     connection. The caller decides on all other retries.
//   - The end of a response body is reported as io.EOF only if it is provably complete.
//   - A connection carries one request at a time and is reused only if the last exchange
//     on it ended cleanly and nothing has arrived on it since.
//
// The pool owns its connections, idle and in use, and a timer that closes idle ones. A
// Response owns its connection until Close. A separate goroutine writes a request that is
// too long for one write; it ends with the write or when the connection is closed, and
// Response.Close waits for it.
package runnerpool

import (
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"yardrock.example/system/feed"
	"yardrock.example/system/link"
)

const (
	// defaultIdleTimeout applies to connections whose runner announces no timeout: slightly
	// below the five seconds that many HTTP servers use. It is shortened for runners that
	// close connections earlier.
	defaultIdleTimeout = 4 * time.Second
	// minSweepInterval is the minimum time between two sweeps for expired connections.
	minSweepInterval = time.Second
)

// Pool holds connections to runners. Its methods may be called concurrently.
type Pool struct {
	network link.Network
	headers HeaderNames // in canonical form
	dials   atomic.Uint64
	reuses  atomic.Uint64

	mutex          sync.Mutex                    // guards the fields below
	runners        map[string]*runnerConnections // by address
	inUse          int
	idle           int
	closed         bool
	sweepTimer     *time.Timer
	sweepScheduled bool
}

// runnerConnections holds the connections to one incarnation of a runner at an address.
// Pool.mutex guards all fields but idleTimeout.
type runnerConnections struct {
	incarnation string                  // empty: not yet known
	idle        []*persistentConnection // least recently used first
	total       int                     // idle, in use or being dialled
	maxTotal    int
	// idleTimeout, a time.Duration, applies to connections whose runner announces no
	// timeout.
	idleTimeout atomic.Int64
	removed     bool // connections in use are closed instead of becoming idle
}

// Stats holds the counters of a pool.
type Stats struct {
	Dials  uint64 // connections opened
	Reuses uint64 // requests sent on a reused connection
	Idle   int    // idle connections now
	InUse  int    // connections in use or being dialled now
}

// New returns a pool for runners that understand the given headers. It must be closed.
//
//	pool := runnerpool.New(link.TCP{}, runnerpool.HeaderNames{RequestID: "Query-Name", NotRun: "Not-Run"})
//	defer pool.Close()
func New(network link.Network, headers HeaderNames) *Pool {
	for _, name := range []*string{&headers.RequestID, &headers.NotRun, &headers.ExpectedRunner, &headers.Timeout, &headers.Load, &headers.Urgency, &headers.LastEventID, &headers.Tenant, &headers.RunnerID, &headers.WarmUpLeft} {
		*name = textproto.CanonicalMIMEHeaderKey(*name)
	}
	pool := &Pool{network: network, headers: headers, runners: map[string]*runnerConnections{}}
	pool.sweepTimer = time.AfterFunc(time.Hour, pool.sweep)
	pool.sweepTimer.Stop()
	return pool
}

// Close closes all idle connections and stops the sweep. Connections in use are closed
// when their responses are. Send fails from then on.
//
//	pool.Close()
func (pool *Pool) Close() {
	pool.mutex.Lock()
	pool.closed = true
	pool.sweepTimer.Stop()
	removed := []*persistentConnection{}
	for address := range pool.runners {
		removed = pool.removeRunner(address, removed)
	}
	pool.mutex.Unlock()
	closeAll(removed)
}

// Stats returns the counters.
//
//	log.WithField("dials", pool.Stats().Dials).Info("connections to runners")
func (pool *Pool) Stats() Stats {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return Stats{Dials: pool.dials.Load(), Reuses: pool.reuses.Load(), Idle: pool.idle, InUse: pool.inUse}
}

// Retain closes the idle connections to all runners except the given ones, and those in
// use when their responses are closed. An empty incarnation on either side matches any.
//
//	pool.Retain(view.Runners)
func (pool *Pool) Retain(runners []feed.Runner) {
	pool.mutex.Lock()
	retained := make(map[string]bool, len(pool.runners))
	for index := range runners {
		runner := pool.runners[runners[index].Address]
		if runner != nil && sameIncarnation(runner.incarnation, runners[index].Incarnation) {
			retained[runners[index].Address] = true
		}
	}
	removed := []*persistentConnection{}
	for address := range pool.runners {
		if !retained[address] {
			removed = pool.removeRunner(address, removed)
		}
	}
	pool.mutex.Unlock()
	closeAll(removed)
}

// sameIncarnation reports whether two incarnations are equal or one is not known.
func sameIncarnation(left, right string) bool { return left == "" || right == "" || left == right }

// removeRunner removes a runner and appends its idle connections to those that the
// caller must close after unlocking. The caller holds the mutex.
func (pool *Pool) removeRunner(address string, removed []*persistentConnection) []*persistentConnection {
	runner := pool.runners[address]
	delete(pool.runners, address)
	runner.removed = true
	pool.idle -= len(runner.idle)
	runner.total -= len(runner.idle)
	removed = append(removed, runner.idle...)
	runner.idle = nil
	return removed
}

// closeAll closes connections. It is called without the mutex, because closing may block.
func closeAll(removed []*persistentConnection) {
	for _, connection := range removed {
		connection.Close()
	}
}

// runnerFor returns the connections to an incarnation of a runner and removes another
// incarnation at the same address. The caller holds the mutex.
func (pool *Pool) runnerFor(address, incarnation string, removed []*persistentConnection) (*runnerConnections, []*persistentConnection) {
	runner := pool.runners[address]
	if runner != nil && !sameIncarnation(runner.incarnation, incarnation) {
		removed = pool.removeRunner(address, removed)
		runner = nil
	}
	if runner == nil {
		runner = &runnerConnections{incarnation: incarnation}
		runner.idleTimeout.Store(int64(defaultIdleTimeout))
		pool.runners[address] = runner
	}
	if runner.incarnation == "" {
		runner.incarnation = incarnation
	}
	return runner, removed
}

// removeExpired removes a runner's expired idle connections and appends them to those
// that the caller must close after unlocking. The caller holds the mutex.
func (pool *Pool) removeExpired(runner *runnerConnections, now time.Time, removed []*persistentConnection) []*persistentConnection {
	unexpired := runner.idle[:0]
	for _, connection := range runner.idle {
		if now.Before(connection.expires) {
			unexpired = append(unexpired, connection)
			continue
		}
		removed = append(removed, connection)
	}
	clear(runner.idle[len(unexpired):])
	pool.idle -= len(runner.idle) - len(unexpired)
	runner.total -= len(runner.idle) - len(unexpired)
	runner.idle = unexpired
	return removed
}

// sweep closes expired idle connections and schedules itself for when the next one
// expires. It runs on the timer's goroutine.
func (pool *Pool) sweep() {
	now := time.Now()
	removed := []*persistentConnection{}
	pool.mutex.Lock()
	var next time.Time
	for _, runner := range pool.runners {
		removed = pool.removeExpired(runner, now, removed)
		for _, connection := range runner.idle {
			if next.IsZero() || connection.expires.Before(next) {
				next = connection.expires
			}
		}
	}
	if pool.sweepScheduled = !next.IsZero() && !pool.closed; pool.sweepScheduled {
		pool.sweepTimer.Reset(max(next.Sub(now), minSweepInterval))
	}
	pool.mutex.Unlock()
	closeAll(removed)
}
