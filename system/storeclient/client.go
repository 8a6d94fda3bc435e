// Package storeorigin finds the leader of a line's group and asks it. Every
// command it sends may be sent again: the state machine dedupes it.
package storeclient

import (
	"context"
	"sync"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/link"
	"yardrock.example/system/placement"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

const (
	leaderHintLifetime = 10 * time.Second
	callTimeout        = 1200 * time.Millisecond
	initialBackoff     = 20 * time.Millisecond
	maxBackoff         = 120 * time.Millisecond
	// hedgeDelay is how long the one who is asked may keep silent before the others
	// are asked as well, and hedgeInterval what then lies between two of them.
	hedgeDelay    = 400 * time.Millisecond
	hedgeInterval = 150 * time.Millisecond
	// maxRedirects bounds how often a leader that is named is asked without a pause.
	maxRedirects = 3
	// maxInFlight is more than are ever asked at the same time.
	maxInFlight = 64
)

type leaderHint struct {
	name      string
	expiresAt time.Time
}

// Client asks stores on behalf of a front.
type Client struct {
	caller *link.Client
	view   func() *feed.View
	mutex  sync.Mutex
	hints  map[uint32]leaderHint
}

// New makes an origin; view gives the newest view held.
//
//	origin := storeorigin.New(caller, following.View)
func New(caller *link.Client, view func() *feed.View) *Client {
	return &Client{caller: caller, view: view, hints: map[uint32]leaderHint{}}
}

func (client *Client) hintedLeader(group uint32) string {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if known, found := client.hints[group]; found && time.Now().Before(known.expiresAt) {
		return known.name
	}
	return ""
}

func (client *Client) setLeaderHint(group uint32, name string) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if name == "" {
		delete(client.hints, group)
		return
	}
	client.hints[group] = leaderHint{name: name, expiresAt: time.Now().Add(leaderHintLifetime)}
}

// clearLeaderHint forgets a hint to one that does not lead.
func (client *Client) clearLeaderHint(group uint32, name string) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if client.hints[group].name == name {
		delete(client.hints, group)
	}
}

// attemptResult is what came of one try.
type attemptResult struct {
	target string
	reply  *wire.Reply
	err    error
}

// asking is one question under way: the replicas that were asked and have not answered.
type leaderSearch struct {
	client      *Client
	name        string
	timeout     time.Duration
	newQuery    func(group uint32) *wire.Query
	results     chan attemptResult
	inFlight    map[string]bool
	nextReplica int
}

// pickReplica picks whom to ask: the hinted leader, else the next of the replicas; nobody who
// is asked already.
func (search *leaderSearch) pickReplica(view *feed.View, group uint32) string {
	if target := search.client.hintedLeader(group); target != "" && !search.inFlight[target] && view.AddressOf(target) != "" {
		return target
	}
	replicas := placement.ReplicasOf(group, view.PlacementCandidates(), view.ReplicationFactor())
	for range replicas {
		target := replicas[search.nextReplica%len(replicas)]
		search.nextReplica++
		if !search.inFlight[target] && view.AddressOf(target) != "" {
			return target
		}
	}
	return ""
}

// callNext asks one more replica; false tells that there is none.
func (search *leaderSearch) callNext(ctx context.Context) bool {
	view := search.client.view()
	group := placement.GroupOf(search.name, view.Groups)
	target := search.pickReplica(view, group)
	if target == "" || len(search.inFlight) == maxInFlight {
		return false
	}
	search.inFlight[target] = true
	query, address := search.newQuery(group), view.AddressOf(target)
	query.Fleet = view.Fleet
	go func() {
		limited, cancel := context.WithTimeout(ctx, search.timeout)
		defer cancel()
		reply, err := search.client.caller.Call(limited, address, query)
		if err != nil && limited.Err() != nil && ctx.Err() == nil {
			search.client.caller.DropIfSilent(address, search.timeout)
		}
		search.results <- attemptResult{target, reply, err}
	}()
	return true
}

// call goes to the hinted leader, else through the replicas, until one answers as
// leader or the context ends. While one keeps silent, the others are asked as well. It
// tells whether some query may have arrived.
func (client *Client) call(ctx context.Context, name string, timeout time.Duration, query func(group uint32) *wire.Query) (*wire.Reply, bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	search := &leaderSearch{client: client, name: name, timeout: timeout, newQuery: query, results: make(chan attemptResult, maxInFlight), inFlight: map[string]bool{}}
	tick := time.NewTimer(timeout - callTimeout + hedgeDelay)
	defer tick.Stop()
	if !search.callNext(ctx) {
		tick.Reset(initialBackoff) // no store is known yet
	}
	arrived, pause, redirects := false, initialBackoff, 0
	var last *apierror.Error
	for {
		select {
		case <-tick.C:
			search.callNext(ctx)
			tick.Reset(hedgeInterval)
		case got := <-search.results:
			delete(search.inFlight, got.target)
			group := placement.GroupOf(name, client.view().Groups)
			if got.err == nil {
				client.setLeaderHint(group, got.target)
				return got.reply, true, nil
			}
			if ctx.Err() != nil {
				arrived = arrived || !apierror.Of(got.err).NeverSent
				continue
			}
			last = apierror.Of(got.err)
			switch last.Kind {
			case apierror.NotLeader:
				client.setLeaderHint(group, last.Leader)
				if leader := last.Leader; leader != "" && leader != got.target && !search.inFlight[leader] && redirects < maxRedirects && search.callNext(ctx) {
					redirects++
					continue
				}
			case apierror.OutcomeUnknown, apierror.Gap: // what can't be read may have been committed
				arrived = true
				client.clearLeaderHint(group, got.target)
			case apierror.Unavailable:
				arrived = arrived || !last.NeverSent
				client.clearLeaderHint(group, got.target)
			case apierror.NoQuorum:
				client.clearLeaderHint(group, got.target)
			default:
				return nil, true, got.err
			}
			if len(search.inFlight) > 0 {
				tick.Reset(hedgeInterval)
			} else {
				tick.Reset(pause)
				pause = min(2*pause, maxBackoff)
			}
		case <-ctx.Done():
			if last != nil && last.Kind == apierror.Gap {
				return nil, true, last
			}
			return nil, arrived || len(search.inFlight) > 0, apierror.NewRetryable(apierror.NoQuorum, "the stores of this line did not answer in time", "ask again", time.Second)
		}
	}
}

// Command commits commands on one line, in order. An error of kind Unclear means
// that they may have been committed; any other proves that they were not.
//
//	outcomes, err := origin.Command(ctx, "team/c-1", sessionlog.Command{Kind: sessionlog.CreateSession, ...})
func (client *Client) Command(ctx context.Context, name string, commands ...sessionlog.Command) ([]sessionlog.Outcome, error) {
	for position := range commands {
		commands[position].Session = name
	}
	reply, arrived, err := client.call(ctx, name, callTimeout, func(group uint32) *wire.Query {
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
func (client *Client) Read(ctx context.Context, query wire.ReadQuery) (*wire.ReadReply, error) {
	reply, _, err := client.call(ctx, query.Session, callTimeout+query.Wait, func(uint32) *wire.Query {
		return &wire.Query{Which: schema.Query_Which_read, Read: &query}
	})
	if err != nil {
		return nil, err
	}
	return reply.Read, nil
}

// MaxEventsPerPage is how many events one page of a line holds at most.
const MaxEventsPerPage = 2048

// ReadAll reads a whole line, page by page; the last page's reply comes with its
// events.
//
//	events, last, err := origin.ReadAll(ctx, "team/c-1")
func (client *Client) ReadAll(ctx context.Context, name string) ([]sessionlog.Event, *wire.ReadReply, error) {
	events := []sessionlog.Event{}
	for {
		reply, err := client.Read(ctx, wire.ReadQuery{Session: name, After: uint64(len(events)), Limit: MaxEventsPerPage})
		if err != nil {
			return nil, nil, err
		}
		events = append(events, reply.Events...)
		if uint64(len(events)) >= reply.Session.Head || len(reply.Events) == 0 {
			return events, reply, nil
		}
	}
}
