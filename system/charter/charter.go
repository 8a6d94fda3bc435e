// Package charter reads and checks the operators' configuration, written in CUE.
package charter

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

	"yardrock.example/system/mishap"
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

// Party is a team or an operator, known by the hashes of its tokens.
type Party struct {
	TokenHashes []string `json:"token_hashes"`
}

// Program is an agent program that a team runs.
type Program struct {
	Team      string   `json:"team"`
	Allowance uint64   `json:"allowance"`
	TurnLimit uint64   `json:"turn_limit"`
	Period    string   `json:"period"`
	Keep      Duration `json:"keep"`
}

// Group is what the runners of one group bear.
type Group struct {
	Concurrency     int      `json:"concurrency"`
	ColdConcurrency int      `json:"cold_concurrency"`
	Ramp            Duration `json:"ramp"`
}

// WorkKind is one kind of work.
type WorkKind struct {
	Serves     string   `json:"serves"`
	Table      string   `json:"table"`
	Repeatable bool     `json:"repeatable"`
	Urgency    string   `json:"urgency"`
	Patience   Duration `json:"patience"`
	Path       string   `json:"path"`
}

// Limits bound what one front takes.
type Limits struct {
	BodyBytes     int64    `json:"body_bytes"`
	Queue         int      `json:"queue"`
	QueuePatience Duration `json:"queue_patience"`
}

// Platform says where the list of runners comes from.
type Platform struct {
	RunnerList string   `json:"runner_list"`
	Poll       Duration `json:"poll"`
}

// Charter is a checked configuration. It is never changed once made.
type Charter struct {
	Operators map[string]Party              `json:"operators"`
	Teams     map[string]Party              `json:"teams"`
	Programs  map[string]Program            `json:"programs"`
	Groups    map[string]Group              `json:"groups"`
	Tables    map[string]map[string]float64 `json:"tables"`
	Kinds     map[string]WorkKind           `json:"kinds"`
	Limits    Limits                        `json:"limits"`
	Platform  Platform                      `json:"platform"`
	// Routing is how queries are forwarded unchanged; nil if nothing is.
	Routing  *Routing `json:"routing,omitempty"`
	Openings Openings `json:"openings,omitzero"`
}

// Openings tells whether the beginnings that conversations of one route have in common are
// kept once for many.
type Openings struct {
	Share bool `json:"share"`
}

// Compile checks CUE source and gives the charter and its compiled form. What is
// wrong is told with its path and the remedy.
//
//	made, compiled, err := charter.Compile(source)
func Compile(source string) (*Charter, []byte, error) {
	context := cuecontext.New()
	definition := context.CompileString(schemaSource, cue.Filename("schema.cue")).LookupPath(cue.ParsePath("#Charter"))
	value := context.CompileString(source, cue.Filename("charter.cue"))
	if err := value.Err(); err != nil {
		return nil, nil, invalid(err)
	}
	whole := definition.Unify(value)
	if err := whole.Validate(cue.Concrete(true), cue.Final()); err != nil {
		return nil, nil, invalid(err)
	}
	compiled, err := whole.MarshalJSON()
	if err != nil {
		return nil, nil, invalid(err)
	}
	made, err := Decode(compiled)
	if err != nil {
		return nil, nil, err
	}
	return made, compiled, made.check()
}

func invalid(err error) error {
	told := []string{}
	for _, one := range errors.Errors(err) {
		path := strings.Join(one.Path(), ".")
		format, arguments := one.Msg()
		place := ""
		if position := one.Position(); position.IsValid() {
			place = fmt.Sprintf(" (line %d, column %d)", position.Line(), position.Column())
		}
		told = append(told, path+": "+fmt.Sprintf(format, arguments...)+place)
	}
	return mishap.New(mishap.Invalid, "the charter is invalid: "+strings.Join(told, "; "), "correct the named fields; nothing was changed")
}

// Decode reads a compiled charter.
//
//	made, err := charter.Decode(view.Compiled)
func Decode(compiled []byte) (*Charter, error) {
	made := &Charter{}
	if len(compiled) == 0 {
		return made, nil
	}
	if err := json.Unmarshal(compiled, made); err != nil {
		return nil, mishap.New(mishap.Invalid, "the compiled charter cannot be read: "+err.Error(), "run matching versions of the programs")
	}
	if made.Routing != nil {
		made.Routing.Index()
	}
	return made, nil
}

// Encode gives a charter's compiled form, which Decode reads.
//
//	compiled, err := made.Encode()
func (made *Charter) Encode() ([]byte, error) {
	var compiled bytes.Buffer
	encoder := json.NewEncoder(&compiled)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(made); err != nil {
		return nil, mishap.New(mishap.Invalid, "the charter cannot be encoded: "+err.Error(), "correct what it names; nothing was changed")
	}
	return bytes.TrimRight(compiled.Bytes(), "\n"), nil
}

// check finds names that point nowhere.
func (made *Charter) check() error {
	missing := func(path, name, kind string) error {
		return mishap.New(mishap.Invalid, fmt.Sprintf("the charter is invalid: %s: no %s is named %q", path, kind, name), "add it, or name one that is there; nothing was changed")
	}
	for _, name := range slices.Sorted(maps.Keys(made.Programs)) {
		if _, found := made.Teams[made.Programs[name].Team]; !found {
			return missing("programs."+name+".team", made.Programs[name].Team, "team")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(made.Kinds)) {
		table, found := made.Tables[made.Kinds[name].Table]
		if !found {
			return missing("kinds."+name+".table", made.Kinds[name].Table, "table")
		}
		total := 0.0
		for _, weight := range table {
			total += weight
		}
		if total == 0 {
			return mishap.New(mishap.Invalid, "the charter is invalid: tables."+made.Kinds[name].Table+": all weights are 0", "give one group a weight above 0; nothing was changed")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(made.Tables)) {
		for _, group := range slices.Sorted(maps.Keys(made.Tables[name])) {
			if _, found := made.Groups[group]; !found {
				return missing("tables."+name+"."+group, group, "group")
			}
		}
	}
	if made.Routing != nil {
		return made.Routing.Check()
	}
	return nil
}

// Hash is how a token is kept.
//
//	stored := charter.Hash("team-secret")
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// PartyOf finds whose token it is.
//
//	team, found := charter.PartyOf(made.Teams, token)
func PartyOf(parties map[string]Party, token string) (string, bool) {
	hashed := []byte(Hash(token))
	owner, found := "", false
	for name, party := range parties {
		for _, known := range party.TokenHashes {
			if subtle.ConstantTimeCompare(hashed, []byte(known)) == 1 {
				owner, found = name, true
			}
		}
	}
	return owner, found
}
