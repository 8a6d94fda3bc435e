package runnerpool

import (
	"context"
	"errors"
	"io"
	"os"

	"yardrock.example/system/apierror"
)

// protocolError says what is wrong with what came in place of a response. It reads as
// the end of a sentence that begins with the runner.
type protocolError string

// Error returns the text.
func (text protocolError) Error() string { return string(text) }

// errHeadTooLarge is returned by persistentConnection.Read.
var errHeadTooLarge = protocolError("the head of its answer is too large")

// cancelled is the error of a request whose context ended, with the context's error as cause.
func cancelled(ctx context.Context, address string, neverSent bool) *apierror.Error {
	return &apierror.Error{Kind: apierror.Cancelled, Message: "the query to runner " + address + " was given up", Remedy: "none: whoever asked gave up", NeverSent: neverSent, Cause: ctx.Err()}
}

// invalidRequest is the error of a request that must not be sent.
func invalidRequest(what, remedy string) error {
	return &apierror.Error{Kind: apierror.Invalid, Message: what, Remedy: remedy, NeverSent: true}
}

// connectionError turns an error of the connection into the one that Send and Read
// return. Deadlines of the connection are set by the context as well as by the request,
// so that the context is looked at first.
func (trip *roundTrip) connectionError(err error) *apierror.Error {
	address := trip.request.Runner.Address
	if trip.ctx.Err() != nil {
		return cancelled(trip.ctx, address, false)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &apierror.Error{Kind: apierror.Unknown, Message: "runner " + address + " did not answer before the caller's time was over", Remedy: "ask with more time; whether the query ran is not known", Cause: err}
	}
	return &apierror.Error{Kind: apierror.RunnerFailure, Message: "runner " + address + " broke off: " + err.Error(), Remedy: "see the runner's own log; whether the query ran is not known", Lost: true, Cause: brokenCause(err)}
}

// brokenCause is the cause of a broken connection. It must never be found to be io.EOF, by which
// the readers of a response know its complete end.
func brokenCause(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
