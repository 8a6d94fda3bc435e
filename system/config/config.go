// Package config reads and checks the operators' configuration, written in CUE.
package config

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	_ "embed"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	"cuelang.org/go/cue/errors"

	"yardrock.example/system/apierror"
)

//go:embed schema.cue
var schemaSource string

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

// Principal is a team or an operator, known by the hashes of its tokens.
type Principal struct {
	TokenHashes []string `json:"token_hashes"`
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

// Compile checks CUE source and gives the config and its compiled form. What is
// wrong is told with its path and the remedy.
//
//	made, compiled, err := config.Compile(source)
func Compile(source string) (*Config, []byte, error) {
	context := cuecontext.New()
	definition := context.CompileString(schemaSource, cue.Filename("schema.cue")).LookupPath(cue.ParsePath("#Config"))
	value := context.CompileString(source, cue.Filename("config.cue"))
	if err := value.Err(); err != nil {
		return nil, nil, invalidConfig(err)
	}
	unified := definition.Unify(value)
	if err := unified.Validate(cue.Concrete(true), cue.Final()); err != nil {
		return nil, nil, invalidConfig(err)
	}
	compiled, err := unified.MarshalJSON()
	if err != nil {
		return nil, nil, invalidConfig(err)
	}
	config, err := Decode(compiled)
	if err != nil {
		return nil, nil, err
	}
	return config, compiled, config.checkReferences()
}

func invalidConfig(err error) error {
	problems := []string{}
	for _, problem := range errors.Errors(err) {
		path := strings.Join(problem.Path(), ".")
		format, arguments := problem.Msg()
		location := ""
		if position := problem.Position(); position.IsValid() {
			location = fmt.Sprintf(" (line %d, column %d)", position.Line(), position.Column())
		}
		problems = append(problems, path+": "+fmt.Sprintf(format, arguments...)+location)
	}
	return apierror.New(apierror.Invalid, "the config is invalid: "+strings.Join(problems, "; "), "correct the named fields; nothing was changed")
}

// Decode reads a compiled config.
//
//	made, err := config.Decode(view.Compiled)
func Decode(compiled []byte) (*Config, error) {
	config := &Config{}
	if len(compiled) == 0 {
		return config, nil
	}
	if err := json.Unmarshal(compiled, config); err != nil {
		return nil, apierror.New(apierror.Invalid, "the compiled config cannot be read: "+err.Error(), "run matching versions of the programs")
	}
	if config.Routing != nil {
		config.Routing.BuildIndex()
	}
	return config, nil
}

// Encode gives a config's compiled form, which Decode reads.
//
//	compiled, err := made.Encode()
func (config *Config) Encode() ([]byte, error) {
	var compiled bytes.Buffer
	encoder := json.NewEncoder(&compiled)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(config); err != nil {
		return nil, apierror.New(apierror.Invalid, "the config cannot be encoded: "+err.Error(), "correct what it names; nothing was changed")
	}
	return bytes.TrimRight(compiled.Bytes(), "\n"), nil
}

// checkReferences finds names that point nowhere.
func (config *Config) checkReferences() error {
	missing := func(path, name, kind string) error {
		return apierror.New(apierror.Invalid, fmt.Sprintf("the config is invalid: %s: no %s is named %q", path, kind, name), "add it, or name one that is there; nothing was changed")
	}
	for _, name := range slices.Sorted(maps.Keys(config.Programs)) {
		if _, found := config.Teams[config.Programs[name].Team]; !found {
			return missing("programs."+name+".team", config.Programs[name].Team, "team")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(config.Kinds)) {
		table, found := config.Tables[config.Kinds[name].Table]
		if !found {
			return missing("kinds."+name+".table", config.Kinds[name].Table, "table")
		}
		total := 0.0
		for _, weight := range table {
			total += weight
		}
		if total == 0 {
			return apierror.New(apierror.Invalid, "the config is invalid: tables."+config.Kinds[name].Table+": all weights are 0", "give one group a weight above 0; nothing was changed")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(config.Tables)) {
		for _, group := range slices.Sorted(maps.Keys(config.Tables[name])) {
			if _, found := config.Groups[group]; !found {
				return missing("tables."+name+"."+group, group, "group")
			}
		}
	}
	if config.Routing != nil {
		return config.Routing.Check()
	}
	return nil
}

// HashToken is how a token is kept.
//
//	stored := config.HashToken("team-secret")
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// PrincipalByToken finds whose token it is.
//
//	team, found := config.PrincipalByToken(made.Teams, token)
func PrincipalByToken(principals map[string]Principal, token string) (string, bool) {
	hashed := []byte(HashToken(token))
	owner, found := "", false
	for name, principal := range principals {
		for _, known := range principal.TokenHashes {
			if subtle.ConstantTimeCompare(hashed, []byte(known)) == 1 {
				owner, found = name, true
			}
		}
	}
	return owner, found
}
