// Package config reads and checks the operators' configuration, written in CUE.
package config

import (
	"time"
)

// Duration is a time.Duration written as Go duration text.
type Duration time.Duration

// UnmarshalText reads Go duration text.
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
	Team      string   `json:"team"`
	Quota     uint64   `json:"allowance"`
	TurnLimit uint64   `json:"turn_limit"`
	Period    string   `json:"period"`
	Retention Duration `json:"keep"`
}

// Group is what the runners of one group bear.
type Group struct {
	Concurrency       int      `json:"concurrency"`
	WarmUpConcurrency int      `json:"cold_concurrency"`
	SlowStart         Duration `json:"ramp"`
}

// WorkKind is one kind of work.
type WorkKind struct {
	Serves     string   `json:"serves"`
	Table      string   `json:"table"`
	Repeatable bool     `json:"repeatable"`
	Urgency    string   `json:"urgency"`
	Timeout    Duration `json:"patience"`
	Path       string   `json:"path"`
}

// Limits bound what one front takes.
type Limits struct {
	BodyBytes    int64    `json:"body_bytes"`
	Queue        int      `json:"queue"`
	QueueTimeout Duration `json:"queue_patience"`
}

// Platform says where the list of runners comes from.
type Platform struct {
	RunnerList string   `json:"runner_list"`
	Poll       Duration `json:"poll"`
}

// Config is a checked configuration. It is never changed once made.
type Config struct {
	Operators map[string]Principal          `json:"operators"`
	Teams     map[string]Principal          `json:"teams"`
	Programs  map[string]Program            `json:"programs"`
	Groups    map[string]Group              `json:"groups"`
	Tables    map[string]map[string]float64 `json:"tables"`
	Kinds     map[string]WorkKind           `json:"kinds"`
	Limits    Limits                        `json:"limits"`
	Platform  Platform                      `json:"platform"`
	// Routing is how queries are forwarded unchanged; nil if nothing is.
	Routing        *Routing       `json:"routing,omitempty"`
	SharedPrefixes SharedPrefixes `json:"openings,omitzero"`
}

// SharedPrefixes tells whether the beginnings that conversations of one route have in common are
// kept once for many.
type SharedPrefixes struct {
	Enabled bool `json:"share"`
}
