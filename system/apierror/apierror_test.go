package apierror

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"syscall"
	"testing"
)

// An error with a cause reads as one without, and errors.Is and errors.As find the cause.
func TestCauseIsFoundAndNotPartOfTheText(t *testing.T) {
	cause := &fs.PathError{Op: "open", Path: "/data", Err: syscall.ENOSPC}
	wrapped := fmt.Errorf("start: %w", Wrap(cause, DiskUnavailable, "no write", "free space"))
	if !errors.Is(wrapped, syscall.ENOSPC) {
		t.Error("errors.Is does not find the cause")
	}
	if found := (*fs.PathError)(nil); !errors.As(wrapped, &found) || found != cause {
		t.Error("errors.As does not find the cause")
	}
	without := New(DiskUnavailable, "no write", "free space")
	if Of(wrapped).Error() != without.Error() || Wrap(cause, DiskUnavailable, "no write", "free space").Error() != without.Error() {
		t.Errorf("the text is %q, without a cause it is %q", Of(wrapped).Error(), without.Error())
	}
	if errors.Unwrap(Of(without)) != nil {
		t.Error("an error without a cause unwraps to one")
	}
}

// The kind is that of the outermost typed error, whatever the cause is.
func TestKindIsNotThatOfTheCause(t *testing.T) {
	inner := New(NotRun, "the queue is full", "ask again")
	outer := Wrap(inner, Unknown, "the work cannot be found", "ask again")
	if !Is(outer, Unknown) || Is(outer, NotRun) || Of(outer).Kind != Unknown {
		t.Errorf("the kind is %s", Of(outer).Kind)
	}
	if !errors.Is(outer, inner) {
		t.Error("errors.Is does not find the cause")
	}
}

// An untyped error becomes the cause of a typed one.
func TestOfKeepsUntypedErrorAsCause(t *testing.T) {
	failure := Of(fmt.Errorf("read: %w", context.DeadlineExceeded))
	if failure.Kind != Unavailable || !errors.Is(failure, context.DeadlineExceeded) {
		t.Errorf("got %v with the cause %v", failure, failure.Cause)
	}
}
