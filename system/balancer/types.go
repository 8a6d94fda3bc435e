package balancer

import (
	"time"

	"yardrock.example/system/config"
	"yardrock.example/system/feed"
)

// PromptPart is one part of a prompt. A prompt is a sequence of parts; requests whose
// prompts begin with the same parts can share a runner's prefix cache.
type PromptPart struct {
	ID     string // identifies the content: parts with the same one have the same content
	Tokens int    // length of the part
}

// Request describes a request that needs a runner.
type Request struct {
	// Route is the matched route. Required.
	Route *config.Route
	// Service, if not empty, is the only service that may get the request. It must have a share
	// of the route.
	Service string
	// Urgency, if not nil, replaces that of the route in the order of waiting requests.
	Urgency *int
	// PromptParts are the parts of the prompt of model work, in order. It is empty for plain
	// work and for prompts whose parts are not known.
	PromptParts []PromptPart
	// Program names the agent program that the request belongs to, Session its session
	// within the program; both may be empty. Model requests of one program, or else of
	// one session, are preferably sent to the same runner.
	Program string
	Session string
	// AffinityKey groups requests on a sticky route: those with the same key are preferably
	// sent to the same runner. Empty means no preference.
	AffinityKey string
	// InputTokens is the prompt's length in tokens as stated by the client. The larger of it
	// and the sum of PromptParts is used.
	InputTokens uint64
	// MaxOutputTokens is the client's limit on generated tokens. Selection does not use it.
	MaxOutputTokens uint64
	// Deadline is when the client gives up; zero if not known.
	Deadline time.Time
	// FinishBy is when the whole program should be finished; zero if not known. It orders
	// waiting requests of the same urgency; Deadline is used if it is zero.
	FinishBy time.Time
	// Excluded lists incarnations or addresses of runners that must not be chosen, for
	// example those of earlier attempts.
	Excluded []string
	// CachedAt is the runner that last served the conversation of a model request, if the
	// caller knows it. It covers requests through any front, while the balancer itself only
	// knows those of its own front.
	CachedAt CacheLocation
}

// CacheLocation is a runner that has processed the beginning of a prompt.
type CacheLocation struct {
	Runner string // as returned by Lease.Incarnation; empty if not known
	Tokens int    // leading tokens of the prompt that it has processed
}

// State is the complete input of the selection apart from the balancer's own measurements.
// Each Update replaces it; the balancer never modifies it.
type State struct {
	View    *feed.View
	Routing *config.Routing
	// FrontCount is the number of live fronts that share the runners, including this one.
	FrontCount int
	// FrontName is the name of this front and FrontNames those of all live fronts. Both
	// are optional. With them the fronts agree exactly on which of them may send to a
	// runner in slow start; without them each front decides by its seed, and fewer may send.
	FrontName  string
	FrontNames []string
}

// Outcome is how an attempt ended, as far as it concerns the runner.
type Outcome int

// The outcomes of an attempt.
const (
	// NotSent: no byte of the request was sent.
	NotSent Outcome = iota
	// Answered: the runner completed the work.
	Answered
	// Rejected: the runner refused to run the request because it is full or draining.
	Rejected
	// Failed: the runner responded with an error of its own.
	Failed
	// Lost: the connection was refused or broken, or the response was malformed.
	Lost
	// Misdirected: another runner now has the address (HTTP status 421).
	Misdirected
	// Cancelled: this front or the client gave up. It counts against the runner only if
	// there was no event for much longer than expected.
	Cancelled
)
