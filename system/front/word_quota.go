package front

import (
	"context"
	"strconv"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/conversation"
	"yardrock.example/system/sessionlog"
)

const (
	// reservationDispatchWindow is how long after the reservation was requested the work may be
	// sent to a runner. The lifetime of the reservation, after which the stores settle it, is
	// this window, the runner's timeout, deadlineMargin and reservationMargin.
	reservationDispatchWindow = 15 * time.Second
	reservationMargin         = 15 * time.Second
)

// quotaName returns the name of the session that counts the program's words in the current
// period.
func (request *request) quotaName() string {
	return sessionlog.QuotaName(request.team, request.program, request.programConfig.Period)
}

// reserveWords reserves the words of the input and of the longest answer before anything is
// dispatched. If the reply is lost, the reservation is settled with 0 immediately, so that it
// cannot take effect later. The stores settle the reservations of a failed front.
func reserveWords(ctx context.Context, node *Node, request *request) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	request.dispatchID = node.newDispatchID()
	request.reservedWords = request.programConfig.TurnLimit
	request.reservation, request.reservedAt = sessionlog.ReservationName(request.sessionName(), request.dispatchID), time.Now()
	outcomes, err := node.stores.Command(ctx, request.quotaName(), sessionlog.Command{
		Kind: sessionlog.Reserve, Reservation: request.reservation, Words: conversation.CountWords(request.input) + request.reservedWords, Quota: request.programConfig.Quota,
		Lifetime: reservationDispatchWindow + time.Duration(request.workKind.Timeout) + deadlineMargin + reservationMargin,
	})
	request.cleanups = append(request.cleanups, func() { node.settle(request, 0) })
	if err != nil {
		return nil, asNotRun(err)
	}
	switch outcomes[0].Status {
	case sessionlog.Done:
		return nil, nil
	case sessionlog.QuotaExceeded:
		request.reservation = ""
		spent, reserved := strconv.FormatUint(outcomes[0].Spent, 10), strconv.FormatUint(outcomes[0].Reserved, 10)
		return nil, apierror.New(apierror.QuotaExhausted,
			"program "+request.program+" has "+spent+" words spent and "+reserved+" reserved, of a quota of "+strconv.FormatUint(request.programConfig.Quota, 10),
			"wait for the turns in progress, or have an operator raise the quota")
	}
	request.reservation = ""
	return nil, apierror.NewRetryable(apierror.NotRun, "the reservation had already been settled", "retry", time.Second)
}

// settle commits, in the background, how many words of the reservation were used. It retries
// until that is committed or settleTimeout has passed; an unsettled reservation counts as spent
// until the stores settle it.
func (node *Node) settle(request *request, wordCount uint64) {
	name, reservation := request.quotaName(), request.reservation
	if reservation == "" {
		return
	}
	request.reservation = ""
	node.background.Go(func() {
		ctx, cancel := context.WithTimeout(node.context, settleTimeout)
		defer cancel()
		for ctx.Err() == nil {
			if _, err := node.stores.Command(ctx, name, sessionlog.Command{Kind: sessionlog.Settle, Reservation: reservation, Words: wordCount}); err == nil {
				return
			}
			awaitRetry(ctx)
		}
	})
}

// answerWordLimit returns the maximum number of words of the answer: the limit in the current
// config, but never more than was reserved, possibly under an earlier config.
func (request *request) answerWordLimit() uint64 {
	return min(request.reservedWords, request.programConfig.TurnLimit)
}

// awaitRetry waits for the next attempt of a background task, or for the end of the context.
func awaitRetry(ctx context.Context) {
	select {
	case <-time.After(backgroundRetryInterval):
	case <-ctx.Done():
	}
}
