package querylanguage

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Statement is one query or command. Exactly one of the first seven fields is non-nil. Refill ends
// the draining of a domain, Enrol adds a store to the store list, Retire decommissions a store.
type Statement struct {
	Show    *Show    `parser:"(  'show' @@"`
	Set     *Set     `parser:" | 'set' @@"`
	Empty   *Empty   `parser:" | 'empty' 'domain' @@"`
	Refill  *Name    `parser:" | 'refill' 'domain' @@"`
	Enrol   *Name    `parser:" | 'enrol' 'store' @@"`
	Retire  *Name    `parser:" | 'retire' 'store' @@"`
	Restore *Restore `parser:" | 'restore' 'config' @@ )"`
	// Expect is the config number that a command requires to be current; nil means any.
	Expect *uint64 `parser:"( 'expect' @Number )?"`
	// DryRun requests a description of what a command would do, without executing it.
	DryRun bool `parser:"@( 'dry' 'run' )?"`
}

// Name is the name of the domain or store that a command applies to.
type Name struct {
	Name string `parser:"@(Word|Number)"`
}

// Empty drains a domain; Force does so even if it is the last one that is serving.
type Empty struct {
	Name  string `parser:"@(Word|Number)"`
	Force bool   `parser:"@'force'?"`
}

// Restore makes an earlier config the current one again, under a new number.
type Restore struct {
	Number uint64 `parser:"@Number"`
}

// Set changes one value of the config. Exactly one of the first three fields is non-nil.
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

// Show is a query for rows of a table.
type Show struct {
	Table string       `parser:"@Word"`
	Where []*Condition `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	Order *Order       `parser:"( 'order' 'by' @@ )?"`
	Limit *uint64      `parser:"( 'limit' @Number )?"`
}

// Condition selects rows by comparing a column, Field, with a value.
type Condition struct {
	Field    string `parser:"@Word"`
	Operator string `parser:"@( '=' | '!' '=' | '<' | '>' | '~' )"`
	Value    string `parser:"@(Word|Number|Text)"`
}

// Order sorts rows by a column, Field, ascending by default.
type Order struct {
	Field      string `parser:"@Word"`
	Descending bool   `parser:"@'desc'?"`
}

// tokenRules define the tokens of the language. White space separates them and is dropped.
// MustSimple panics only if a pattern is malformed, which any test of the package detects.
var tokenRules = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Text", Pattern: `"[^"]*"`},
	{Name: "Number", Pattern: `[0-9]+(\.[0-9]+)?(ms|s|m|h)?\b`},
	{Name: "Word", Pattern: `[a-zA-Z_][a-zA-Z0-9_:-]*`},
	{Name: "Sign", Pattern: `[.=!<>~]`},
	{Name: "space", Pattern: `\s+`},
})

// parser is built from the struct tags of the grammar. MustBuild panics only if they are
// malformed, which any test of the package detects.
var parser = participle.MustBuild[Statement](participle.Lexer(tokenRules), participle.Unquote("Text"), participle.UseLookahead(4))

// Tables are the names of the tables that a show query accepts. Package controlplane implements
// them; a test there checks that the two agree.
var Tables = []string{"changes", "config", "controls", "demand", "domains", "assignments", "groups", "nodes", "openings", "programs", "routes", "runners", "services", "stores", "tallies", "weights"}
