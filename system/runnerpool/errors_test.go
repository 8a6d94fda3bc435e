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

// TestConnectionErrorIsNeverEOF: the error of a broken connection wraps its cause but never
// matches io.EOF, which tells readers of a response that its body is complete.
func TestConnectionErrorIsNeverEOF(t *testing.T) {
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

// TestCancelledRequestWrapsContextError: the error of a cancelled request wraps that of its
// context.
func TestCancelledRequestWrapsContextError(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	trip := &roundTrip{ctx: ctx, request: &Request{Runner: feed.Runner{Address: "runner"}}}
	if failed := trip.connectionError(io.EOF); failed.Kind != apierror.Cancelled || !errors.Is(failed, context.Canceled) {
		t.Errorf("got %v with the cause %v", failed, failed.Cause)
	}
}
