// Package configsource compiles a config from the CUE source that operators write. It validates
// the source against schema.cue and returns a config.Config and its compiled form.
//
// It is separate from package config so that the data plane, which reads only the compiled form,
// does not link the CUE library.
package configsource

import (
	_ "embed"
	"fmt"
	"strings"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	"cuelang.org/go/cue/errors"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
)

//go:embed schema.cue
var schemaSource string

// Compile validates CUE source and returns the config and its compiled form. The error names
// every field that the schema rejects, with its position, or the first unresolved reference.
//
//	decoded, compiled, err := configsource.Compile(source)
func Compile(source string) (*config.Config, []byte, error) {
	cueContext := cuecontext.New()
	definition := cueContext.CompileString(schemaSource, cue.Filename("schema.cue")).LookupPath(cue.ParsePath("#Config"))
	value := cueContext.CompileString(source, cue.Filename("config.cue"))
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
	decoded, err := config.Decode(compiled)
	if err != nil {
		return nil, nil, err
	}
	return decoded, compiled, decoded.CheckReferences()
}

// invalidConfig converts errors of the CUE library to one apierror.Invalid.
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
