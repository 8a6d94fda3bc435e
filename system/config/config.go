// Package config reads and checks the operators' configuration, and defines its Go form.
//
// Operators write CUE source, which is checked against schema.cue; its compiled form is JSON.
// The feed stores both, and nodes read the compiled form only. The rules for routing stand
// twice, in the schema and in Go: routing also changes by patches, of which each checks
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

// Program is an agent program that a team runs. Quota is how many words it may put out in one
// Period, TurnLimit how many one answer may have; it is cut there. A new Period text starts
// the quota's usage anew. Retention is how long its sessions are kept after their last event.
type Program struct {
	Team      string   `json:"team"`
	Quota     uint64   `json:"allowance"`
	TurnLimit uint64   `json:"turn_limit"`
	Period    string   `json:"period"`
	Retention Duration `json:"keep"`
}

// Group is the capacity of each runner of a group: how many requests it serves at once, and how
// many of them while it warms up, for SlowStart after its start.
type Group struct {
	Concurrency       int      `json:"concurrency"`
	WarmUpConcurrency int      `json:"cold_concurrency"`
	SlowStart         Duration `json:"ramp"`
}

// WorkKind is a kind of work that callers may ask for by name. Serves is "turn" for turns of
// conversations or "plain" for requests to Path of a runner. Table names the weights by which
// the work is spread over groups. Work that is not Repeatable needs a request key, and is
// recorded. Urgency is "urgent", "normal" or "bulk". Timeout is how long a caller waits.
type WorkKind struct {
	Serves     string   `json:"serves"`
	Table      string   `json:"table"`
	Repeatable bool     `json:"repeatable"`
	Urgency    string   `json:"urgency"`
	Timeout    Duration `json:"patience"`
	Path       string   `json:"path"`
}

// Limits bound what one front accepts: BodyBytes of one request, Queue waiting requests of each
// urgency, for at most QueueTimeout.
type Limits struct {
	BodyBytes    int64    `json:"body_bytes"`
	Queue        int      `json:"queue"`
	QueueTimeout Duration `json:"queue_patience"`
}

// Platform is where the runner list comes from: an http URL, "" for none, read every Poll.
type Platform struct {
	RunnerList string   `json:"runner_list"`
	Poll       Duration `json:"poll"`
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
