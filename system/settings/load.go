package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alexflint/go-arg"

	"yardrock.example/system/placement"
)

// LoadDataPlane reads the settings of yardrock-data-plane.
//
//	loaded, err := settings.LoadDataPlane(os.Args[1:], os.Stdout)
func LoadDataPlane(arguments []string, output io.Writer) (*DataPlane, error) {
	loaded := &DataPlane{}
	return loaded, load(loaded, "yardrock-data-plane", arguments, output)
}

// LoadControlPlane reads the settings of yardrock-control-plane.
//
//	loaded, err := settings.LoadControlPlane(os.Args[1:], os.Stdout)
func LoadControlPlane(arguments []string, output io.Writer) (*ControlPlane, error) {
	loaded := &ControlPlane{FoundingStores: 3, Groups: 32, ReplicationFactor: placement.DefaultReplicas, MaxControls: 5}
	return loaded, load(loaded, "yardrock-control-plane", arguments, output)
}

// ErrHelpShown tells that help or version was asked for and shown.
var ErrHelpShown = errors.New("shown")

// load reads flags to find the file, then the file, then the flags again over it.
func load(target loadable, program string, arguments []string, output io.Writer) error {
	parser, err := arg.NewParser(arg.Config{Program: program, IgnoreDefault: true}, target)
	if err != nil {
		return err
	}
	switch err := parser.Parse(arguments); {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(output)
		return ErrHelpShown
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(output, target.(interface{ Version() string }).Version())
		return ErrHelpShown
	case err != nil:
		return invalid("flags", err.Error(), "see --help")
	}
	if file := target.common().File; file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return invalid("settings", err.Error(), "name a file that can be read")
		}
		decoder := json.NewDecoder(strings.NewReader(string(data)))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(target); err != nil {
			return invalid("settings", file+": "+err.Error(), "correct the named key; --help lists the keys")
		}
		if err := parser.Parse(arguments); err != nil {
			return invalid("flags", err.Error(), "see --help")
		}
	}
	return target.validate()
}
