// Package balancer chooses the runner that a query is sent to: by what the runner has
// kept of the prompt, what it bears, how it has answered lately, and how near it is.
package balancer

import (
	"time"

	"yardrock.example/system/config"
	"yardrock.example/system/feed"
)

// PromptPart is a part of a prompt, in order; parts are shared between queries.
type PromptPart struct {
	Name   string
	Tokens int
}

// Request is what a query needs of a runner.
type Request struct {
	Route           *config.Route
	PromptParts     []PromptPart // of the prompt; nil for plain work
	Program         string       // "" if the query belongs to none
	Session         string
	AffinityKey     string // what the query is about; a runner that has seen it is faster
	InputTokens     uint64
	MaxOutputTokens uint64
	Deadline        time.Time
	FinishBy        time.Time // when the program should be over; zero: unknown
	Excluded        []string  // ids of runners that were tried already
}

// State is what choices rest on; it is replaced whole.
type State struct {
	View       *feed.View
	Routing    *config.Routing
	FrontCount int // live fronts that share the runners, this one included
	// FrontName is this front's name and Names those of all live fronts. They may be left
	// out; with them, more fronts can share a cold runner exactly.
	FrontName  string
	FrontNames []string
}

// Outcome tells how a dispatch ended, for the balancer's knowledge of the runner.
type Outcome int

// The ways a dispatch can end.
const (
	// NotSent: nothing was sent.
	NotSent Outcome = iota
	// Answered: the runner did its work.
	Answered
	// Rejected: the runner vouched that it did not run the query (full, leaving).
	Rejected
	// Failed: the runner answered with a failure of its own.
	Failed
	// Lost: the connection was refused or lost, or the answer was broken.
	Lost
	// Misdirected: another runner has the address now.
	Misdirected
	// Cancelled: this side or the caller gave up; tells nothing about the runner.
	Cancelled
)
