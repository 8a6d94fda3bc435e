// Package storeorigin finds the leader of a line's group and asks it. Every
// command it sends may be sent again: the state machine dedupes it.
package storeorigin

import (
	"context"
	"sync"
	"time"

	"yardrock.example/system/feed"
	"yardrock.example/system/line"
	"yardrock.example/system/link"
	"yardrock.example/system/mishap"
	"yardrock.example/system/placement"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

const (
	hintLife     = 10 * time.Second
	callPatience = 1200 * time.Millisecond
	firstPause   = 20 * time.Millisecond
	longestPause = 300 * time.Millisecond
)

type hint struct {
	name  string
	until time.Time
}

// Origin asks stores on behalf of a front.
type Origin struct {
	caller *link.Caller
	view   func() *feed.View
	mutex  sync.Mutex
	hints  map[uint32]hint
}

// New makes an origin; view gives the newest view held.
//
//	origin := storeorigin.New(caller, following.View)
func New(caller *link.Caller, view func() *feed.View) *Origin {
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

// ask goes to the hinted leader, else through the replicas, until one answers as
// leader or the context ends. It tells whether some query may have arrived.
func (origin *Origin) ask(ctx context.Context, name string, patience time.Duration, make func(group uint32) *wire.Query) (*wire.Reply, bool, error) {
	arrived := false
	pause := firstPause
	for try := 0; ; try++ {
		view := origin.view()
		group := placement.GroupOf(name, view.Groups)
		target := origin.hinted(group)
		if target == "" {
			replicas := placement.ReplicasOf(group, view.StorePlaces())
			if len(replicas) > 0 {
				target = replicas[try%len(replicas)]
			}
		}
		var failed *mishap.Mishap
		if address := view.AddressOf(target); address != "" {
			query := make(group)
			query.Fleet = view.Fleet
			limited, cancel := context.WithTimeout(ctx, patience)
			reply, err := origin.caller.Call(limited, address, query)
			expired := limited.Err() != nil
			cancel()
			if err == nil {
				origin.hint(group, target)
				return reply, true, nil
			}
			if expired {
				origin.caller.DropSilent(address, patience)
			}
			failed = mishap.Of(err)
			switch failed.Kind {
			case mishap.NotLeader:
				origin.hint(group, failed.Leader)
			case mishap.Unclear:
				arrived = true
			case mishap.Unavailable:
				arrived = arrived || !failed.NeverSent
				origin.hint(group, "")
			case mishap.NoQuorum, mishap.Gap:
				arrived = arrived || failed.Kind == mishap.Gap // the answer can't be read, but was committed
				origin.hint(group, "")
			default:
				return nil, true, err
			}
		}
		if failed != nil && failed.Kind == mishap.NotLeader && failed.Leader != "" && failed.Leader != target && try < 3 {
			continue
		}
		select {
		case <-time.After(pause):
			pause = min(2*pause, longestPause)
		case <-ctx.Done():
			if failed != nil && failed.Kind == mishap.Gap {
				return nil, arrived, failed
			}
			return nil, arrived, mishap.Later(mishap.NoQuorum, "the stores of this line did not answer in time", "ask again", time.Second)
		}
	}
}

// Command commits commands on one line, in order. An error of kind Unclear means
// that they may have been committed; any other proves that they were not.
//
//	outcomes, err := origin.Command(ctx, "team/c-1", line.Command{Kind: line.CreateSession, ...})
func (origin *Origin) Command(ctx context.Context, name string, commands ...line.Command) ([]line.Outcome, error) {
	for position := range commands {
		commands[position].Line = name
	}
	reply, arrived, err := origin.ask(ctx, name, callPatience, func(group uint32) *wire.Query {
		return &wire.Query{Which: schema.Query_Which_command, Command: &wire.CommandQuery{Group: group, Commands: commands}}
	})
	if err != nil && arrived {
		return nil, mishap.New(mishap.Unclear, "the commit was not seen to its end: "+err.Error(), "ask again; repeats are deduped")
	}
	if err != nil {
		return nil, err
	}
	if reply.Outcomes == nil || len(reply.Outcomes.Outcomes) != len(commands) {
		return nil, mishap.New(mishap.Unclear, "a store answered out of form", "run matching versions of the programs")
	}
	return reply.Outcomes.Outcomes, nil
}

// Read is a quorum read of a line. NotFound is proven.
//
//	reply, err := origin.Read(ctx, wire.ReadQuery{Line: "team/c-1"})
func (origin *Origin) Read(ctx context.Context, query wire.ReadQuery) (*wire.ReadReply, error) {
	reply, _, err := origin.ask(ctx, query.Line, callPatience+query.Wait, func(uint32) *wire.Query {
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
		reply, err := origin.Read(ctx, wire.ReadQuery{Line: name, After: uint64(len(events)), Limit: EventsAtOnce})
		if err != nil {
			return nil, nil, err
		}
		events = append(events, reply.Events...)
		if uint64(len(events)) >= reply.Session.Head || len(reply.Events) == 0 {
			return events, reply, nil
		}
	}
}
