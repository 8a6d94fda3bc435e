package runnerpool

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
	"testing"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
)

// Whatever broke a connection, the error has it as cause, but is never found to be io.EOF: by
// that the readers of a response know its complete end.
func TestBrokenConnectionIsNeverACompleteEnd(t *testing.T) {
	trip := &roundTrip{ctx: t.Context(), request: &Request{Runner: feed.Runner{Address: "runner"}}}
	for _, test := range []struct{ broken, cause error }{
		{io.EOF, io.ErrUnexpectedEOF},
		{fmt.Errorf("trailer: %w", io.EOF), io.ErrUnexpectedEOF},
		{io.ErrUnexpectedEOF, io.ErrUnexpectedEOF},
		{fmt.Errorf("read: %w", syscall.ECONNRESET), syscall.ECONNRESET},
		{os.ErrDeadlineExceeded, os.ErrDeadlineExceeded},
		{errHeadTooLarge, errHeadTooLarge},
	} {
		failed := trip.connectionError(test.broken)
		if errors.Is(failed, io.EOF) || !errors.Is(failed, test.cause) {
			t.Errorf("%v became %v with the cause %v, want %v", test.broken, failed, failed.Cause, test.cause)
		}
	}
}

// A request whose context ended says why.
func TestCancelledRequestNamesTheContextsError(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	trip := &roundTrip{ctx: ctx, request: &Request{Runner: feed.Runner{Address: "runner"}}}
	if failed := trip.connectionError(io.EOF); failed.Kind != apierror.Cancelled || !errors.Is(failed, context.Canceled) {
		t.Errorf("got %v with the cause %v", failed, failed.Cause)
	}
}
