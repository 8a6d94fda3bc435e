package forwarding

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/balancer"
	"yardrock.example/system/config"
	"yardrock.example/system/line"
	"yardrock.example/system/runnerpool"
)

const (
	// mostUnsent bounds how often another runner is taken though nothing was sent.
	mostUnsent = 6
	// wholeBytes is the longest plain answer that is read whole before it is passed on.
	wholeBytes = 256 << 10
	retrySoon  = 200 * time.Millisecond
	// leastLeft is the time that must be left for another runner to be worth trying.
	leastLeft = 50 * time.Millisecond
	endPause  = 50 * time.Millisecond
)

// streamed is what has been passed on of a stream.
type streamed struct {
	begun  bool
	last   string // id of the last event
	number int64  // the same as a number
	output []byte // data of the events, each with a line feed, if history is kept
	tokens uint64
	ended  bool // the runner's stream is whole
}

// dispatch sends the query to a runner, and to another where that can't make it run
// twice.
func dispatch(forwarder *Forwarder, ctx context.Context, going *passage) (bool, error) {
	ctx, cancel := context.WithDeadline(ctx, going.deadline)
	defer cancel()
	if number, numbered := numberOf(going.Resumes); numbered && going.route.Resumable {
		going.stream.last, going.stream.number = going.Resumes, number
	}
	race := newRace(ctx, forwarder, going)
	defer race.end()
	unsent := 0
	for {
		failed, again := race.next()
		if failed == nil {
			return true, nil
		}
		if apierror.Of(failed).NeverSent {
			unsent++
		}
		more := again && unsent < mostUnsent && going.triesLeft() && ctx.Err() == nil
		if !more {
			failed = race.wait(failed)
			if failed == nil {
				return true, nil
			}
			forwarder.giveUp(going, failed)
			return true, failed
		}
	}
}

// triesLeft tells whether the query may be sent to one more runner, and has the time.
func (going *passage) triesLeft() bool {
	return going.sent < max(going.route.MaxAttempts, 1) && time.Until(going.deadline) > leastLeft
}

// giveUp books the end of a turn that has no whole answer.
func (forwarder *Forwarder) giveUp(going *passage, failed error) {
	outcome := line.OutcomeCut
	if going.stream.ended {
		outcome = line.OutcomeComplete // its commit is unclear: the same end may be booked again
	}
	if apierror.Is(failed, apierror.NotRun) && !going.stream.begun {
		outcome = line.OutcomeNotRun
	}
	forwarder.book(going, outcome)
}

// repeatable tells whether the query may run more than once.
func (going *passage) repeatable() bool {
	return going.route.Kind == config.Repeatable || (going.route.Kind == config.Streaming && going.route.Resumable)
}

// mayGoOn tells whether another runner may get the query after a failed try.
func (going *passage) mayGoOn(told *apierror.Error) bool {
	return told.NeverSent || told.Kind == apierror.NotRun || going.repeatable()
}

// refusal is what the caller is told of a failed try: "not run" is a promise, so it is
// told only if no earlier try may have run either.
func (going *passage) refusal(err error) error {
	told := *apierror.Of(err)
	vouched := told.NeverSent || told.Kind == apierror.NotRun
	switch {
	case going.stream.begun:
		return err
	case !vouched:
		going.unsure = true
		if told.Kind != apierror.RunnerFailure {
			told.Kind = apierror.Unknown
		}
	case going.unsure:
		told.Kind = apierror.Unknown
	default:
		told.Kind = apierror.NotRun
		if told.RetryAfter == 0 {
			told.RetryAfter = retrySoon
		}
	}
	return &told
}

// streams tells whether an answer is a stream of events.
func (going *passage) streams(reply *runnerpool.Reply) bool {
	if going.route.Kind != config.Streaming || reply.Status != http.StatusOK {
		return false
	}
	kind, _, err := mime.ParseMediaType(reply.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// passWhole reads a plain answer whole, if it is not too long, and passes it on.
func (forwarder *Forwarder) passWhole(ctx context.Context, race *race, made *attempt) (balancer.Ending, error) {
	going, reply := race.going, made.reply
	if going.stream.begun {
		return balancer.Failed, broken("a stream was to go on, but the runner answered " + strconv.Itoa(reply.Status))
	}
	ending := balancer.Answered
	if reply.Status >= http.StatusInternalServerError {
		ending = balancer.Failed
	}
	if promises[reply.Status] {
		// The runner did not vouch for it, so it can't be passed on as a promise.
		going.unsure = true
		return ending, broken("the runner answered " + strconv.Itoa(reply.Status) + " without a vouch")
	}
	data, err := io.ReadAll(io.LimitReader(reply, wholeBytes))
	if err != nil {
		going.unsure = true
		return balancer.Lost, err
	}
	if ending == balancer.Failed && going.repeatable() && (going.triesLeft() || len(race.running) > 0) {
		going.unsure = true
		return ending, broken("the runner answered " + strconv.Itoa(reply.Status))
	}
	outcome := line.OutcomeCut
	if reply.Status < http.StatusMultipleChoices {
		// A success without events says nothing of tokens: it counts at its most, and a
		// turn that is kept must be known before it looks whole.
		outcome, going.stream.tokens = line.OutcomeComplete, going.TokensOut
		if going.route.StoresHistory {
			if err := forwarder.endStream(ctx, going); err != nil {
				going.unsure = true
				return ending, err
			}
		}
	}
	if err := going.answer.Begin(reply.Status, reply.Header); err != nil {
		return balancer.Abandoned, errors.Join(errCaller, err)
	}
	going.stream.begun = true
	if err := going.answer.Write(data); err != nil {
		return balancer.Abandoned, errors.Join(errCaller, err)
	}
	if len(data) == wholeBytes {
		if _, err := io.Copy(writer{going.answer}, reply); err != nil {
			return balancer.Lost, errors.Join(errCaller, err)
		}
	}
	if ctx.Err() == nil {
		made.lease.First(time.Since(made.began))
	}
	if !going.stream.ended {
		forwarder.book(going, outcome)
	}
	return ending, nil
}

// promises are the statuses by which a front tells that a query did not run and never
// will.
var promises = map[int]bool{http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true, http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true}

// writer lets an answer be copied to.
type writer struct{ answer Answer }

// Write passes data on.
func (target writer) Write(data []byte) (int, error) { return len(data), target.answer.Write(data) }

func broken(message string) error {
	return &apierror.Error{Kind: apierror.RunnerFailure, Message: message, Remedy: "see the runner's own log", Lost: true}
}

// passStream passes events on as they come. The end is passed on only once a turn that
// is kept is committed whole.
func (forwarder *Forwarder) passStream(ctx context.Context, going *passage, reply *runnerpool.Reply, perEvent uint64, first func()) (balancer.Ending, error) {
	going.unsure = true
	events := runnerpool.NewEvents(reply)
	if !going.stream.begun {
		if going.repeatable() {
			delete(reply.Header, "Content-Length") // another runner may go on with it
		}
		if err := going.answer.Begin(reply.Status, reply.Header); err != nil {
			return balancer.Abandoned, errors.Join(errCaller, err)
		}
		going.stream.begun = true
	}
	resumed := going.stream.last != ""
	for fresh := true; ; fresh = false {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return balancer.Answered, forwarder.endStream(ctx, going)
		}
		if err != nil {
			if ctx.Err() != nil {
				return balancer.Abandoned, err
			}
			return balancer.Lost, err
		}
		if fresh {
			first()
		}
		number, numbered := numberOf(event.ID)
		if resumed && numbered && number <= going.stream.number {
			continue
		}
		// A token counts as put out from here on, whether or not the caller gets it.
		if event.HasData {
			going.stream.tokens += perEvent
			if going.route.StoresHistory {
				going.stream.output = append(append(going.stream.output, event.Data...), '\n')
			}
		}
		if event.ID != "" {
			going.stream.last, going.stream.number = event.ID, number
		}
		if err := going.answer.Write(event.Raw); err != nil {
			return balancer.Abandoned, errors.Join(errCaller, err)
		}
	}
}

func numberOf(text string) (int64, bool) {
	number, err := strconv.ParseInt(text, 10, 64)
	return number, err == nil
}

// tokensPerEvent tells how many tokens one event of a service's runners carries.
func tokensPerEvent(service *config.Service) uint64 {
	if service == nil || service.Engine == nil {
		return 1
	}
	return max(service.Engine.TokensPerEvent, 1)
}

// endStream commits the end of a turn. What is not kept is booked behind the caller's
// back: until then it counts at its most.
func (forwarder *Forwarder) endStream(ctx context.Context, going *passage) error {
	if going.begun == nil {
		return nil
	}
	if !going.route.StoresHistory {
		forwarder.book(going, line.OutcomeComplete)
		return nil
	}
	going.stream.ended = true
	err := forwarder.end(ctx, going, line.OutcomeComplete)
	for !decided(err) && ctx.Err() == nil {
		select {
		case <-time.After(endPause):
			err = forwarder.end(ctx, going, line.OutcomeComplete)
		case <-ctx.Done():
		}
	}
	if err != nil {
		log.WithFields(log.Fields{"node": forwarder.settings.Node, "line": going.line, "query": going.Name, "error": err.Error()}).Warn("turn_not_committed")
		return errors.Join(errCaller, &apierror.Error{Kind: apierror.Unknown, Message: "the turn ran, but could not be kept", Remedy: "ask anew"})
	}
	return nil
}
