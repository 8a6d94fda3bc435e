// Package storeclient sends commands and reads to the stores: it finds the leader of a
// session's group and calls it.
//
// A call goes to the replica that last replied as leader, or that another replica named as
// leader. Calls are hedged: while a replica does not reply, the others are called as well.
// A command may therefore reach several stores, and each of them more than once; the session
// state machine deduplicates commands by producer and producer sequence number.
//
// Guarantee: after an error of any kind other than OutcomeUnknown, the command was not
// committed and will not be.
//
// The only state is a leader hint for each group; a wrong hint costs a redirect.
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

// leaderHintLifetime is how long a leader hint is valid after it was last set.
const leaderHintLifetime = 10 * time.Second

// MaxEventsPerPage is the maximum number of events in one page of a session.
const MaxEventsPerPage = 2048

// leaderHint is the store that was last known to lead a group.
type leaderHint struct {
	name      string
	expiresAt time.Time
}

// Client calls the stores on behalf of a node. It is safe for concurrent use.
type Client struct {
	caller *link.Client
	view   func() *feed.View
	// mutex guards hints, by group.
	mutex sync.Mutex
	hints map[uint32]leaderHint
}

// New returns a client. view returns the current view of the fleet, which lists the stores.
//
//	client := storeclient.New(caller, feedClient.View)
func New(caller *link.Client, view func() *feed.View) *Client {
	return &Client{caller: caller, view: view, hints: map[uint32]leaderHint{}}
}

// hintedLeader returns the store in the leader hint of a group, or "" without a valid hint.
func (client *Client) hintedLeader(group uint32) string {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if hint, found := client.hints[group]; found && time.Now().Before(hint.expiresAt) {
		return hint.name
	}
	return ""
}

// setLeaderHint sets the leader hint of a group; "" removes it.
func (client *Client) setLeaderHint(group uint32, name string) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if name == "" {
		delete(client.hints, group)
		return
	}
	client.hints[group] = leaderHint{name: name, expiresAt: time.Now().Add(leaderHintLifetime)}
}

// clearLeaderHint removes the leader hint of a group if it names the given store.
func (client *Client) clearLeaderHint(group uint32, name string) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if client.hints[group].name == name {
		delete(client.hints, group)
	}
}

// Command commits commands on one session, in order, and returns their results. After an
// error of the kind OutcomeUnknown they may have been committed; after any other error they
// were not.
//
//	results, err := client.Command(ctx, "team/c-1", sessionlog.Command{Kind: sessionlog.CreateSession, ...})
func (client *Client) Command(ctx context.Context, sessionName string, commands ...sessionlog.Command) ([]sessionlog.Result, error) {
	reply, err := client.commit(ctx, sessionName, commands)
	if err != nil {
		return nil, err
	}
	return reply.Results, nil
}

// commit commits commands on one session. The reply has one result per command.
func (client *Client) commit(ctx context.Context, sessionName string, commands []sessionlog.Command) (*wire.CommandReply, error) {
	for position := range commands {
		commands[position].Session = sessionName
	}
	reply, maybeExecuted, err := client.call(ctx, sessionName, callTimeout, func(group uint32) *wire.Query {
		return &wire.Query{Which: schema.Query_Which_command, Command: &wire.CommandQuery{Group: group, Commands: commands}}
	})
	if err != nil && maybeExecuted {
		return nil, apierror.Wrap(err, apierror.OutcomeUnknown, "the outcome of the commit is unknown: "+err.Error(), "retry; repeated commands are deduplicated")
	}
	if err != nil {
		return nil, err
	}
	if reply.Command == nil || len(reply.Command.Results) != len(commands) {
		return nil, malformedReplyError()
	}
	return reply.Command, nil
}

// malformedReplyError is the error for a reply that this version cannot interpret. Its commands
// may have been committed.
func malformedReplyError() error {
	return apierror.New(apierror.OutcomeUnknown, "a store sent a malformed reply", "run matching versions of the programs")
}

// Read reads a page of a session. The read is linearizable: it observes all commands committed
// before the call, so the error NotFound means that the session did not exist.
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

// ReadAll reads all events of a session, page by page, and returns them with the reply for the
// last page.
//
//	events, last, err := client.ReadAll(ctx, "team/c-1")
func (client *Client) ReadAll(ctx context.Context, sessionName string) ([]sessionlog.Event, *wire.ReadReply, error) {
	events := []sessionlog.Event{}
	for {
		// Sequence numbers start at 1 without gaps, so the number of events read is the sequence
		// number of the last one.
		reply, err := client.Read(ctx, wire.ReadQuery{Session: sessionName, After: uint64(len(events)), Limit: MaxEventsPerPage})
		if err != nil {
			return nil, nil, err
		}
		events = append(events, reply.Events...)
		if uint64(len(events)) >= reply.Session.Head || len(reply.Events) == 0 {
			return events, reply, nil
		}
	}
}
