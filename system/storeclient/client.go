// Package storeclient sends commands and reads to the stores: it finds the leader of the
// group that has a session, and calls it.
//
// A call goes to the replica that last answered as leader, or that another one named, and
// is hedged: while a replica is silent, the others are called as well. So the same command
// may reach several stores, and any of them more than once; the state machine of the
// sessions dedupes commands by their producer and its sequence number.
//
// Guarantee: an error that is not of the kind OutcomeUnknown proves that the command was
// not committed and will not be.
//
// The only state is the hint who leads each group, which costs a redirect if it is wrong.
package storeclient

import (
	"context"
	"sync"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/link"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// leaderHintLifetime is how long a leader hint is used after its last success.
const leaderHintLifetime = 10 * time.Second

// MaxEventsPerPage is how many events one page of a session has at most.
const MaxEventsPerPage = 2048

// leaderHint says which store last led a group.
type leaderHint struct {
	name      string
	expiresAt time.Time
}

// Client calls the stores on behalf of another node. It is safe for concurrent use.
type Client struct {
	caller *link.Client
	view   func() *feed.View
	// mutex guards hints, by group.
	mutex sync.Mutex
	hints map[uint32]leaderHint
}

// New makes a client; view returns the newest view of the fleet, which names the stores.
//
//	client := storeclient.New(caller, feedClient.View)
func New(caller *link.Client, view func() *feed.View) *Client {
	return &Client{caller: caller, view: view, hints: map[uint32]leaderHint{}}
}

// hintedLeader returns the store that probably leads a group, or "".
func (client *Client) hintedLeader(group uint32) string {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if known, found := client.hints[group]; found && time.Now().Before(known.expiresAt) {
		return known.name
	}
	return ""
}

// setLeaderHint notes which store leads a group; "" removes the hint.
func (client *Client) setLeaderHint(group uint32, name string) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if name == "" {
		delete(client.hints, group)
		return
	}
	client.hints[group] = leaderHint{name: name, expiresAt: time.Now().Add(leaderHintLifetime)}
}

// clearLeaderHint removes a group's hint if it names a store that does not lead.
func (client *Client) clearLeaderHint(group uint32, name string) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if client.hints[group].name == name {
		delete(client.hints, group)
	}
}

// Command commits commands on one session, in order, and returns their outcomes. An error
// of the kind OutcomeUnknown means that they may have been committed; any other proves that
// they were not.
//
//	outcomes, err := client.Command(ctx, "team/c-1", sessionlog.Command{Kind: sessionlog.CreateSession, ...})
func (client *Client) Command(ctx context.Context, name string, commands ...sessionlog.Command) ([]sessionlog.Result, error) {
	reply, err := client.commit(ctx, name, commands)
	if err != nil {
		return nil, err
	}
	return reply.Outcomes, nil
}

// commit commits commands on one session. The reply has one outcome for each.
func (client *Client) commit(ctx context.Context, name string, commands []sessionlog.Command) (*wire.CommandReply, error) {
	for position := range commands {
		commands[position].Session = name
	}
	reply, arrived, err := client.call(ctx, name, callTimeout, func(group uint32) *wire.Query {
		return &wire.Query{Which: schema.Query_Which_command, Command: &wire.CommandQuery{Group: group, Commands: commands}}
	})
	if err != nil && arrived {
		return nil, apierror.Wrap(err, apierror.OutcomeUnknown, "the commit was not seen to its end: "+err.Error(), "ask again; repeats are deduped")
	}
	if err != nil {
		return nil, err
	}
	if reply.Outcomes == nil || len(reply.Outcomes.Outcomes) != len(commands) {
		return nil, outOfFormError()
	}
	return reply.Outcomes, nil
}

// outOfFormError is for a reply that this version can't read. What it stands for may have
// been committed.
func outOfFormError() error {
	return apierror.New(apierror.OutcomeUnknown, "a store answered out of form", "run matching versions of the programs")
}

// Read reads a page of a session, linearizably: the reply has all that was committed before
// the call. An error of the kind NotFound proves that there was no such session.
//
//	reply, err := client.Read(ctx, wire.ReadQuery{Session: "team/c-1"})
func (client *Client) Read(ctx context.Context, query wire.ReadQuery) (*wire.ReadReply, error) {
	reply, _, err := client.call(ctx, query.Session, callTimeout+query.Wait, func(uint32) *wire.Query {
		return &wire.Query{Which: schema.Query_Which_read, Read: &query}
	})
	if err != nil {
		return nil, err
	}
	return reply.Read, nil
}

// ReadAll reads all events of a session, page by page, and returns the last page's reply
// with them.
//
//	events, last, err := client.ReadAll(ctx, "team/c-1")
func (client *Client) ReadAll(ctx context.Context, name string) ([]sessionlog.Event, *wire.ReadReply, error) {
	events := []sessionlog.Event{}
	for {
		// The seqs of a session count from 1 without gaps, so the number of events read is the
		// seq of the last one.
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
