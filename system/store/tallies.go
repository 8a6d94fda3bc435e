package store

import (
	"context"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/conversation"
	"yardrock.example/system/line"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// settler gives the task that settles what fronts left behind: reservations of
// turns that are closed, overdue, or never began. It looks only at those that were
// out at the round before, so that what is under way is left alone. The leader of
// the tally's group does this alone; its commands are fenced by its term.
func (node *Node) settler() func() {
	before := map[string]bool{}
	return func() {
		out := map[string]bool{}
		for group, status := range node.host.Statuses() {
			if !status.CommittedInTerm {
				continue
			}
			clock := node.clock(group)
			for tally := range node.machine(group).View().Tallies() {
				for _, reservation := range tally.Reservations {
					out[reservation.Name] = true
					if before[reservation.Name] {
						node.settle(group, tally.Name, reservation, clock)
					}
				}
			}
		}
		before = out
	}
}

// settle looks what became of a reservation's turn and books what it spoke. While
// that cannot be told, the reservation goes on counting as spent.
func (node *Node) settle(group uint32, tally string, reservation line.Reservation, clock int64) {
	ctx, cancel := context.WithTimeout(node.context, commandTimeout)
	defer cancel()
	words, ended := node.spent(ctx, reservation, clock > reservation.Until)
	if !ended {
		return
	}
	command := line.Command{Kind: line.Settle, Line: tally, Now: clock, Reservation: reservation.Name, Words: words}
	if _, err := node.host.Propose(ctx, group, [][]byte{wire.MustEncode(schema.Command_TypeID, &command)}); err != nil {
		return
	}
	log.WithFields(log.Fields{"node": node.Name(), "tally": tally, "reservation": reservation.Name, "words": words}).Info("reservation_settled")
}

// spent tells how many words a reservation's turn spoke, once nothing can be added
// any more. A turn that did not begin within the reservation's life never will: its
// front looks at the life before the first byte leaves. An open one is closed, which
// fences whoever runs it.
func (node *Node) spent(ctx context.Context, reservation line.Reservation, over bool) (uint64, bool) {
	name, dispatch := reservation.Turn()
	events, _, err := node.lines.ReadAll(ctx, name)
	if apierror.Is(err, apierror.NotFound) {
		return 0, over
	}
	if err != nil {
		return 0, false
	}
	view := conversation.Fold(events)
	for _, event := range events {
		if event.Kind != line.TurnBegun || event.Dispatch != dispatch {
			continue
		}
		turn, _ := view.Run(event.Seq)
		switch {
		case turn.Ended == nil && over:
			closing := line.CloseOverdue(event, line.OutcomeCut)
			_, _ = node.lines.Command(ctx, name, closing) // the next round reads what came of it
			return 0, false
		case turn.Ended == nil:
			return 0, false
		case turn.Ended.Outcome == line.OutcomeNotRun:
			return 0, true
		}
		return turn.Spent(), true
	}
	return 0, over
}
