package store

import (
	"context"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/conversation"
	"yardrock.example/system/sessionlog"
)

// settleInterval is how often the node looks for abandoned reservations.
const settleInterval = 5 * time.Second

// quotaSettler returns the task that settles reservations that fronts abandoned: those of turns
// that are closed, overdue or never began. These quotas count words (sessionlog.QuotaUsage); the
// token quota of a session is not settled here. The task settles only reservations that were
// outstanding in the previous round already, to exclude those in flight. The leader of the quota's
// group runs it and commits its changes, so the term is the fencing token.
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

// settleReservation replaces a reservation by the usage of its turn, if that is final. Until
// then the whole reservation counts against the quota.
func (node *Node) settleReservation(group uint32, quota string, reservation sessionlog.Reservation, clock int64) {
	ctx, cancel := context.WithTimeout(node.context, commandTimeout)
	defer cancel()
	words, final := node.wordsUsed(ctx, reservation, clock > reservation.ExpiresAt)
	if !final {
		return
	}
	command := sessionlog.Command{Kind: sessionlog.Settle, Session: quota, Now: clock, Reservation: reservation.Name, Words: words}
	if _, err := node.propose(ctx, group, command); err != nil {
		return // retried in the next round
	}
	log.WithFields(log.Fields{"node": node.Name(), "group": group, "quota": quota, "reservation": reservation.Name, "words": words}).
		Info("settled an abandoned reservation")
}

// wordsUsed returns how many words a reservation's turn used, and whether that is final. A turn
// that did not begin within the reservation's lifetime never will, as its front checks the
// lifetime before it sends the first byte. An open turn whose reservation has expired is closed,
// which fences the process that still runs it; the next round reads the result.
func (node *Node) wordsUsed(ctx context.Context, reservation sessionlog.Reservation, expired bool) (words uint64, final bool) {
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
			closeCommand := sessionlog.CloseOverdue(event, sessionlog.OutcomeInterrupted)
			_, _ = node.storeClient.Command(ctx, sessionName, closeCommand) // the next round reads whether it was committed
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
