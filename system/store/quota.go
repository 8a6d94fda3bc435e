package store

import (
	"context"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/conversation"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// quotaSettler gives the task that settles what fronts left behind: reservations of
// turns that are closed, overdue, or never began. It looks only at those that were
// out at the round before, so that what is under way is left alone. The leader of
// the tally's group does this alone; its commands are fenced by its term.
func (node *Node) quotaSettler() func() {
	seenBefore := map[string]bool{}
	return func() {
		outstanding := map[string]bool{}
		for group, status := range node.host.Statuses() {
			if !status.CommittedInTerm {
				continue
			}
			clock := node.clock(group)
			for usage := range node.stateMachine(group).View().QuotaUsages() {
				for _, reservation := range usage.Reservations {
					outstanding[reservation.Name] = true
					if seenBefore[reservation.Name] {
						node.settleReservation(group, usage.Name, reservation, clock)
					}
				}
			}
		}
		seenBefore = outstanding
	}
}

// settleReservation looks what became of a reservation's turn and books what it spoke. While
// that cannot be told, the reservation goes on counting as spent.
func (node *Node) settleReservation(group uint32, quota string, reservation sessionlog.Reservation, clock int64) {
	ctx, cancel := context.WithTimeout(node.context, commandTimeout)
	defer cancel()
	words, ended := node.wordsSpent(ctx, reservation, clock > reservation.ExpiresAt)
	if !ended {
		return
	}
	command := sessionlog.Command{Kind: sessionlog.Settle, Session: quota, Now: clock, Reservation: reservation.Name, Words: words}
	if _, err := node.host.Propose(ctx, group, [][]byte{wire.MustEncode(schema.Command_TypeID, &command)}); err != nil {
		return
	}
	log.WithFields(log.Fields{"node": node.Name(), "tally": quota, "reservation": reservation.Name, "words": words}).Info("reservation_settled")
}

// wordsSpent tells how many words a reservation's turn spoke, once nothing can be added
// any more. A turn that did not begin within the reservation's life never will: its
// front looks at the life before the first byte leaves. An open one is closed, which
// fences whoever runs it.
func (node *Node) wordsSpent(ctx context.Context, reservation sessionlog.Reservation, over bool) (uint64, bool) {
	name, dispatch := reservation.Turn()
	events, _, err := node.storeClient.ReadAll(ctx, name)
	if apierror.Is(err, apierror.NotFound) {
		return 0, over
	}
	if err != nil {
		return 0, false
	}
	view := conversation.Fold(events)
	for _, event := range events {
		if event.Kind != sessionlog.TurnBegun || event.Dispatch != dispatch {
			continue
		}
		turn, _ := view.Run(event.Seq)
		switch {
		case turn.Ended == nil && over:
			closing := sessionlog.CloseOverdue(event, sessionlog.OutcomeCut)
			_, _ = node.storeClient.Command(ctx, name, closing) // the next round reads what came of it
			return 0, false
		case turn.Ended == nil:
			return 0, false
		case turn.Ended.Outcome == sessionlog.OutcomeNotRun:
			return 0, true
		}
		return turn.WordCount(), true
	}
	return 0, over
}
