// Package config defines the Go types of the operators' configuration, and decodes, validates and
// changes it.
//
// Operators write CUE source, which package configsource compiles to JSON. The feed stores both;
// nodes read only the compiled form. The routing rules exist both in the CUE schema and in Go,
// because routing can also be patched, each patch validates hundreds of items, and CUE is too slow
// for that on a small machine. A test gives both implementations the same invalid routings.
//
// Guarantees:
//   - Errors are of kind apierror.Invalid, and name the field and a remedy.
//   - A Config is immutable; changes return a new one. The exception is InheritRouting, which
//     completes a config before it is shared.
//   - The keys of the compiled form are the same in every version. Where a Go name differs, the
//     json tag holds the key. Defaults are in the schema.
package config

import (
	"time"
)

// Duration is a time.Duration that is encoded as text in Go's format, like "1m30s".
type Duration time.Duration

// UnmarshalText parses a duration in Go's format. On an error the duration is 0.
//
//	err := duration.UnmarshalText([]byte("20s"))
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*duration = Duration(parsed)
	return err
}

// MarshalText formats the duration in Go's format.
//
//	text, err := duration.MarshalText()
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(duration).String()), nil
}

// Program is an agent program run by a team.
type Program struct {
	// Team is the name of the owning team.
	Team string `json:"team"`
	// Quota is the maximum number of words that the program may use per Period; above 0.
	Quota uint64 `json:"allowance"`
	// TurnLimit is the maximum number of words of one answer, 1 to 100000; a longer answer is
	// truncated.
	TurnLimit uint64 `json:"turn_limit"`
	// Period names the period that Quota applies to. Changing it resets the quota usage; the
	// default is "first".
	Period string `json:"period"`
	// Retention is how long sessions are kept after their last event; the default is 24 h.
	Retention Duration `json:"keep"`
}

// RunnerGroup configures the capacity of each runner of a group.
type RunnerGroup struct {
	// Concurrency is the maximum number of concurrent requests of a runner; the default is 8.
	Concurrency int `json:"concurrency"`
	// WarmUpConcurrency replaces Concurrency while the runner warms up; the default is 1.
	WarmUpConcurrency int `json:"cold_concurrency"`
	// WarmUp is how long a runner warms up after its start; the default is 10 s.
	WarmUp Duration `json:"ramp"`
}

// The values of WorkKind.Serves.
const (
	ServesTurn  = "turn"  // turns of conversations
	ServesPlain = "plain" // single requests to a runner
)

// WorkKind is a kind of work that clients request by name.
type WorkKind struct {
	// Serves is ServesTurn or ServesPlain.
	Serves string `json:"serves"`
	// WeightTable is the name of the weight table that distributes the work over runner groups.
	WeightTable string `json:"table"`
	// Repeatable work may be executed more than once; the default is true. Other work needs a
	// request key, and is recorded.
	Repeatable bool `json:"repeatable"`
	// Urgency is "urgent", "normal" or "bulk"; the default is "normal".
	Urgency string `json:"urgency"`
	// Timeout is how long a client waits for the answer; the default is 20 s.
	Timeout Duration `json:"patience"`
	// Path is the URL path of requests to runners; the default is "/".
	Path string `json:"path"`
}

// Limits bound the requests that one front accepts.
type Limits struct {
	// BodyBytes is the maximum size of a request body, 1 KiB to 16 MiB; the default is 1 MiB.
	BodyBytes int64 `json:"body_bytes"`
	// Queue is the maximum number of queued requests of each urgency, up to 100000; the default
	// is 200.
	Queue int `json:"queue"`
	// QueueTimeout is how long a request may be queued; the default is 2 s.
	QueueTimeout Duration `json:"queue_patience"`
}

// Platform configures the source of the runner list.
type Platform struct {
	// RunnerList is the http URL of the list; the default, "", means none.
	RunnerList string `json:"runner_list"`
	// Poll is the polling interval; the default is 1 s.
	Poll Duration `json:"poll"`
}

// Config is a compiled configuration. The maps are keyed by name; a weight table maps the names of
// runner groups to weights.
type Config struct {
	Operators    map[string]Principal          `json:"operators"`
	Teams        map[string]Principal          `json:"teams"`
	Programs     map[string]Program            `json:"programs"`
	RunnerGroups map[string]RunnerGroup        `json:"groups"`
	WeightTables map[string]map[string]float64 `json:"tables"`
	WorkKinds    map[string]WorkKind           `json:"kinds"`
	Limits       Limits                        `json:"limits"`
	Platform     Platform                      `json:"platform"`
	// Routing is the routing of requests that are forwarded unchanged; nil if none are.
	Routing        *Routing       `json:"routing,omitempty"`
	SharedPrefixes SharedPrefixes `json:"openings,omitzero"`
}

// SharedPrefixes configures whether a prefix that conversations of one route have in common is
// stored once for all of them.
type SharedPrefixes struct {
	Enabled bool `json:"share"`
}
