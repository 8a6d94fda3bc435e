package forwarding

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/balancer"
	"yardrock.example/system/config"
	"yardrock.example/system/runnerpool"
)

// attempt is one try of a query at one runner, from the lease to the head of the answer.
// While it runs it touches nothing of the passage that may change.
type attempt struct {
	race  *race
	lease *balancer.Lease
	// rules and route are those under which the query leaves; the last look renews them.
	rules  Rules
	route  *config.Route
	resume string // id of the last event that the caller has
	began  time.Time

	context context.Context
	// cancel ends the attempt; detach lets it go on when the caller's context ends.
	cancel context.CancelFunc
	detach func() bool

	counted bool // as sent, though it has not ended
	reply   *runnerpool.Reply
	failed  error
}

// send asks the runner and waits for the head of its answer.
func (made *attempt) send() {
	going := made.race.going
	made.began = time.Now()
	made.reply, made.failed = made.race.forwarder.settings.Pool.Send(made.context, runnerpool.Dispatch{
		Runner: made.lease.Runner, Most: made.lease.Connections, Method: going.Method, Target: going.Target, Host: going.Host, Header: going.Header,
		Body: going.body, Name: going.Name, Deadline: going.deadline, Resume: made.resume,
		Look: made.look,
	})
}

// look is the last look before the first byte leaves.
func (made *attempt) look() error {
	settings, going := &made.race.forwarder.settings, made.race.going
	if made.race.over.Load() || made.race.context.Err() != nil {
		return apierror.New(apierror.NotRun, "the caller has its answer, or has left", "none: nobody waits for an answer")
	}
	if err := settings.Fresh(); err != nil {
		return err
	}
	changed := apierror.NewRetryable(apierror.NotRun, "what is in force changed before anything was sent", "ask again", retrySoon)
	rules := settings.Rules()
	if rules.Routing != made.rules.Routing {
		route, found := rules.Routing.Match(going.Host, going.Path)
		if !found || route.Kind != made.route.Kind || route.StoresHistory != made.route.StoresHistory {
			return changed
		}
		made.rules, made.route = rules, route
	}
	if !made.lease.Stands() || !made.lease.Serves(made.route) {
		return changed
	}
	return nil
}

// discard ends an attempt whose answer nobody needs: it is read to its end, as breaking
// it off would waste the runner's work and the connection.
func (made *attempt) discard() {
	defer made.cancel()
	if made.failed != nil {
		made.lease.Release(endingOf(made.context, apierror.Of(made.failed)), nil)
		return
	}
	_, err := io.Copy(io.Discard, io.LimitReader(made.reply, wholeBytes))
	made.reply.Close()
	ending := balancer.Answered
	switch {
	case err != nil && made.context.Err() != nil:
		ending = balancer.Abandoned
	case err != nil:
		ending = balancer.Lost
	case made.reply.Status >= http.StatusInternalServerError:
		ending = balancer.Failed
	}
	made.lease.Release(ending, made.reply.Load)
}

// endingOf tells the balancer what a failed attempt shows of its runner.
func endingOf(ctx context.Context, told *apierror.Error) balancer.Ending {
	switch {
	case told.Misdirected:
		return balancer.Misdirected
	case told.Kind == apierror.NotRun && !told.NeverSent:
		return balancer.Refused
	case told.Lost || told.ConnectionRefused:
		return balancer.Lost
	case told.NeverSent:
		return balancer.Unused
	case ctx.Err() != nil:
		return balancer.Abandoned
	}
	return balancer.Failed
}

var errCaller = errors.New("the caller left")
