// Package apierror has the typed errors of yardrock. Each has a kind, which programs can act on,
// a message that says what went wrong, and a remedy that says what to do. Kind, message, remedy,
// leader and retry time travel between processes (package wire) and to callers; the other fields
// are what the process that made the error knows of its own connection, and of the cause.
//
// The texts of kinds are part of the interfaces, and never change.
package apierror

import (
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
)

// Kind is what sort of error it is.
type Kind string

// The kinds of error.
const (
	// NotRun: it is proven that the request was not executed, and will not be.
	NotRun Kind = "not_run"
	// Unknown: whether the request was executed, or how it ended, is not known.
	Unknown Kind = "unknown"
	// Invalid: the request, config or data is wrong in itself.
	Invalid Kind = "invalid"
	// Unauthorized: there is no valid token.
	Unauthorized Kind = "unauthorized"
	// Forbidden: the token does not allow this.
	Forbidden Kind = "forbidden"
	NotFound  Kind = "not_found"
	// Conflict: the state is not the one that the request expects.
	Conflict Kind = "conflict"
	TooLarge Kind = "too_large"
	// QuotaExhausted: the program's quota does not allow another turn.
	QuotaExhausted Kind = "allowance_exhausted"
	// NotLeader: another replica leads the group; Error.Leader names it if it is known.
	NotLeader Kind = "not_leader"
	// NoQuorum: too few replicas answered in time.
	NoQuorum Kind = "no_quorum"
	// OutcomeUnknown: a change may or may not have been committed. It may be sent again, as
	// repeats are recognized.
	OutcomeUnknown Kind = "unclear"
	// Gap: a part of the data cannot be read from any replica that answered.
	Gap Kind = "gap"
	// Damaged: stored or received data is incomplete, or cannot be read.
	Damaged Kind = "damaged"
	// FormatTooNew: data or a query is of a later version than this process understands.
	FormatTooNew Kind = "format_too_new"
	BadSettings  Kind = "bad_settings"
	// Unavailable: the other process did not answer; also what an untyped error becomes.
	Unavailable Kind = "unavailable"
	// RunnerFailure: the runner answered wrongly, or broke off.
	RunnerFailure Kind = "runner_mishap"
	// ForeignFleet: the other process belongs to another fleet.
	ForeignFleet    Kind = "foreign_fleet"
	DiskUnavailable Kind = "disk_unavailable"
	// Cancelled: the caller cancelled the request, or left.
	Cancelled Kind = "cancelled"
)

// Error is one typed error.
type Error struct {
	Kind    Kind
	Message string
	// Remedy is what the reader of the message can do.
	Remedy string
	// RetryAfter is how long to wait before the request is sent again; 0: nothing is said.
	RetryAfter time.Duration
	// Leader is the name of the leader that a NotLeader error points to; "" if not known.
	Leader string
	// NeverSent is set if it is proven that nothing of the request reached the other side.
	NeverSent bool
	// ConnectionRefused is set if the other machine answered that no process listens there.
	ConnectionRefused bool
	// Lost is set if a runner was not there, broke the connection off, or rejected the request
	// for lack of room: it may have just restarted.
	Lost bool
	// Misdirected is set if another process has the address now than the one meant.
	Misdirected bool
	// Cause is the error that this one was made for, which errors.Is and errors.As then find
	// too; nil if there is none. It is not part of the message, and stays in this process.
	Cause error
}

// Error gives the message with its kind and remedy.
//
//	fmt.Println(apierror.New(apierror.Invalid, "follows is negative", "name an earlier turn").Error())
func (err *Error) Error() string {
	return err.Message + " [" + string(err.Kind) + "; remedy: " + err.Remedy + "]"
}

// Unwrap returns the cause, or nil. Of and Is never look at it, as they take the outermost typed
// error: the kind of a cause is not the kind of the error.
//
//	refused := errors.Is(err, syscall.ECONNREFUSED)
func (err *Error) Unwrap() error { return err.Cause }

// New makes a typed error, wrapped with the stack of its caller, which %+v formats.
//
//	return apierror.New(apierror.Conflict, "turn 7 was already followed", "read the history and follow its last turn")
func New(kind Kind, message, remedy string) error {
	return merry.WrapSkipping(&Error{Kind: kind, Message: message, Remedy: remedy}, 1)
}

// NewRetryable is New for an error after which the request may be sent again, after a time.
//
//	return apierror.NewRetryable(apierror.NotRun, "the queue is full", "ask again later", 2*time.Second)
func NewRetryable(kind Kind, message, remedy string, retryAfter time.Duration) error {
	return merry.WrapSkipping(&Error{Kind: kind, Message: message, Remedy: remedy, RetryAfter: retryAfter}, 1)
}

// Wrap is New for an error with a cause. The message is complete in itself: a text of the cause
// that the reader needs stands in it.
//
//	return apierror.Wrap(err, apierror.BadSettings, "cannot listen on "+address+": "+err.Error(), "use an address that is free")
func Wrap(cause error, kind Kind, message, remedy string) error {
	return merry.WrapSkipping(&Error{Kind: kind, Message: message, Remedy: remedy, Cause: cause}, 1)
}

// WrapRetryable is Wrap for an error after which the request may be sent again, after a time.
//
//	return apierror.WrapRetryable(err, apierror.Unknown, "the outcome could not be recorded", "ask again", time.Second)
func WrapRetryable(cause error, kind Kind, message, remedy string, retryAfter time.Duration) error {
	return merry.WrapSkipping(&Error{Kind: kind, Message: message, Remedy: remedy, RetryAfter: retryAfter, Cause: cause}, 1)
}

// Of gives the typed error that an error is or wraps, the outermost one; an untyped error becomes
// the cause of an Unavailable one. The error must not be nil.
//
//	if apierror.Of(err).Kind == apierror.NotLeader { ... }
func Of(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return &Error{Kind: Unavailable, Message: err.Error(), Remedy: "ask again; if it stays, read the log of the node that answered", Cause: err}
}

// Is tells whether an error's typed error, as Of finds it, is of the kind; nil and untyped errors
// are of none.
//
//	if apierror.Is(err, apierror.NoQuorum) { ... }
func Is(err error, kind Kind) bool {
	var typed *Error
	return errors.As(err, &typed) && typed.Kind == kind
}
