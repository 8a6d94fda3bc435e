package runnerpool

import (
	"context"
	"errors"
	"net/textproto"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/link"
)

const (
	dialTimeout = 700 * time.Millisecond
	// untoldIdle is how long a connection is kept idle if the runner doesn't say how long
	// it keeps one: a little less than the five seconds that many HTTP servers use. What
	// is found closed before that shortens it for the runner.
	untoldIdle = 4 * time.Second
	// shortestIdle is as far as the idle time of a runner is shortened; what closes sooner
	// shows trouble and not a time.
	shortestIdle = 250 * time.Millisecond
	// sweepPause is the least time between two looks for connections to retire.
	sweepPause = time.Second
)

// Pool keeps connections to runners.
type Pool struct {
	network link.Network
	dialect Dialect // names in their canonical form
	dials   atomic.Uint64
	reuses  atomic.Uint64

	mutex   sync.Mutex
	runners map[string]*runner
	out     int
	idle    int
	closed  bool
	sweeper *time.Timer
	armed   bool
}

// runner is what is kept of one life of a runner at an address.
type runner struct {
	life  string
	idle  []*connection // the one used last comes last
	total int           // idle, out and being dialled
	most  int
	// timeout is how long connections of a runner that tells no time are kept idle.
	timeout atomic.Int64
	gone    bool
}

// Stats tells what connections were used and are held.
type Stats struct {
	Dials  uint64 // connections that were dialled
	Reuses uint64 // queries sent over a connection that had borne another
	Idle   int
	Out    int // in use, or being dialled
}

// New makes a pool on a network, for runners that understand a dialect.
//
//	pool := runnerpool.New(link.TCP{}, runnerpool.Dialect{Query: "Query-Name", NotRun: "Not-Run"})
//	defer pool.Close()
func New(network link.Network, dialect Dialect) *Pool {
	for _, name := range []*string{&dialect.Query, &dialect.NotRun, &dialect.Expected, &dialect.TimeLeft, &dialect.Load, &dialect.Urgency, &dialect.Resume, &dialect.Runner, &dialect.ColdFor} {
		*name = textproto.CanonicalMIMEHeaderKey(*name)
	}
	pool := &Pool{network: network, dialect: dialect, runners: map[string]*runner{}}
	pool.sweeper = time.AfterFunc(time.Hour, pool.sweep)
	pool.sweeper.Stop()
	return pool
}

// Close ends all idle connections; those in use end with their replies.
//
//	pool.Close()
func (pool *Pool) Close() {
	pool.mutex.Lock()
	pool.closed = true
	pool.sweeper.Stop()
	ended := []*connection{}
	for address := range pool.runners {
		ended = pool.forget(address, ended)
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
	return Stats{Dials: pool.dials.Load(), Reuses: pool.reuses.Load(), Idle: pool.idle, Out: pool.out}
}

// Retain keeps connections only to these lives of runners: idle ones to others are
// closed, and those in use are closed when their replies end. A life that is empty on
// either side counts as the same.
//
//	pool.Retain(view.Runners)
func (pool *Pool) Retain(runners []feed.Runner) {
	pool.mutex.Lock()
	kept := make(map[string]bool, len(pool.runners))
	for index := range runners {
		held := pool.runners[runners[index].Address]
		if held != nil && sameLife(held.life, runners[index].Life) {
			kept[runners[index].Address] = true
		}
	}
	ended := []*connection{}
	for address := range pool.runners {
		if !kept[address] {
			ended = pool.forget(address, ended)
		}
	}
	pool.mutex.Unlock()
	closeAll(ended)
}

func sameLife(left, right string) bool { return left == "" || right == "" || left == right }

// forget lets go of a runner; its idle connections are added to those to be closed.
func (pool *Pool) forget(address string, ended []*connection) []*connection {
	held := pool.runners[address]
	delete(pool.runners, address)
	held.gone = true
	pool.idle -= len(held.idle)
	held.total -= len(held.idle)
	ended = append(ended, held.idle...)
	held.idle = nil
	return ended
}

func closeAll(ended []*connection) {
	for _, connection := range ended {
		connection.Close()
	}
}

// hold gives what is kept of a runner's life, anew if its address had another.
func (pool *Pool) hold(address, life string, ended []*connection) (*runner, []*connection) {
	held := pool.runners[address]
	if held != nil && !sameLife(held.life, life) {
		ended = pool.forget(address, ended)
		held = nil
	}
	if held == nil {
		held = &runner{life: life}
		held.timeout.Store(int64(untoldIdle))
		pool.runners[address] = held
	}
	if held.life == "" {
		held.life = life
	}
	return held, ended
}

// retire takes out the idle connections of a runner whose time is over.
func (pool *Pool) retire(held *runner, now time.Time, ended []*connection) []*connection {
	kept := held.idle[:0]
	for _, connection := range held.idle {
		if now.Before(connection.expires) {
			kept = append(kept, connection)
			continue
		}
		ended = append(ended, connection)
	}
	clear(held.idle[len(kept):])
	pool.idle -= len(held.idle) - len(kept)
	held.total -= len(held.idle) - len(kept)
	held.idle = kept
	return ended
}

// sweep retires idle connections, and comes again when the next one is due.
func (pool *Pool) sweep() {
	now := time.Now()
	ended := []*connection{}
	pool.mutex.Lock()
	var next time.Time
	for _, held := range pool.runners {
		ended = pool.retire(held, now, ended)
		for _, connection := range held.idle {
			if next.IsZero() || connection.expires.Before(next) {
				next = connection.expires
			}
		}
	}
	if pool.armed = !next.IsZero() && !pool.closed; pool.armed {
		pool.sweeper.Reset(max(next.Sub(now), sweepPause))
	}
	pool.mutex.Unlock()
	closeAll(ended)
}

// acquire gives a connection on which nothing waits, with the dispatch's deadline set.
func (pool *Pool) acquire(ctx context.Context, dispatch *Dispatch) (*connection, error) {
	address, now := dispatch.Runner.Address, time.Now()
	for {
		taken, held, err := pool.take(dispatch, now)
		if err != nil {
			return nil, err
		}
		if taken == nil {
			return pool.dial(ctx, dispatch, held)
		}
		taken.SetDeadline(dispatch.Deadline)
		if taken.quiet() {
			return taken, nil
		}
		taken.heed(now)
		pool.drop(taken)
		if ctx.Err() != nil {
			return nil, cancelled(address, true)
		}
	}
}

// take gives the idle connection used last, or none and a place for a new one.
func (pool *Pool) take(dispatch *Dispatch, now time.Time) (*connection, *runner, error) {
	var ended []*connection
	defer func() { closeAll(ended) }()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.closed {
		return nil, nil, &apierror.Error{Kind: apierror.Unavailable, Message: "the connections to runners are closed", Remedy: "ask another front", NeverSent: true}
	}
	var held *runner
	held, ended = pool.hold(dispatch.Runner.Address, dispatch.Runner.Life, nil)
	held.most = max(dispatch.Most, 1)
	ended = pool.retire(held, now, ended)
	if last := len(held.idle) - 1; last >= 0 {
		taken := held.idle[last]
		held.idle[last] = nil
		held.idle = held.idle[:last]
		pool.idle--
		pool.out++
		return taken, held, nil
	}
	if held.total >= held.most {
		return nil, nil, &apierror.Error{Kind: apierror.Unavailable, Message: "the connections to runner " + dispatch.Runner.Address + " are all out", Remedy: "choose another runner", NeverSent: true}
	}
	held.total++
	pool.out++
	return nil, held, nil
}

func (pool *Pool) dial(ctx context.Context, dispatch *Dispatch, held *runner) (*connection, error) {
	address := dispatch.Runner.Address
	until, own := time.Now().Add(dialTimeout), true
	if !dispatch.Deadline.IsZero() && dispatch.Deadline.Before(until) {
		until, own = dispatch.Deadline, false
	}
	dialling, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	stream, err := pool.network.Dial(dialling, address)
	if err != nil {
		pool.release(held)
		if ctx.Err() != nil {
			return nil, cancelled(address, true)
		}
		return nil, &apierror.Error{Kind: apierror.Unavailable, Message: "cannot reach runner " + address + ": " + err.Error(), Remedy: "check that the runner runs and that its address is right",
			NeverSent: true, ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED), Lost: own || dialling.Err() == nil}
	}
	pool.dials.Add(1)
	made := newConnection(stream, held)
	made.SetDeadline(dispatch.Deadline)
	return made, nil
}

func (pool *Pool) release(held *runner) {
	pool.mutex.Lock()
	held.total--
	pool.out--
	pool.mutex.Unlock()
}

// drop closes a connection that was taken.
func (pool *Pool) drop(taken *connection) {
	taken.Close()
	pool.release(taken.runner)
}

// put gives back a connection on which a next query may be sent.
func (pool *Pool) put(taken *connection) {
	held, now := taken.runner, time.Now()
	pool.mutex.Lock()
	timeout := taken.keep
	if !taken.told {
		timeout = time.Duration(held.timeout.Load())
	}
	if held.gone || held.total > held.most {
		pool.mutex.Unlock()
		pool.drop(taken)
		return
	}
	taken.idleSince, taken.expires = now, now.Add(timeout)
	held.idle = append(held.idle, taken)
	pool.idle++
	pool.out--
	if !pool.armed {
		pool.armed = true
		pool.sweeper.Reset(max(timeout, sweepPause))
	}
	pool.mutex.Unlock()
}
