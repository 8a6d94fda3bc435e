// Package apierror holds the typed failures that yardrock tells: each has a kind
// that programs can switch on and a message that names the remedy.
package apierror

import (
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
)

// Kind names what sort of failure happened.
type Kind string

// The kinds that cross process borders.
const (
	NotRun          Kind = "not_run"
	Unknown         Kind = "unknown"
	Invalid         Kind = "invalid"
	Unauthorized    Kind = "unauthorized"
	Forbidden       Kind = "forbidden"
	NotFound        Kind = "not_found"
	Conflict        Kind = "conflict"
	TooLarge        Kind = "too_large"
	QuotaExhausted  Kind = "allowance_exhausted"
	NotLeader       Kind = "not_leader"
	NoQuorum        Kind = "no_quorum"
	OutcomeUnknown  Kind = "unclear"
	Gap             Kind = "gap"
	Damaged         Kind = "damaged"
	FormatTooNew    Kind = "format_too_new"
	BadSettings     Kind = "bad_settings"
	Unavailable     Kind = "unavailable"
	RunnerFailure   Kind = "runner_mishap"
	ForeignFleet    Kind = "foreign_fleet"
	DiskUnavailable Kind = "disk_unavailable"
	Cancelled       Kind = "cancelled"
)

// Error is one typed failure.
type Error struct {
	Kind       Kind
	Message    string
	Remedy     string
	RetryAfter time.Duration
	// Leader is where a not_leader reply points, if it knows.
	Leader string
	// NeverSent tells that the query provably did not reach the other side.
	NeverSent bool
	// ConnectionRefused tells that the other machine said that no process listens there.
	ConnectionRefused bool
	// Lost tells that the other side refused for want of room, was not there, or went
	// away: it may have just started anew.
	Lost bool
	// Misdirected tells that another process has the address now than the one meant.
	Misdirected bool
}

// Error gives the message with its remedy.
//
//	fmt.Println(apierror.New(apierror.Invalid, "follows is negative", "name an earlier turn").Error())
func (err *Error) Error() string {
	return err.Message + " [" + string(err.Kind) + "; remedy: " + err.Remedy + "]"
}

// New makes a typed failure, with the place where it arose.
//
//	return apierror.New(apierror.Conflict, "turn 7 was already followed", "read the history and follow its last turn")
func New(kind Kind, message, remedy string) error {
	return merry.WrapSkipping(&Error{Kind: kind, Message: message, Remedy: remedy}, 1)
}

// NewRetryable makes a typed failure that tells when to come back.
//
//	return apierror.NewRetryable(apierror.NotRun, "the queue is full", "ask again later", 2*time.Second)
func NewRetryable(kind Kind, message, remedy string, retryAfter time.Duration) error {
	return merry.WrapSkipping(&Error{Kind: kind, Message: message, Remedy: remedy, RetryAfter: retryAfter}, 1)
}

// Of finds the typed failure in an error; an untyped one becomes Unavailable.
//
//	if apierror.Of(err).Kind == apierror.NotLeader { ... }
func Of(err error) *Error {
	var found *Error
	if errors.As(err, &found) {
		return found
	}
	return &Error{Kind: Unavailable, Message: err.Error(), Remedy: "ask again; if it stays, read the log of the node that answered"}
}

// Is tells whether an error is of the kind.
//
//	if apierror.Is(err, apierror.NoQuorum) { ... }
func Is(err error, kind Kind) bool {
	var found *Error
	return errors.As(err, &found) && found.Kind == kind
}
