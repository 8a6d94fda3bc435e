package store

import (
	"context"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/line"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// share lets the beginning of a program's first turn refer to an opening that the group
// holds, if its scope shares any, and notices new ones. Only leaders' commands last, so
// the group's term is the fence.
func (node *Node) share(group uint32, command *line.Command) {
	machine := node.machine(group)
	if command.Kind != line.BeginTurn || command.Scope == "" || command.Follows != "" || !command.Keeps || machine == nil {
		return
	}
	input, scope := command.Data, command.Scope
	held, found := machine.View().OpeningOf(scope, input)
	if common, noticed := node.noticer.Notice(group, scope, command.Line, input); noticed && (!found || uint64(common.Length) >= held.Size+line.LeastOpening) {
		node.tasks.Go(func() { node.merge(group, scope, input[:common.Length], common.Lines) })
	}
	if !found {
		command.Scope = ""
		return
	}
	command.Kind, command.Opening, command.Data = line.BeginSharedTurn, held.Name, input[held.Size:]
}

// merge lets the group hold an opening, and refers the lines to it that it was noticed in.
func (node *Node) merge(group uint32, scope string, data []byte, lines []string) {
	command := line.Command{Kind: line.ShareOpening, Now: node.clock(group), Scope: scope, Data: data}
	for _, name := range lines {
		command.Acks = append(command.Acks, line.Ack{Line: name})
	}
	told, err := node.proposeOne(node.context, group, command)
	if err != nil || told.outcome.Status != line.Done {
		return // it will be noticed again
	}
	log.WithFields(log.Fields{"node": node.Name(), "group": group, "scope": scope, "opening": line.OpeningName(scope, data), "bytes": len(data), "lines": len(lines)}).Info("opening_merged")
}

func (node *Node) proposeOne(ctx context.Context, group uint32, command line.Command) (applied, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	outcomes, err := node.host.Propose(ctx, group, [][]byte{wire.MustEncode(schema.Command_TypeID, &command)})
	if err != nil {
		return applied{}, err
	}
	return outcomes[0].(applied), nil
}

// beginWhole begins a turn with its whole input: the opening that it was to refer to was
// freed meanwhile, and nothing had begun.
func (node *Node) beginWhole(ctx context.Context, group uint32, command line.Command) (applied, error) {
	command.Now = node.clock(group)
	return node.proposeOne(ctx, group, command)
}

// whole gives all of an event's data as of a view. A damaged opening is mended first; if
// it can't be, nothing shorter is given.
func (node *Node) whole(ctx context.Context, group uint32, view *line.View, event *line.Event) ([]byte, error) {
	if event == nil {
		return nil, nil
	}
	if data, sound := view.Whole(event); sound {
		return data, nil
	}
	if mended, err := node.mendOpening(ctx, group, view, event.Opening); err == nil {
		if data, sound := mended.Whole(event); sound {
			return data, nil
		}
	}
	return nil, apierror.Later(apierror.Gap, "the opening "+event.Opening+" that a turn refers to cannot be read now", "ask again; the store nodes mend their copies from each other", time.Second)
}

// allWhole fills in the data of events that refer to openings.
func (node *Node) allWhole(ctx context.Context, group uint32, view *line.View, events []line.Event) error {
	for position := range events {
		if events[position].Opening == "" {
			continue
		}
		data, err := node.whole(ctx, group, view, &events[position])
		if err != nil {
			return err
		}
		events[position].Data, events[position].Opening = data, ""
	}
	return nil
}

// mendOpening asks peers for an opening and gives it to the group anew; its name tells
// whether a copy is sound.
func (node *Node) mendOpening(ctx context.Context, group uint32, view *line.View, name string) (*line.View, error) {
	damaged, found := view.Opening(name)
	if !found {
		return nil, apierror.New(apierror.Gap, "no opening "+name+" is held", "ask again")
	}
	for _, peer := range node.host.Statuses()[group].Membership.Voters {
		if peer == node.Name() {
			continue
		}
		asked, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err := node.caller.Call(asked, node.addressOf(peer), &wire.Query{Fleet: node.held.Load().BoundFleet(), Which: schema.Query_Which_opening, Opening: &wire.OpeningQuery{Group: group, Name: name}})
		cancel()
		if err != nil || reply.Opening == nil || line.OpeningName(damaged.Scope, reply.Opening.Data) != name {
			continue
		}
		told, err := node.proposeOne(ctx, group, line.Command{Kind: line.ShareOpening, Now: node.clock(group), Scope: damaged.Scope, Data: reply.Opening.Data})
		if err != nil {
			return nil, err
		}
		log.WithFields(log.Fields{"node": node.Name(), "group": group, "opening": name, "peer": peer}).Info("opening_mended")
		return told.view, nil
	}
	return nil, apierror.New(apierror.Gap, "no peer has a sound copy of "+name, "ask again")
}

// answerOpening gives this replica's own copy.
func (node *Node) answerOpening(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	machine := node.machine(query.Opening.Group)
	if machine == nil {
		return nil, apierror.New(apierror.NotFound, "no replica of this group is here", "ask another store")
	}
	opening, found := machine.View().Opening(query.Opening.Name)
	if !found || opening.Damaged {
		return nil, apierror.New(apierror.NotFound, "no sound copy of this opening is here", "ask another store")
	}
	return &wire.Reply{Which: schema.Reply_Which_opening, Opening: &line.OpeningRecord{Name: opening.Name, Scope: opening.Scope, Data: []byte(opening.Text()), Until: opening.Until}}, nil
}

func (node *Node) openingsOf(group uint32) []wire.OpeningStatus {
	held := []wire.OpeningStatus{}
	for opening := range node.machine(group).View().Openings() {
		held = append(held, wire.OpeningStatus{Name: opening.Name, Scope: opening.Scope, Size: opening.Size, Lines: opening.Lines, Damaged: opening.Damaged})
	}
	return held
}

// Machine gives the state machine of a group that has a replica here, for tests that
// damage it; nil is none.
//
//	view := node.Machine(3).View()
func (node *Node) Machine(group uint32) *line.Machine {
	if held := node.machine(group); held != nil {
		return held.Machine
	}
	return nil
}
