// Package apierror defines the typed errors of yardrock. Each has a kind for programs to act on,
// a message that says what went wrong, and a remedy that says what to do. Kind, message, remedy,
// leader and retry delay are sent between processes (package wire) and to clients; the other
// fields describe the connection and the cause, and stay in the process that made the error.
//
// The values of Kind are part of the public interfaces and never change.
package apierror

import (
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
)

// Kind classifies an error.
type Kind string

// The error kinds.
const (
	// NotRun: the request provably was not executed and never will be.
	NotRun Kind = "not_run"
	// Unknown: it is not known whether the request was executed, or how it ended.
	Unknown Kind = "unknown"
	// Invalid: the request, config or data is malformed or inconsistent.
	Invalid Kind = "invalid"
	// Unauthorized: the request has no valid token.
	Unauthorized Kind = "unauthorized"
	// Forbidden: the token does not permit the request.
	Forbidden Kind = "forbidden"
	NotFound  Kind = "not_found"
	// Conflict: the current state is not the one that the request expects.
	Conflict Kind = "conflict"
	TooLarge Kind = "too_large"
	// QuotaExhausted: the program's quota does not allow another turn.
	QuotaExhausted Kind = "allowance_exhausted"
	// RateLimited: the tenant has sent more requests than its rate limit allows; this one was not
	// executed and never will be.
	RateLimited Kind = "rate_limited"
	// NotLeader: another replica leads the group; Error.Leader names it if known.
	NotLeader Kind = "not_leader"
	// NoQuorum: too few replicas responded in time.
	NoQuorum Kind = "no_quorum"
	// OutcomeUnknown: a change may or may not have been committed. It is safe to retry, as
	// duplicates are detected.
	OutcomeUnknown Kind = "unclear"
	// Gap: part of the data cannot be read from any replica that responded.
	Gap Kind = "gap"
	// Damaged: stored or received data is incomplete or cannot be decoded.
	Damaged Kind = "damaged"
	// FormatTooNew: data or a request has a later format version than this process supports.
	FormatTooNew Kind = "format_too_new"
	BadSettings  Kind = "bad_settings"
	// Unavailable: the other process did not respond; also the kind given to untyped errors.
	Unavailable Kind = "unavailable"
	// RunnerFailure: the runner sent an invalid response or broke it off.
	RunnerFailure Kind = "runner_mishap"
	// ForeignFleet: the other process belongs to another fleet.
	ForeignFleet    Kind = "foreign_fleet"
	DiskUnavailable Kind = "disk_unavailable"
	// Cancelled: the client cancelled the request or disconnected.
	Cancelled Kind = "cancelled"
)

// Error is a typed error.
type Error struct {
	Kind    Kind
	Message string
	// Remedy says how to resolve the error.
	Remedy string
	// RetryAfter is how long to wait before a retry; 0 if not specified.
	RetryAfter time.Duration
	// Leader is the name of the current leader in a NotLeader error; "" if not known.
	Leader string
	// NeverSent is set if provably no byte of the request reached the other process.
	NeverSent bool
	// ConnectionRefused is set if no process listens on the address.
	ConnectionRefused bool
	// Lost is set if a runner was unreachable, broke the connection off or rejected the request
	// for lack of capacity; it may just have restarted.
	Lost bool
	// Misdirected is set if the address now belongs to another process than the intended one.
	Misdirected bool
	// Cause is the underlying error, for errors.Is and errors.As; nil if there is none. It is
	// neither part of the message nor sent to other processes.
	Cause error
}

// Error returns the message with its kind and remedy.
//
//	fmt.Println(apierror.New(apierror.Invalid, "follows is negative", "name an earlier turn").Error())
func (err *Error) Error() string {
	return err.Message + " [" + string(err.Kind) + "; remedy: " + err.Remedy + "]"
}

// Unwrap returns the cause, or nil. Of and Is ignore the cause and use the outermost typed error:
// the kind of a cause is not the kind of the error.
//
//	refused := errors.Is(err, syscall.ECONNREFUSED)
func (err *Error) Unwrap() error { return err.Cause }

// New returns a typed error with the caller's stack trace, which %+v prints.
//
//	return apierror.New(apierror.Conflict, "turn 7 was already followed", "read the history and follow its last turn")
func New(kind Kind, message, remedy string) error {
	return merry.WrapSkipping(&Error{Kind: kind, Message: message, Remedy: remedy}, 1)
}

// NewRetryable is New for an error after which the request may be retried, after a delay.
//
//	return apierror.NewRetryable(apierror.NotRun, "the queue is full", "retry later", 2*time.Second)
func NewRetryable(kind Kind, message, remedy string, retryAfter time.Duration) error {
	return merry.WrapSkipping(&Error{Kind: kind, Message: message, Remedy: remedy, RetryAfter: retryAfter}, 1)
}

// Wrap is New for an error with a cause. The text of the cause is not appended to the message, so
// the message must contain what the reader needs of it.
//
//	return apierror.Wrap(err, apierror.BadSettings, "cannot listen on "+address+": "+err.Error(), "use an address that is free")
func Wrap(cause error, kind Kind, message, remedy string) error {
	return merry.WrapSkipping(&Error{Kind: kind, Message: message, Remedy: remedy, Cause: cause}, 1)
}

// WrapRetryable is Wrap for an error after which the request may be retried, after a delay.
//
//	return apierror.WrapRetryable(err, apierror.Unknown, "the outcome could not be recorded", "retry", time.Second)
func WrapRetryable(cause error, kind Kind, message, remedy string, retryAfter time.Duration) error {
	return merry.WrapSkipping(&Error{Kind: kind, Message: message, Remedy: remedy, RetryAfter: retryAfter, Cause: cause}, 1)
}

// Of returns the outermost typed error in the chain of err; if there is none, an Unavailable
// error with err as its cause. err must not be nil.
//
//	if apierror.Of(err).Kind == apierror.NotLeader { ... }
func Of(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return &Error{Kind: Unavailable, Message: err.Error(), Remedy: "retry; if the error persists, check the log of the node that responded", Cause: err}
}

// Is reports whether the outermost typed error in the chain of err has the kind. It is false for
// nil and for untyped errors.
//
//	if apierror.Is(err, apierror.NoQuorum) { ... }
func Is(err error, kind Kind) bool {
	var typed *Error
	return errors.As(err, &typed) && typed.Kind == kind
}
