// Package storeorigin finds the leader of a line's group and asks it. Every
// command it sends may be sent again: the state machine dedupes it.
package storeorigin

import (
	"context"
	"sync"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/line"
	"yardrock.example/system/link"
	"yardrock.example/system/placement"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

const (
	hintLife     = 10 * time.Second
	callTimeout  = 1200 * time.Millisecond
	firstPause   = 20 * time.Millisecond
	longestPause = 120 * time.Millisecond
	// silenceTimeout is how long the one who is asked may keep silent before the others
	// are asked as well, and silentPause what then lies between two of them.
	silenceTimeout = 400 * time.Millisecond
	silentPause    = 150 * time.Millisecond
	// mostRedirects bounds how often a leader that is named is asked without a pause.
	mostRedirects = 3
	// mostOut is more than are ever asked at the same time.
	mostOut = 64
)

type hint struct {
	name  string
	until time.Time
}

// Origin asks stores on behalf of a front.
type Origin struct {
	caller *link.Client
	view   func() *feed.View
	mutex  sync.Mutex
	hints  map[uint32]hint
}

// New makes an origin; view gives the newest view held.
//
//	origin := storeorigin.New(caller, following.View)
func New(caller *link.Client, view func() *feed.View) *Origin {
	return &Origin{caller: caller, view: view, hints: map[uint32]hint{}}
}

func (origin *Origin) hinted(group uint32) string {
	origin.mutex.Lock()
	defer origin.mutex.Unlock()
	if known, found := origin.hints[group]; found && time.Now().Before(known.until) {
		return known.name
	}
	return ""
}

func (origin *Origin) hint(group uint32, name string) {
	origin.mutex.Lock()
	defer origin.mutex.Unlock()
	if name == "" {
		delete(origin.hints, group)
		return
	}
	origin.hints[group] = hint{name: name, until: time.Now().Add(hintLife)}
}

// unhint forgets a hint to one that does not lead.
func (origin *Origin) unhint(group uint32, name string) {
	origin.mutex.Lock()
	defer origin.mutex.Unlock()
	if origin.hints[group].name == name {
		delete(origin.hints, group)
	}
}

// result is what came of one try.
type result struct {
	target string
	reply  *wire.Reply
	err    error
}

// asking is one question under way: the replicas that were asked and have not answered.
type asking struct {
	origin  *Origin
	name    string
	timeout time.Duration
	query   func(group uint32) *wire.Query
	results chan result
	out     map[string]bool
	turn    int
}

// next picks whom to ask: the hinted leader, else the next of the replicas; nobody who
// is asked already.
func (asking *asking) next(view *feed.View, group uint32) string {
	if target := asking.origin.hinted(group); target != "" && !asking.out[target] && view.AddressOf(target) != "" {
		return target
	}
	replicas := placement.ReplicasOf(group, view.PlacementCandidates(), view.ReplicationFactor())
	for range replicas {
		target := replicas[asking.turn%len(replicas)]
		asking.turn++
		if !asking.out[target] && view.AddressOf(target) != "" {
			return target
		}
	}
	return ""
}

// launch asks one more replica; false tells that there is none.
func (asking *asking) launch(ctx context.Context) bool {
	view := asking.origin.view()
	group := placement.GroupOf(asking.name, view.Groups)
	target := asking.next(view, group)
	if target == "" || len(asking.out) == mostOut {
		return false
	}
	asking.out[target] = true
	query, address := asking.query(group), view.AddressOf(target)
	query.Fleet = view.Fleet
	go func() {
		limited, cancel := context.WithTimeout(ctx, asking.timeout)
		defer cancel()
		reply, err := asking.origin.caller.Call(limited, address, query)
		if err != nil && limited.Err() != nil && ctx.Err() == nil {
			asking.origin.caller.DropIfSilent(address, asking.timeout)
		}
		asking.results <- result{target, reply, err}
	}()
	return true
}

// ask goes to the hinted leader, else through the replicas, until one answers as
// leader or the context ends. While one keeps silent, the others are asked as well. It
// tells whether some query may have arrived.
func (origin *Origin) ask(ctx context.Context, name string, timeout time.Duration, query func(group uint32) *wire.Query) (*wire.Reply, bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	asking := &asking{origin: origin, name: name, timeout: timeout, query: query, results: make(chan result, mostOut), out: map[string]bool{}}
	tick := time.NewTimer(timeout - callTimeout + silenceTimeout)
	defer tick.Stop()
	if !asking.launch(ctx) {
		tick.Reset(firstPause) // no store is known yet
	}
	arrived, pause, redirects := false, firstPause, 0
	var last *apierror.Error
	for {
		select {
		case <-tick.C:
			asking.launch(ctx)
			tick.Reset(silentPause)
		case got := <-asking.results:
			delete(asking.out, got.target)
			group := placement.GroupOf(name, origin.view().Groups)
			if got.err == nil {
				origin.hint(group, got.target)
				return got.reply, true, nil
			}
			if ctx.Err() != nil {
				arrived = arrived || !apierror.Of(got.err).NeverSent
				continue
			}
			last = apierror.Of(got.err)
			switch last.Kind {
			case apierror.NotLeader:
				origin.hint(group, last.Leader)
				if leader := last.Leader; leader != "" && leader != got.target && !asking.out[leader] && redirects < mostRedirects && asking.launch(ctx) {
					redirects++
					continue
				}
			case apierror.OutcomeUnknown, apierror.Gap: // what can't be read may have been committed
				arrived = true
				origin.unhint(group, got.target)
			case apierror.Unavailable:
				arrived = arrived || !last.NeverSent
				origin.unhint(group, got.target)
			case apierror.NoQuorum:
				origin.unhint(group, got.target)
			default:
				return nil, true, got.err
			}
			if len(asking.out) > 0 {
				tick.Reset(silentPause)
			} else {
				tick.Reset(pause)
				pause = min(2*pause, longestPause)
			}
		case <-ctx.Done():
			if last != nil && last.Kind == apierror.Gap {
				return nil, true, last
			}
			return nil, arrived || len(asking.out) > 0, apierror.NewRetryable(apierror.NoQuorum, "the stores of this line did not answer in time", "ask again", time.Second)
		}
	}
}

// Command commits commands on one line, in order. An error of kind Unclear means
// that they may have been committed; any other proves that they were not.
//
//	outcomes, err := origin.Command(ctx, "team/c-1", line.Command{Kind: line.CreateSession, ...})
func (origin *Origin) Command(ctx context.Context, name string, commands ...line.Command) ([]line.Outcome, error) {
	for position := range commands {
		commands[position].Session = name
	}
	reply, arrived, err := origin.ask(ctx, name, callTimeout, func(group uint32) *wire.Query {
		return &wire.Query{Which: schema.Query_Which_command, Command: &wire.CommandQuery{Group: group, Commands: commands}}
	})
	if err != nil && arrived {
		return nil, apierror.New(apierror.OutcomeUnknown, "the commit was not seen to its end: "+err.Error(), "ask again; repeats are deduped")
	}
	if err != nil {
		return nil, err
	}
	if reply.Outcomes == nil || len(reply.Outcomes.Outcomes) != len(commands) {
		return nil, apierror.New(apierror.OutcomeUnknown, "a store answered out of form", "run matching versions of the programs")
	}
	return reply.Outcomes.Outcomes, nil
}

// Read is a quorum read of a line. NotFound is proven.
//
//	reply, err := origin.Read(ctx, wire.ReadQuery{Line: "team/c-1"})
func (origin *Origin) Read(ctx context.Context, query wire.ReadQuery) (*wire.ReadReply, error) {
	reply, _, err := origin.ask(ctx, query.Session, callTimeout+query.Wait, func(uint32) *wire.Query {
		return &wire.Query{Which: schema.Query_Which_read, Read: &query}
	})
	if err != nil {
		return nil, err
	}
	return reply.Read, nil
}

// EventsAtOnce is how many events one page of a line holds at most.
const EventsAtOnce = 2048

// ReadAll reads a whole line, page by page; the last page's reply comes with its
// events.
//
//	events, last, err := origin.ReadAll(ctx, "team/c-1")
func (origin *Origin) ReadAll(ctx context.Context, name string) ([]line.Event, *wire.ReadReply, error) {
	events := []line.Event{}
	for {
		reply, err := origin.Read(ctx, wire.ReadQuery{Session: name, After: uint64(len(events)), Limit: EventsAtOnce})
		if err != nil {
			return nil, nil, err
		}
		events = append(events, reply.Events...)
		if uint64(len(events)) >= reply.Session.Head || len(reply.Events) == 0 {
			return events, reply, nil
		}
	}
}
