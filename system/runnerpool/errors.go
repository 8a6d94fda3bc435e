package runnerpool

import (
	"errors"
	"os"

	"yardrock.example/system/apierror"
)

func cancelled(address string, neverSent bool) *apierror.Error {
	return &apierror.Error{Kind: apierror.Cancelled, Message: "the query to runner " + address + " was given up", Remedy: "none: whoever asked gave up", NeverSent: neverSent}
}

// connectionError types what went wrong on the connection.
func (trip *roundTrip) connectionError(err error) *apierror.Error {
	address := trip.request.Runner.Address
	if trip.ctx.Err() != nil {
		return cancelled(address, false)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &apierror.Error{Kind: apierror.Unknown, Message: "runner " + address + " did not answer before the caller's time was over", Remedy: "ask with more time; whether the query ran is not known"}
	}
	return &apierror.Error{Kind: apierror.RunnerFailure, Message: "runner " + address + " broke off: " + err.Error(), Remedy: "see the runner's own log; whether the query ran is not known", Lost: true}
}
