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
	// defaultIdleTimeout is how long a connection is kept idle if the runner doesn't say how long
	// it keeps one: a little less than the five seconds that many HTTP servers use. What
	// is found closed before that shortens it for the runner.
	defaultIdleTimeout = 4 * time.Second
	// minSweepInterval is the least time between two looks for connections to retire.
	minSweepInterval = time.Second
)

// Pool keeps connections to runners.
type Pool struct {
	network link.Network
	headers HeaderNames // names in their canonical form
	dials   atomic.Uint64
	reuses  atomic.Uint64

	mutex          sync.Mutex
	runners        map[string]*runnerConnections
	inUse          int
	idle           int
	closed         bool
	sweepTimer     *time.Timer
	sweepScheduled bool
}

// runnerConnections is what is kept of one life of a runner at an address.
type runnerConnections struct {
	life     string
	idle     []*persistentConnection // the one used last comes last
	total    int                     // idle, out and being dialled
	maxTotal int
	// idleTimeout is how long connections of a runner that tells no time are kept idle.
	idleTimeout atomic.Int64
	removed     bool
}

// Stats tells what connections were used and are held.
type Stats struct {
	Dials  uint64 // connections that were dialled
	Reuses uint64 // queries sent over a connection that had borne another
	Idle   int
	InUse  int // in use, or being dialled
}

// New makes a pool on a network, for runners that understand a dialect.
//
//	pool := runnerpool.New(link.TCP{}, runnerpool.HeaderNames{Query: "Query-Name", NotRun: "Not-Run"})
//	defer pool.Close()
func New(network link.Network, headers HeaderNames) *Pool {
	for _, name := range []*string{&headers.RequestID, &headers.NotRun, &headers.ExpectedRunner, &headers.Timeout, &headers.Load, &headers.Urgency, &headers.LastEventID, &headers.RunnerID, &headers.WarmUpLeft} {
		*name = textproto.CanonicalMIMEHeaderKey(*name)
	}
	pool := &Pool{network: network, headers: headers, runners: map[string]*runnerConnections{}}
	pool.sweepTimer = time.AfterFunc(time.Hour, pool.sweep)
	pool.sweepTimer.Stop()
	return pool
}

// Close ends all idle connections; those in use end with their replies.
//
//	pool.Close()
func (pool *Pool) Close() {
	pool.mutex.Lock()
	pool.closed = true
	pool.sweepTimer.Stop()
	ended := []*persistentConnection{}
	for address := range pool.runners {
		ended = pool.removeRunner(address, ended)
	}
	pool.mutex.Unlock()
	closeAll(ended)
}

// Stats tells what was used since the start, and what is held now.
//
//	log.WithField("dials", pool.Stats().Dials).Info("runner_connections")
func (pool *Pool) Stats() Stats {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return Stats{Dials: pool.dials.Load(), Reuses: pool.reuses.Load(), Idle: pool.idle, InUse: pool.inUse}
}

// Retain keeps connections only to these lives of runners: idle ones to others are
// closed, and those in use are closed when their replies end. A life that is empty on
// either side counts as the same.
//
//	pool.Retain(view.Runners)
func (pool *Pool) Retain(runners []feed.Runner) {
	pool.mutex.Lock()
	retained := make(map[string]bool, len(pool.runners))
	for index := range runners {
		runner := pool.runners[runners[index].Address]
		if runner != nil && sameLife(runner.life, runners[index].Life) {
			retained[runners[index].Address] = true
		}
	}
	ended := []*persistentConnection{}
	for address := range pool.runners {
		if !retained[address] {
			ended = pool.removeRunner(address, ended)
		}
	}
	pool.mutex.Unlock()
	closeAll(ended)
}

func sameLife(left, right string) bool { return left == "" || right == "" || left == right }

// removeRunner lets go of a runner; its idle connections are added to those to be closed.
func (pool *Pool) removeRunner(address string, ended []*persistentConnection) []*persistentConnection {
	runner := pool.runners[address]
	delete(pool.runners, address)
	runner.removed = true
	pool.idle -= len(runner.idle)
	runner.total -= len(runner.idle)
	ended = append(ended, runner.idle...)
	runner.idle = nil
	return ended
}

func closeAll(ended []*persistentConnection) {
	for _, connection := range ended {
		connection.Close()
	}
}

// runnerFor gives what is kept of a runner's life, anew if its address had another.
func (pool *Pool) runnerFor(address, life string, ended []*persistentConnection) (*runnerConnections, []*persistentConnection) {
	runner := pool.runners[address]
	if runner != nil && !sameLife(runner.life, life) {
		ended = pool.removeRunner(address, ended)
		runner = nil
	}
	if runner == nil {
		runner = &runnerConnections{life: life}
		runner.idleTimeout.Store(int64(defaultIdleTimeout))
		pool.runners[address] = runner
	}
	if runner.life == "" {
		runner.life = life
	}
	return runner, ended
}

// closeExpired takes out the idle connections of a runner whose time is over.
func (pool *Pool) closeExpired(runner *runnerConnections, now time.Time, ended []*persistentConnection) []*persistentConnection {
	unexpired := runner.idle[:0]
	for _, connection := range runner.idle {
		if now.Before(connection.expires) {
			unexpired = append(unexpired, connection)
			continue
		}
		ended = append(ended, connection)
	}
	clear(runner.idle[len(unexpired):])
	pool.idle -= len(runner.idle) - len(unexpired)
	runner.total -= len(runner.idle) - len(unexpired)
	runner.idle = unexpired
	return ended
}

// sweep retires idle connections, and comes again when the next one is due.
func (pool *Pool) sweep() {
	now := time.Now()
	ended := []*persistentConnection{}
	pool.mutex.Lock()
	var next time.Time
	for _, runner := range pool.runners {
		ended = pool.closeExpired(runner, now, ended)
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
	closeAll(ended)
}
