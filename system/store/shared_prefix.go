package store

import (
	"context"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// usePrefix makes the first turn of a program refer to a shared prefix of the group, if its
// scope shares any, and detects new prefixes. What a deposed leader decides here is never
// committed, so the term is the fencing token.
func (node *Node) usePrefix(group uint32, command *sessionlog.Command) {
	machine := node.stateMachine(group)
	if command.Kind != sessionlog.BeginTurn || command.Scope == "" || command.Follows != "" || !command.KeepData || machine == nil {
		return
	}
	input, scope := command.Data, command.Scope
	prefix, found := machine.View().LongestSharedPrefix(scope, input)
	candidate, detected := node.prefixDetector.Observe(group, scope, command.Session, input)
	// A prefix that is only a little longer than the one that is shared already saves little.
	if detected && (!found || uint64(candidate.Length) >= prefix.Size+sessionlog.MinPrefixBytes) {
		node.tasks.Go(func() { node.proposePrefix(group, scope, input[:candidate.Length], candidate.Sessions) })
	}
	if !found {
		command.Scope = "" // nobody needs it in the log
		return
	}
	command.Kind, command.Prefix, command.Data = sessionlog.BeginTurnWithPrefix, prefix.Name, input[prefix.Size:]
}

// proposePrefix has the group store a prefix, and the sessions refer to it in which it was
// detected. Should it fail, the prefix will be detected again.
func (node *Node) proposePrefix(group uint32, scope string, data []byte, sessions []string) {
	command := sessionlog.Command{Kind: sessionlog.SharePrefix, Now: node.clock(group), Scope: scope, Data: data}
	for _, name := range sessions {
		command.Acks = append(command.Acks, sessionlog.Ack{Session: name})
	}
	result, err := node.propose(node.context, group, command)
	if err != nil || result.outcome.Status != sessionlog.Done {
		return
	}
	log.WithFields(log.Fields{
		"node": node.Name(), "group": group, "scope": scope, "prefix": sessionlog.SharedPrefixName(scope, data),
		"bytes": len(data), "sessions": len(sessions),
	}).Info("storing a prefix once that sessions share")
}

// fullData returns an event's data, with the shared prefix to which it refers, as of a view. A
// corrupt prefix is repaired first; if it can't be, the call fails with Gap. Of no event there
// is no data.
func (node *Node) fullData(ctx context.Context, group uint32, view *sessionlog.View, event *sessionlog.Event) ([]byte, error) {
	if event == nil {
		return nil, nil
	}
	if data, intact := view.FullData(event); intact {
		return data, nil
	}
	if repaired, err := node.repairPrefix(ctx, group, view, event.Prefix); err == nil {
		if data, intact := repaired.FullData(event); intact {
			return data, nil
		}
	}
	return nil, apierror.NewRetryable(apierror.Gap, "the shared prefix "+event.Prefix+" that a turn refers to cannot be read now",
		"ask again; the store nodes repair their copies from each other", time.Second)
}

// expandPrefixes replaces references to shared prefixes in events by the data.
func (node *Node) expandPrefixes(ctx context.Context, group uint32, view *sessionlog.View, events []sessionlog.Event) error {
	for position := range events {
		if events[position].Prefix == "" {
			continue
		}
		data, err := node.fullData(ctx, group, view, &events[position])
		if err != nil {
			return err
		}
		events[position].Data, events[position].Prefix = data, ""
	}
	return nil
}

// repairPrefix gets a corrupt prefix from a peer and commits it anew, which repairs the copy of
// every replica. It returns the view after that.
func (node *Node) repairPrefix(ctx context.Context, group uint32, view *sessionlog.View, name string) (*sessionlog.View, error) {
	corrupt, found := view.SharedPrefix(name)
	if !found {
		return nil, apierror.New(apierror.Gap, "the group has no shared prefix "+name, "ask again")
	}
	for _, peer := range node.host.Statuses()[group].Membership.Voters {
		if peer == node.Name() {
			continue
		}
		data, intact := node.prefixAt(ctx, peer, group, name, corrupt.Scope)
		if !intact {
			continue
		}
		result, err := node.propose(ctx, group, sessionlog.Command{Kind: sessionlog.SharePrefix, Now: node.clock(group), Scope: corrupt.Scope, Data: data})
		if err != nil {
			return nil, err
		}
		log.WithFields(log.Fields{"node": node.Name(), "group": group, "prefix": name, "peer": peer}).Info("shared prefix repaired")
		return result.view, nil
	}
	return nil, apierror.New(apierror.Gap, "no peer has an intact copy of the shared prefix "+name, "ask again")
}

// prefixAt returns a peer's copy of a shared prefix, if it is what the name says.
func (node *Node) prefixAt(ctx context.Context, peer string, group uint32, name, scope string) (data []byte, intact bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := node.callPeer(ctx, peer, &wire.Query{
		Which: schema.Query_Which_opening, SharedPrefix: &wire.SharedPrefixQuery{Group: group, Name: name},
	})
	if err != nil || reply.SharedPrefix == nil || sessionlog.SharedPrefixName(scope, reply.SharedPrefix.Data) != name {
		return nil, false
	}
	return reply.SharedPrefix.Data, true
}

// handleSharedPrefix answers with this replica's own copy of a shared prefix.
func (node *Node) handleSharedPrefix(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	machine := node.stateMachine(query.SharedPrefix.Group)
	if machine == nil {
		return nil, apierror.New(apierror.NotFound, "no replica of this group is here", "ask another store")
	}
	prefix, found := machine.View().SharedPrefix(query.SharedPrefix.Name)
	if !found || prefix.Corrupt {
		return nil, apierror.New(apierror.NotFound, "no intact copy of this shared prefix is here", "ask another store")
	}
	return &wire.Reply{Which: schema.Reply_Which_opening, SharedPrefix: prefix.Record()}, nil
}
