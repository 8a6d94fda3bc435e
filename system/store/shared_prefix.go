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

// usePrefix lets the beginning of a program's first turn refer to an opening that the group
// holds, if its scope shares any, and notices new ones. Only leaders' commands last, so
// the group's term is the fence.
func (node *Node) usePrefix(group uint32, command *sessionlog.Command) {
	machine := node.stateMachine(group)
	if command.Kind != sessionlog.BeginTurn || command.Scope == "" || command.Follows != "" || !command.KeepData || machine == nil {
		return
	}
	input, scope := command.Data, command.Scope
	prefix, found := machine.View().LongestSharedPrefix(scope, input)
	if candidate, detected := node.prefixDetector.Observe(group, scope, command.Session, input); detected && (!found || uint64(candidate.Length) >= prefix.Size+sessionlog.MinPrefixBytes) {
		node.tasks.Go(func() { node.proposePrefix(group, scope, input[:candidate.Length], candidate.Sessions) })
	}
	if !found {
		command.Scope = ""
		return
	}
	command.Kind, command.Prefix, command.Data = sessionlog.BeginTurnWithPrefix, prefix.Name, input[prefix.Size:]
}

// proposePrefix lets the group hold an opening, and refers the lines to it that it was noticed in.
func (node *Node) proposePrefix(group uint32, scope string, data []byte, sessions []string) {
	command := sessionlog.Command{Kind: sessionlog.SharePrefix, Now: node.clock(group), Scope: scope, Data: data}
	for _, name := range sessions {
		command.Acks = append(command.Acks, sessionlog.Ack{Session: name})
	}
	result, err := node.propose(node.context, group, command)
	if err != nil || result.outcome.Status != sessionlog.Done {
		return // it will be noticed again
	}
	log.WithFields(log.Fields{"node": node.Name(), "group": group, "scope": scope, "opening": sessionlog.SharedPrefixName(scope, data), "bytes": len(data), "lines": len(sessions)}).Info("opening_merged")
}

// fullData gives all of an event's data as of a view. A damaged opening is mended first; if
// it can't be, nothing shorter is given.
func (node *Node) fullData(ctx context.Context, group uint32, view *sessionlog.View, event *sessionlog.Event) ([]byte, error) {
	if event == nil {
		return nil, nil
	}
	if data, sound := view.FullData(event); sound {
		return data, nil
	}
	if repaired, err := node.repairPrefix(ctx, group, view, event.Prefix); err == nil {
		if data, sound := repaired.FullData(event); sound {
			return data, nil
		}
	}
	return nil, apierror.NewRetryable(apierror.Gap, "the opening "+event.Prefix+" that a turn refers to cannot be read now", "ask again; the store nodes mend their copies from each other", time.Second)
}

// expandPrefixes fills in the data of events that refer to openings.
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

// repairPrefix asks peers for an opening and gives it to the group anew; its name tells
// whether a copy is sound.
func (node *Node) repairPrefix(ctx context.Context, group uint32, view *sessionlog.View, name string) (*sessionlog.View, error) {
	damaged, found := view.SharedPrefix(name)
	if !found {
		return nil, apierror.New(apierror.Gap, "no opening "+name+" is held", "ask again")
	}
	for _, peer := range node.host.Statuses()[group].Membership.Voters {
		if peer == node.Name() {
			continue
		}
		callContext, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err := node.caller.Call(callContext, node.addressOf(peer), &wire.Query{Fleet: node.view.Load().BoundFleet(), Which: schema.Query_Which_opening, SharedPrefix: &wire.SharedPrefixQuery{Group: group, Name: name}})
		cancel()
		if err != nil || reply.SharedPrefix == nil || sessionlog.SharedPrefixName(damaged.Scope, reply.SharedPrefix.Data) != name {
			continue
		}
		result, err := node.propose(ctx, group, sessionlog.Command{Kind: sessionlog.SharePrefix, Now: node.clock(group), Scope: damaged.Scope, Data: reply.SharedPrefix.Data})
		if err != nil {
			return nil, err
		}
		log.WithFields(log.Fields{"node": node.Name(), "group": group, "opening": name, "peer": peer}).Info("opening_mended")
		return result.view, nil
	}
	return nil, apierror.New(apierror.Gap, "no peer has a sound copy of "+name, "ask again")
}

// handleSharedPrefix gives this replica's own copy.
func (node *Node) handleSharedPrefix(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	machine := node.stateMachine(query.SharedPrefix.Group)
	if machine == nil {
		return nil, apierror.New(apierror.NotFound, "no replica of this group is here", "ask another store")
	}
	prefix, found := machine.View().SharedPrefix(query.SharedPrefix.Name)
	if !found || prefix.Corrupt {
		return nil, apierror.New(apierror.NotFound, "no sound copy of this opening is here", "ask another store")
	}
	return &wire.Reply{Which: schema.Reply_Which_opening, SharedPrefix: &sessionlog.SharedPrefixRecord{Name: prefix.Name, Scope: prefix.Scope, Data: []byte(prefix.Text()), Until: prefix.KeepUntil}}, nil
}
