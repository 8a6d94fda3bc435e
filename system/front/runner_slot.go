package front

import (
	"context"
	"errors"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/runnerclient"
	"yardrock.example/system/scheduler"
)

// maxDispatchAttempts bounds the attempts to send work to a runner. Another attempt is made only
// if provably nothing was sent in the previous one.
const maxDispatchAttempts = 3

// acquireSlot acquires a slot on a runner from the scheduler.
func acquireSlot(ctx context.Context, node *Node, request *request) (any, error) {
	slot, err := node.scheduler.Acquire(ctx, request.workKind, request.team)
	if err != nil {
		return nil, err
	}
	request.slot = slot
	request.cleanups = append(request.cleanups, func() { request.slot.Release(scheduler.NotSent) })
	return nil, nil
}

// confirmRunner repeats the checks before the dispatch: the view must be fresh, the request
// allowed by the current config, and the runner usable for it. If that fails after the start of
// the run was recorded, the run is closed as not run.
func confirmRunner(ctx context.Context, node *Node, request *request) (any, error) {
	err := node.confirmDispatch(ctx, request)
	if err != nil && request.startEvent.Seq > 0 {
		return nil, node.recordNotRun(request, err)
	}
	return nil, err
}

// confirmDispatch makes the checks of confirmRunner. It acquires a slot on another runner if the
// chosen one may no longer be used.
func (node *Node) confirmDispatch(ctx context.Context, request *request) error {
	for {
		if err := node.recheckCurrentConfig(ctx, request); err != nil {
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

// recheckCurrentConfig checks the request against the current config, if the view is fresh.
func (node *Node) recheckCurrentConfig(ctx context.Context, request *request) error {
	if _, err := node.feedClient.Fresh(); err != nil {
		return err
	}
	request.current = node.current.Load()
	for _, check := range []filter{authenticate, findProgram, findKind} {
		if _, err := check(ctx, node, request); err != nil {
			return err
		}
	}
	return nil
}

// runnerUsable reports whether the request may still be sent to the chosen runner.
func (request *request) runnerUsable() bool {
	hasWeight := request.current.config.WeightTables[request.workKind.WeightTable][request.slot.Group] > 0
	return hasWeight && scheduler.Usable(request.current.view, request.slot.Runner)
}

// beforeSend returns the check that precedes the first byte: the dial may have been slow, or
// this process suspended, since the runner was chosen. The check uses a copy of the request, as
// the HTTP library may call it after the request was abandoned.
func (node *Node) beforeSend(request *request) runnerclient.BeforeSend {
	chosen := *request
	return func() error {
		rechecked := chosen
		if err := node.recheckCurrentConfig(node.context, &rechecked); err != nil {
			return err
		}
		if chosen.reservation != "" && time.Since(chosen.reservedAt) > reservationDispatchWindow {
			return apierror.NewRetryable(apierror.NotRun, "the work was not sent within the dispatch window of its reservation", "retry", time.Second)
		}
		if rechecked.workKind != chosen.workKind || rechecked.programConfig != chosen.programConfig || !rechecked.runnerUsable() {
			return apierror.NewRetryable(apierror.NotRun, "the config or the state of the runner changed before anything was sent", "retry", time.Second)
		}
		return nil
	}
}

// dispatchOutcome converts the result of a dispatch into what it says about the runner, for the
// scheduler. The order matters: errors while this node closes say nothing about the runner, and
// a failed dial is both Lost and NeverSent but counts against the runner.
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
	return scheduler.Failed
}

// switchRunner acquires a slot on another runner after one to which provably nothing was sent.
func (node *Node) switchRunner(ctx context.Context, request *request, cause error) error {
	request.slot.Release(node.dispatchOutcome(cause))
	slot, err := node.scheduler.Acquire(ctx, request.workKind, request.team)
	if err != nil {
		return err
	}
	request.slot = slot
	return node.confirmDispatch(ctx, request)
}
