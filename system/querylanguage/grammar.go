package querylanguage

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Statement is one query or command. Exactly one of the first seven fields is not nil.
type Statement struct {
	Show    *Show    `parser:"(  'show' @@"`
	Set     *Set     `parser:" | 'set' @@"`
	Empty   *Empty   `parser:" | 'empty' 'domain' @@"`
	Refill  *Name    `parser:" | 'refill' 'domain' @@"`
	Enrol   *Name    `parser:" | 'enrol' 'store' @@"`
	Retire  *Name    `parser:" | 'retire' 'store' @@"`
	Restore *Restore `parser:" | 'restore' 'config' @@ )"`
	// Expect is the number of the config that a command is meant for; nil: any.
	Expect *uint64 `parser:"( 'expect' @Number )?"`
	// DryRun asks what a command would do.
	DryRun bool `parser:"@( 'dry' 'run' )?"`
}

// Name is the name of the domain or store that a command is about.
type Name struct {
	Name string `parser:"@(Word|Number)"`
}

// Empty drains a domain; Force does so even if it is the last one that serves.
type Empty struct {
	Name  string `parser:"@(Word|Number)"`
	Force bool   `parser:"@'force'?"`
}

// Restore makes the config with an earlier number the current one, under a new number.
type Restore struct {
	Number uint64 `parser:"@Number"`
}

// Set changes one value of the config. Exactly one of the first three fields is not nil.
type Set struct {
	Weight *Pair  `parser:"(  'weight' @@"`
	Quota  *Pair  `parser:" | 'allowance' @@"`
	Limit  *Pair  `parser:" | 'limit' @@ )"`
	Value  string `parser:"@(Number|Word)"`
}

// Pair is a name, or two names joined by a dot.
type Pair struct {
	First  string `parser:"@Word"`
	Second string `parser:"( '.' @Word )?"`
}

// Show is a query for the rows of a table.
type Show struct {
	What  string       `parser:"@Word"`
	Where []*Condition `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	Order *Order       `parser:"( 'order' 'by' @@ )?"`
	Limit *uint64      `parser:"( 'limit' @Number )?"`
}

// Condition selects the rows whose field compares to a value in some way.
type Condition struct {
	Field    string `parser:"@Word"`
	Operator string `parser:"@( '=' | '!' '=' | '<' | '>' | '~' )"`
	Value    string `parser:"@(Word|Number|Text)"`
}

// Order sorts rows by a field, ascending by default.
type Order struct {
	Field      string `parser:"@Word"`
	Descending bool   `parser:"@'desc'?"`
}

// tokenRules are the tokens of the language. White space separates them and is dropped.
// MustSimple panics only if a pattern is malformed, which any test of the package would
// show.
var tokenRules = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Text", Pattern: `"[^"]*"`},
	{Name: "Number", Pattern: `[0-9]+(\.[0-9]+)?(ms|s|m|h)?\b`},
	{Name: "Word", Pattern: `[a-zA-Z_][a-zA-Z0-9_:-]*`},
	{Name: "Sign", Pattern: `[.=!<>~]`},
	{Name: "space", Pattern: `\s+`},
})

// parser is built from the struct tags of the grammar. MustBuild panics only if they are
// malformed, which any test of the package would show.
var parser = participle.MustBuild[Statement](participle.Lexer(tokenRules), participle.Unquote("Text"), participle.UseLookahead(4))

// Tables are the names of the tables that can be shown. Package controlplane has the function of
// each; a test there ties the two together.
var Tables = []string{"changes", "config", "controls", "demand", "domains", "assignments", "groups", "nodes", "openings", "programs", "routes", "runners", "services", "stores", "tallies", "weights"}
