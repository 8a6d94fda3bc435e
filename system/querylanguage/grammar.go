package querylanguage

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Statement is one query or command. Exactly one of its parts is filled.
type Statement struct {
	Show    *Show    `parser:"(  'show' @@"`
	Set     *Set     `parser:" | 'set' @@"`
	Empty   *Empty   `parser:" | 'empty' 'domain' @@"`
	Refill  *Name    `parser:" | 'refill' 'domain' @@"`
	Enrol   *Name    `parser:" | 'enrol' 'store' @@"`
	Retire  *Name    `parser:" | 'retire' 'store' @@"`
	Restore *Restore `parser:" | 'restore' 'config' @@ )"`
	Expect  *uint64  `parser:"( 'expect' @Number )?"`
	DryRun  bool     `parser:"@( 'dry' 'run' )?"`
}

// Name is what a command is about.
type Name struct {
	Name string `parser:"@(Word|Number)"`
}

// Empty empties a domain; Force does so even to the last one that serves.
type Empty struct {
	Name  string `parser:"@(Word|Number)"`
	Force bool   `parser:"@'force'?"`
}

// Restore brings an earlier config back as a new number.
type Restore struct {
	Number uint64 `parser:"@Number"`
}

// Set changes one value of the config.
type Set struct {
	Weight    *Pair  `parser:"(  'weight' @@"`
	Allowance *Pair  `parser:" | 'allowance' @@"`
	Limit     *Pair  `parser:" | 'limit' @@ )"`
	Value     string `parser:"@(Number|Word)"`
}

// Pair is a name, or two joined by a dot.
type Pair struct {
	First  string `parser:"@Word"`
	Second string `parser:"( '.' @Word )?"`
}

// Show asks what is in force.
type Show struct {
	What  string       `parser:"@Word"`
	Where []*Condition `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	Order *Order       `parser:"( 'order' 'by' @@ )?"`
	Limit *uint64      `parser:"( 'limit' @Number )?"`
}

// Condition keeps rows whose field compares so.
type Condition struct {
	Field    string `parser:"@Word"`
	Operator string `parser:"@( '=' | '!' '=' | '<' | '>' | '~' )"`
	Value    string `parser:"@(Word|Number|Text)"`
}

// Order sorts rows by a field.
type Order struct {
	Field      string `parser:"@Word"`
	Descending bool   `parser:"@'desc'?"`
}

var tokenRules = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Text", Pattern: `"[^"]*"`},
	{Name: "Number", Pattern: `[0-9]+(\.[0-9]+)?(ms|s|m|h)?\b`},
	{Name: "Word", Pattern: `[a-zA-Z_][a-zA-Z0-9_:-]*`},
	{Name: "Sign", Pattern: `[.=!<>~]`},
	{Name: "space", Pattern: `\s+`},
})

var parser = participle.MustBuild[Statement](participle.Lexer(tokenRules), participle.Unquote("Text"), participle.UseLookahead(4))

// Tables are what can be shown.
var Tables = []string{"changes", "config", "controls", "demand", "domains", "assignments", "groups", "nodes", "openings", "programs", "routes", "runners", "services", "stores", "tallies", "weights"}
