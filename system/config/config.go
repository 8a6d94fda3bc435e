// Package config defines the Go form of the operators' configuration, and reads and checks it.
//
// Operators write CUE source, which package configsource compiles; the compiled form is JSON.
// The feed stores both, and nodes read the compiled form only. The rules for routing stand
// twice, in the schema of the source and in Go: routing also changes by patches, of which each checks
// hundreds of items, and CUE is too slow for that on a small machine. A test gives both the
// same faults.
//
// Guarantees:
//   - Errors are of kind apierror.Invalid, and name the field and a remedy.
//   - A Config, once made, is never changed; changes give a new one. The exception is
//     InheritRouting, which completes a config before anyone else has it.
//   - Keys of the compiled form are those of every earlier version. Where a Go name differs, the
//     json tag has the key. Defaults are in the schema.
package config

import (
	"time"
)

// Duration is a time.Duration that is written as Go duration text, like "1m30s".
type Duration time.Duration

// UnmarshalText reads Go duration text. On an error the duration is 0.
//
//	err := duration.UnmarshalText([]byte("20s"))
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*duration = Duration(parsed)
	return err
}

// MarshalText writes Go duration text.
//
//	text, err := duration.MarshalText()
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(duration).String()), nil
}

// Program is an agent program that a team runs.
type Program struct {
	// Team is the name of the team that it belongs to.
	Team string `json:"team"`
	// Quota is how many words it may put out in one Period; above 0.
	Quota uint64 `json:"allowance"`
	// TurnLimit is how many words one answer may have, 1 to 100000; the answer is cut there.
	TurnLimit uint64 `json:"turn_limit"`
	// Period names the time that Quota is for. A new text starts the quota's usage anew; the
	// default is "first".
	Period string `json:"period"`
	// Retention is how long its sessions are kept after their last event; the default is 24 h.
	Retention Duration `json:"keep"`
}

// Group is the capacity of each runner of a group.
type Group struct {
	// Concurrency is how many requests a runner serves at once; the default is 8.
	Concurrency int `json:"concurrency"`
	// WarmUpConcurrency is how many it serves at once while it warms up; the default is 1.
	WarmUpConcurrency int `json:"cold_concurrency"`
	// SlowStart is how long it warms up after its start; the default is 10 s.
	SlowStart Duration `json:"ramp"`
}

// What a WorkKind serves.
const (
	ServesTurn  = "turn"  // turns of conversations
	ServesPlain = "plain" // single requests to a runner
)

// WorkKind is a kind of work that callers may ask for by name.
type WorkKind struct {
	// Serves is ServesTurn or ServesPlain.
	Serves string `json:"serves"`
	// Table names the weights by which the work is spread over groups.
	Table string `json:"table"`
	// Repeatable work may be executed more than once; it is the default. Other work needs a
	// request key, and is recorded.
	Repeatable bool `json:"repeatable"`
	// Urgency is "urgent", "normal" or "bulk"; the default is "normal".
	Urgency string `json:"urgency"`
	// Timeout is how long a caller waits; the default is 20 s.
	Timeout Duration `json:"patience"`
	// Path is the path of the requests to runners; the default is "/".
	Path string `json:"path"`
}

// Limits bound what one front accepts.
type Limits struct {
	// BodyBytes is the size of one request's body, 1 KiB to 16 MiB; the default is 1 MiB.
	BodyBytes int64 `json:"body_bytes"`
	// Queue is how many requests of each urgency may wait, up to 100000; the default is 200.
	Queue int `json:"queue"`
	// QueueTimeout is how long a request may wait; the default is 2 s.
	QueueTimeout Duration `json:"queue_patience"`
}

// Platform is where the runner list comes from.
type Platform struct {
	// RunnerList is an http URL; empty for none, which is the default.
	RunnerList string `json:"runner_list"`
	// Poll is how often the list is read; the default is 1 s.
	Poll Duration `json:"poll"`
}

// Config is a checked configuration. The maps are keyed by name. Tables have the weights of
// groups, Kinds the kinds of work.
type Config struct {
	Operators map[string]Principal          `json:"operators"`
	Teams     map[string]Principal          `json:"teams"`
	Programs  map[string]Program            `json:"programs"`
	Groups    map[string]Group              `json:"groups"`
	Tables    map[string]map[string]float64 `json:"tables"`
	Kinds     map[string]WorkKind           `json:"kinds"`
	Limits    Limits                        `json:"limits"`
	Platform  Platform                      `json:"platform"`
	// Routing is how requests are forwarded unchanged; nil if none are.
	Routing        *Routing       `json:"routing,omitempty"`
	SharedPrefixes SharedPrefixes `json:"openings,omitzero"`
}

// SharedPrefixes is whether a beginning that conversations of one route have in common is stored
// once for all of them.
type SharedPrefixes struct {
	Enabled bool `json:"share"`
}
