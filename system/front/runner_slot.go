package front

import (
	"context"
	"errors"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/runnerclient"
	"yardrock.example/system/scheduler"
)

// maxDispatchAttempts is how many runners a piece of work is sent to at most; after the first, only
// if the one before provably got nothing.
const maxDispatchAttempts = 3

// acquireSlot gets a runner with a free slot from the scheduler.
func acquireSlot(ctx context.Context, node *Node, request *request) (any, error) {
	slot, err := node.scheduler.Acquire(ctx, request.workKind, request.team)
	if err != nil {
		return nil, err
	}
	request.slot = slot
	request.cleanups = append(request.cleanups, func() { request.slot.Release(scheduler.NotSent) })
	return nil, nil
}

// confirmRunner checks again before the dispatch: the view must be fresh, the request
// allowed by the configuration in force, and the runner one that it may be sent to.
func confirmRunner(ctx context.Context, node *Node, request *request) (any, error) {
	err := node.confirmDispatch(ctx, request)
	if err != nil && request.startEvent.Seq > 0 {
		return nil, node.recordNotRun(request, err)
	}
	return nil, err
}

// confirmDispatch is confirmRunner without a record; it takes another runner if the chosen
// one may no longer be used.
func (node *Node) confirmDispatch(ctx context.Context, request *request) error {
	for {
		if err := node.recheckActiveConfig(ctx, request); err != nil {
			return err
		}
		if request.runnerUsable() {
			return nil
		}
		request.slot.Release(scheduler.NotSent)
		slot, err := node.scheduler.Acquire(ctx, request.workKind, request.team)
		if err != nil {
			return err
		}
		request.slot = slot
	}
}

// recheckActiveConfig checks the request against the configuration now in force.
func (node *Node) recheckActiveConfig(ctx context.Context, request *request) error {
	if _, err := node.feedClient.Fresh(); err != nil {
		return err
	}
	request.active = node.active.Load()
	for _, check := range []filter{authenticate, findProgram, findKind} {
		if _, err := check(ctx, node, request); err != nil {
			return err
		}
	}
	return nil
}

// runnerUsable reports whether the chosen runner may still get the request.
func (request *request) runnerUsable() bool {
	hasWeight := request.active.config.Tables[request.workKind.Table][request.slot.Group] > 0
	return hasWeight && scheduler.Usable(request.active.view, request.slot.Runner)
}

// preSendCheck returns the check that the first byte waits for: the dial may have been
// slow, or this process frozen, since the runner was chosen. It has a copy of the request,
// as the HTTP library may call it after the request was given up.
func (node *Node) preSendCheck(request *request) runnerclient.PreSendCheck {
	chosen := *request
	return func() error {
		current := chosen
		if err := node.recheckActiveConfig(node.context, &current); err != nil {
			return err
		}
		if chosen.reservation != "" && time.Since(chosen.reservedAt) > reservationDispatchWindow {
			return apierror.NewRetryable(apierror.NotRun, "the reservation of words was not used in time", "ask again", time.Second)
		}
		if current.workKind != chosen.workKind || current.programConfig != chosen.programConfig || !current.runnerUsable() {
			return apierror.NewRetryable(apierror.NotRun, "what is in force changed before anything was sent", "ask again", time.Second)
		}
		return nil
	}
}

// dispatchOutcome says what the result of a dispatch shows of the runner, for the scheduler. The
// order matters: nothing is learnt while this node is being closed, and a connection that
// could not be opened is both Lost and NeverSent, but speaks against the runner.
func (node *Node) dispatchOutcome(err error) scheduler.Outcome {
	if err == nil || errors.Is(err, errTurnLimit) {
		return scheduler.Answered
	}
	failure := apierror.Of(err)
	switch {
	case node.context.Err() != nil:
		return scheduler.NotSent
	case failure.Lost:
		return scheduler.Lost
	case failure.NeverSent:
		return scheduler.NotSent
	}
	return scheduler.Faulted
}

// switchRunner takes another runner after one that provably got nothing.
func (node *Node) switchRunner(ctx context.Context, request *request, cause error) error {
	request.slot.Release(node.dispatchOutcome(cause))
	slot, err := node.scheduler.Acquire(ctx, request.workKind, request.team)
	if err != nil {
		return err
	}
	request.slot = slot
	return node.confirmDispatch(ctx, request)
}
