package runnerpool

import (
	"context"
	"errors"
	"io"
	"os"

	"yardrock.example/system/apierror"
)

// protocolError describes why the received bytes are not a valid response.
type protocolError string

// Error implements error.
func (text protocolError) Error() string { return string(text) }

// errHeadTooLarge is returned by persistentConnection.Read.
var errHeadTooLarge = protocolError("response head is too large")

// cancelled returns the error of a request whose context ended, with the context's error
// as its cause.
func cancelled(ctx context.Context, address string, neverSent bool) *apierror.Error {
	return &apierror.Error{Kind: apierror.Cancelled, Message: "request to runner " + address + " was cancelled", Remedy: "none: the caller cancelled the request", NeverSent: neverSent, Cause: ctx.Err()}
}

// invalidRequestError returns the error of a request that must not be sent.
func invalidRequestError(message, remedy string) error {
	return &apierror.Error{Kind: apierror.Invalid, Message: message, Remedy: remedy, NeverSent: true}
}

// connectionError converts an error of the connection into the one that Send and Read
// return. It checks the context first, because the end of the context also sets the
// connection's deadline.
func (trip *roundTrip) connectionError(err error) *apierror.Error {
	address := trip.request.Runner.Address
	if trip.ctx.Err() != nil {
		return cancelled(trip.ctx, address, false)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &apierror.Error{Kind: apierror.Unknown, Message: "runner " + address + " did not respond before the deadline", Remedy: "use a longer timeout; the request may have run", Cause: err}
	}
	return &apierror.Error{Kind: apierror.RunnerFailure, Message: "exchange with runner " + address + " failed: " + err.Error(), Remedy: "see the runner's log; the request may have run", Lost: true, Cause: brokenCause(err)}
}

// brokenCause returns the cause of a broken connection. The result never matches io.EOF,
// which tells readers of a response that its body is complete.
func brokenCause(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
