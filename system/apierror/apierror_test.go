package apierror

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"syscall"
	"testing"
)

// A cause is found by errors.Is and errors.As, and does not change the error's text.
func TestCauseIsFoundAndNotPartOfTheText(t *testing.T) {
	cause := &fs.PathError{Op: "open", Path: "/data", Err: syscall.ENOSPC}
	wrapped := fmt.Errorf("start: %w", Wrap(cause, DiskUnavailable, "the write failed", "free space"))
	if !errors.Is(wrapped, syscall.ENOSPC) {
		t.Error("errors.Is does not find the cause")
	}
	if found := (*fs.PathError)(nil); !errors.As(wrapped, &found) || found != cause {
		t.Error("errors.As does not find the cause")
	}
	without := New(DiskUnavailable, "the write failed", "free space")
	if Of(wrapped).Error() != without.Error() || Wrap(cause, DiskUnavailable, "the write failed", "free space").Error() != without.Error() {
		t.Errorf("got the text %q, without a cause %q", Of(wrapped).Error(), without.Error())
	}
	if errors.Unwrap(Of(without)) != nil {
		t.Error("an error without a cause unwraps to a cause")
	}
}

// The kind is that of the outermost typed error, not that of its cause.
func TestKindIsNotThatOfTheCause(t *testing.T) {
	inner := New(NotRun, "the queue is full", "retry")
	outer := Wrap(inner, Unknown, "the work cannot be found", "retry")
	if !Is(outer, Unknown) || Is(outer, NotRun) || Of(outer).Kind != Unknown {
		t.Errorf("got kind %s", Of(outer).Kind)
	}
	if !errors.Is(outer, inner) {
		t.Error("errors.Is does not find the cause")
	}
}

// Of makes an untyped error the cause of an Unavailable one.
func TestOfKeepsUntypedErrorAsCause(t *testing.T) {
	failure := Of(fmt.Errorf("read: %w", context.DeadlineExceeded))
	if failure.Kind != Unavailable || !errors.Is(failure, context.DeadlineExceeded) {
		t.Errorf("got %v with the cause %v", failure, failure.Cause)
	}
}
