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

// usePrefix replaces the start of a first turn's input by a reference to the longest shared
// prefix of its scope, if the group has one, and detects new prefixes. The decisions of a
// deposed leader are never committed, so the term is the fencing token.
func (node *Node) usePrefix(group uint32, command *sessionlog.Command) {
	machine := node.stateMachine(group)
	if command.Kind != sessionlog.BeginTurn || command.Scope == "" || command.Follows != "" || !command.KeepData || machine == nil {
		return
	}
	input, scope := command.Data, command.Scope
	prefix, found := machine.View().LongestSharedPrefix(scope, input)
	candidate, detected := node.prefixDetector.Observe(group, scope, command.Session, input)
	// A prefix that is only slightly longer than the existing one would save little.
	if detected && (!found || uint64(candidate.Length) >= prefix.Size+sessionlog.MinPrefixBytes) {
		node.tasks.Go(func() { node.proposePrefix(group, scope, input[:candidate.Length], candidate.Sessions) })
	}
	if !found {
		command.Scope = "" // not needed in the log
		return
	}
	command.Kind, command.Prefix, command.Data = sessionlog.BeginTurnWithPrefix, prefix.Name, input[prefix.Size:]
}

// proposePrefix commits a shared prefix to the group, and makes the sessions in which it was
// detected refer to it. If that fails, the prefix will be detected again.
func (node *Node) proposePrefix(group uint32, scope string, data []byte, sessions []string) {
	command := sessionlog.Command{Kind: sessionlog.SharePrefix, Now: node.clock(group), Scope: scope, Data: data}
	for _, name := range sessions {
		command.Acks = append(command.Acks, sessionlog.Ack{Session: name})
	}
	result, err := node.propose(node.context, group, command)
	if err != nil || result.commandResult.Status != sessionlog.Done {
		return
	}
	log.WithFields(log.Fields{
		"node": node.Name(), "group": group, "scope": scope, "prefix": sessionlog.SharedPrefixName(scope, data),
		"bytes": len(data), "sessions": len(sessions),
	}).Info("stored a shared prefix")
}

// fullData returns the data of an event as of a view, including the shared prefix that it refers
// to, or nil if event is nil. A corrupt prefix is repaired first; if that fails, so does the
// call, with Gap.
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
		"retry; the store nodes repair their copies from each other", time.Second)
}

// expandPrefixes replaces the references to shared prefixes in events by the full data.
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

// repairPrefix fetches an intact copy of a corrupt prefix from a peer and commits it again, which
// repairs the copy of every replica. It returns the view after the commit.
func (node *Node) repairPrefix(ctx context.Context, group uint32, view *sessionlog.View, name string) (*sessionlog.View, error) {
	corrupt, found := view.SharedPrefix(name)
	if !found {
		return nil, apierror.New(apierror.Gap, "the group has no shared prefix "+name, "retry")
	}
	for _, peer := range node.host.Statuses()[group].Membership.Voters {
		if peer == node.Name() {
			continue
		}
		data, intact := node.fetchPrefix(ctx, peer, group, name, corrupt.Scope)
		if !intact {
			continue
		}
		result, err := node.propose(ctx, group, sessionlog.Command{Kind: sessionlog.SharePrefix, Now: node.clock(group), Scope: corrupt.Scope, Data: data})
		if err != nil {
			return nil, err
		}
		log.WithFields(log.Fields{"node": node.Name(), "group": group, "prefix": name, "peer": peer}).Info("repaired a shared prefix")
		return result.view, nil
	}
	return nil, apierror.New(apierror.Gap, "no peer has an intact copy of the shared prefix "+name, "retry")
}

// fetchPrefix returns a peer's copy of a shared prefix; intact reports whether it matches the
// digest in the name.
func (node *Node) fetchPrefix(ctx context.Context, peer string, group uint32, name, scope string) (data []byte, intact bool) {
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

// handleSharedPrefix replies with this replica's copy of a shared prefix.
func (node *Node) handleSharedPrefix(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	machine := node.stateMachine(query.SharedPrefix.Group)
	if machine == nil {
		return nil, apierror.New(apierror.NotFound, "this node has no replica of the group", "send the query to another store")
	}
	prefix, found := machine.View().SharedPrefix(query.SharedPrefix.Name)
	if !found || prefix.Corrupt {
		return nil, apierror.New(apierror.NotFound, "this node has no intact copy of the shared prefix", "send the query to another store")
	}
	return &wire.Reply{Which: schema.Reply_Which_opening, SharedPrefix: prefix.Record()}, nil
}
