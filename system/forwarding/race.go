package forwarding

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/balancer"
	"yardrock.example/system/config"
)

const (
	// silentShare is the part of the time left that a runner may say nothing before a
	// query that may run again is sent to another one as well.
	silentShare = 0.45
	// leastSilent is how long it may say nothing in any case.
	leastSilent = 250 * time.Millisecond
)

// silence gives how long a runner may leave a query unanswered before another one is asked
// as well, if it may run there and there is a try left; else it is 0.
func (going *passage) silence() time.Duration {
	if going.route.Kind != config.Repeatable || going.sent+1 >= going.route.MaxAttempts {
		return 0
	}
	return max(leastSilent, time.Duration(silentShare*float64(time.Until(going.deadline))))
}

// race is the attempts of one query. Only a query of a repeatable route has more than one
// under way: a silent runner may be at work, so it is not broken off when the next one is
// asked. The caller gets the first answer; what comes of the other attempts is discarded.
type race struct {
	context   context.Context // the caller's, with the deadline
	forwarder *Forwarder
	going     *passage
	results   chan *attempt // of those that run beside the caller
	running   []*attempt
	over      atomic.Bool // the caller has its answer, or will get none
	answered  bool
}

func newRace(ctx context.Context, forwarder *Forwarder, going *passage) *race {
	return &race{context: ctx, forwarder: forwarder, going: going}
}

// next asks one more runner and waits for an answer from any. It tells whether another
// runner may be tried.
func (race *race) next() (failed error, again bool) {
	made, err := race.acquire()
	if err != nil {
		return race.going.refusal(err), false
	}
	timeout := race.going.silence()
	if timeout == 0 && len(race.running) == 0 {
		made.send()
		return race.conclude(made)
	}
	race.start(made)
	return race.receive(timeout)
}

// wait waits for the attempts that are still under way, until one answers or all have
// failed; failed is why there is no answer so far.
func (race *race) wait(failed error) error {
	for failed != nil && len(race.running) > 0 && !race.going.stream.begun && !errors.Is(failed, errCaller) {
		failed, _ = race.receive(0)
	}
	return failed
}

// acquire leases a runner that has not been tried.
func (race *race) acquire() (*attempt, error) {
	going := race.going
	lease, err := race.forwarder.settings.Balancer.Acquire(race.context, balancer.Need{
		Route: going.route, Parts: going.Parts, Program: going.Program, Session: going.Session, Subject: going.Subject,
		TokensIn: going.TokensIn, TokensOut: going.TokensOut, Deadline: going.deadline, Finish: going.Finish, Avoid: going.tried,
	})
	if err != nil {
		return nil, err
	}
	return &attempt{
		race: race, lease: lease, rules: going.rules, route: going.route, resume: going.stream.last,
		context: race.context, cancel: func() {},
	}, nil
}

// start sends an attempt beside the caller. It counts as sent from here on, so that all
// that are under way stay within the route's tries.
func (race *race) start(made *attempt) {
	if race.results == nil {
		race.results = make(chan *attempt)
	}
	made.context, made.cancel = context.WithDeadline(race.forwarder.context, race.going.deadline)
	made.detach = context.AfterFunc(race.context, made.cancel)
	if race.context.Err() != nil {
		made.cancel() // at once: what AfterFunc starts may come after the first byte
	}
	race.count(made)
	race.running = append(race.running, made)
	go func() {
		made.send()
		race.results <- made
	}()
}

// receive takes the next result. After a timeout, unless that is 0, the caller may start
// another attempt.
func (race *race) receive(timeout time.Duration) (failed error, again bool) {
	var expired <-chan time.Time
	if timeout > 0 {
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case made := <-race.results:
		race.running = slices.DeleteFunc(race.running, func(other *attempt) bool { return other == made })
		return race.conclude(made)
	case <-expired:
		race.going.unsure = true
		return apierror.New(apierror.Unknown, "the runner has not answered yet", "ask with more time; whether the query ran is not known"), true
	}
}

// count notes that a runner was sent the query.
func (race *race) count(made *attempt) {
	if made.counted {
		return
	}
	made.counted = true
	race.going.sent++
	race.going.tried = append(race.going.tried, made.lease.Runner.Life)
}

// conclude passes an attempt's answer on, or tells why there is none, and whether another
// runner may be tried.
func (race *race) conclude(made *attempt) (failed error, again bool) {
	going := race.going
	defer made.cancel()
	going.rules, going.route = made.rules, made.route
	if made.failed != nil {
		told := apierror.Of(made.failed)
		race.countFailed(made, told)
		made.lease.Release(endingOf(race.context, told), nil)
		return going.refusal(told), going.mayGoOn(told)
	}
	race.count(made)
	ending, err := race.pass(made)
	made.reply.Close()
	if err != nil && race.context.Err() != nil {
		ending = balancer.Abandoned
	}
	made.lease.Release(ending, made.reply.Load)
	race.answered = err == nil
	return err, err != nil && going.repeatable() && !errors.Is(err, errCaller)
}

// countFailed notes what a failed attempt leaves: a runner that provably got nothing does
// not count as one that the query was sent to.
func (race *race) countFailed(made *attempt, told *apierror.Error) {
	going := race.going
	switch {
	case !told.NeverSent:
		race.count(made)
	case made.counted:
		going.sent--
	case told.Lost || told.ConnectionRefused:
		going.tried = append(going.tried, made.lease.Runner.Life)
	}
}

// pass passes a reply on to the caller.
func (race *race) pass(made *attempt) (balancer.Ending, error) {
	if race.going.streams(made.reply) {
		first := func() { made.lease.First(time.Since(made.began)) }
		return race.forwarder.passStream(race.context, race.going, made.reply, tokensPerEvent(made.lease.Service), first)
	}
	return race.forwarder.passWhole(race.context, race, made)
}

// end lets go of the attempts that are still under way. If the caller has its answer they
// go on until theirs, or the deadline; else they are broken off.
func (race *race) end() {
	race.over.Store(true)
	if len(race.running) == 0 {
		return
	}
	for _, made := range race.running {
		if !race.answered || !made.detach() {
			made.cancel()
		}
	}
	left := len(race.running)
	race.forwarder.discarded.start(func() {
		for range left {
			(<-race.results).discard()
		}
	})
}
