package store

import (
	"context"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/conversation"
	"yardrock.example/system/sessionlog"
)

// settleInterval is how often reservations are looked at that fronts may have left behind.
const settleInterval = 5 * time.Second

// quotaSettler returns the task that settles reservations which fronts left behind: those of
// turns that are closed, overdue, or never began. It takes those only that were outstanding in
// the round before, so that it leaves alone what is in flight. The leader of the quota's group
// does this; as it commits, the term is its fencing token.
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

// settleReservation replaces a reservation by what its turn used, if that is final. Until then
// the reservation counts as spent.
func (node *Node) settleReservation(group uint32, quota string, reservation sessionlog.Reservation, clock int64) {
	ctx, cancel := context.WithTimeout(node.context, commandTimeout)
	defer cancel()
	words, final := node.wordsSpent(ctx, reservation, clock > reservation.ExpiresAt)
	if !final {
		return
	}
	command := sessionlog.Command{Kind: sessionlog.Settle, Session: quota, Now: clock, Reservation: reservation.Name, Words: words}
	if _, err := node.propose(ctx, group, command); err != nil {
		return // the next round tries again
	}
	log.WithFields(log.Fields{"node": node.Name(), "group": group, "quota": quota, "reservation": reservation.Name, "words": words}).
		Info("reservation that its front did not settle is settled")
}

// wordsSpent returns how many words a reservation's turn used, and whether that is final. A
// turn that did not begin within the reservation's lifetime never will: its front checks the
// lifetime before the first byte leaves. An open turn whose reservation has expired is closed,
// which fences whoever still runs it, and the next round sees the result.
func (node *Node) wordsSpent(ctx context.Context, reservation sessionlog.Reservation, expired bool) (words uint64, final bool) {
	sessionName, dispatch := reservation.Turn()
	events, _, err := node.storeClient.ReadAll(ctx, sessionName)
	if apierror.Is(err, apierror.NotFound) {
		return 0, expired
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
		case turn.Ended == nil && expired:
			closing := sessionlog.CloseOverdue(event, sessionlog.OutcomeCut)
			_, _ = node.storeClient.Command(ctx, sessionName, closing) // the next round sees whether it took effect
			return 0, false
		case turn.Ended == nil:
			return 0, false
		case turn.Ended.Outcome == sessionlog.OutcomeNotRun:
			return 0, true
		}
		return turn.WordCount(), true
	}
	return 0, expired
}
