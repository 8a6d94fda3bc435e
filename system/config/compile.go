package config

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	"cuelang.org/go/cue/errors"

	"yardrock.example/system/apierror"
)

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

//go:embed schema.cue
var schemaSource string
