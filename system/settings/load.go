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

// LoadDataPlane loads the settings of yardrock-data-plane from the command-line arguments,
// without the program's name, and from the file that they name. Help and version are
// written to output. On an error, which is ErrHelpShown or wraps an *apierror.Error of kind
// BadSettings, the settings are incomplete.
//
//	loaded, err := settings.LoadDataPlane(os.Args[1:], os.Stdout)
func LoadDataPlane(arguments []string, output io.Writer) (*DataPlane, error) {
	loaded := &DataPlane{}
	return loaded, load(loaded, "yardrock-data-plane", arguments, output)
}

// The defaults of a control node's settings; the help texts repeat them.
const (
	defaultFoundingStores = 3
	defaultGroups         = 32
	defaultMaxControls    = 5
)

// LoadControlPlane loads the settings of yardrock-control-plane as LoadDataPlane does, and
// applies the defaults that the help texts name.
//
//	loaded, err := settings.LoadControlPlane(os.Args[1:], os.Stdout)
func LoadControlPlane(arguments []string, output io.Writer) (*ControlPlane, error) {
	loaded := &ControlPlane{FoundingStores: defaultFoundingStores, Groups: defaultGroups, ReplicationFactor: placement.DefaultReplicas, MaxControls: defaultMaxControls}
	return loaded, load(loaded, "yardrock-control-plane", arguments, output)
}

// ErrHelpShown is returned after the requested help or version was written.
var ErrHelpShown = errors.New("help or version was shown")

// load parses the flags to find the settings file, then the file, and then the flags again
// so that they override it. Without a file, the flags are parsed once.
func load(target daemonSettings, program string, arguments []string, output io.Writer) error {
	parser, err := arg.NewParser(arg.Config{Program: program, IgnoreDefault: true}, target)
	if err != nil {
		return err
	}
	switch err := parser.Parse(arguments); {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(output)
		return ErrHelpShown
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(output, target.Version())
		return ErrHelpShown
	case err != nil:
		return unreadable(err, "flags", err.Error(), "see --help")
	}
	if file := target.common().File; file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return unreadable(err, "settings", err.Error(), "name a readable file")
		}
		decoder := json.NewDecoder(strings.NewReader(string(data)))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(target); err != nil {
			return unreadable(err, "settings", file+": "+err.Error(), "correct the named key; --help lists the keys")
		}
		if err := parser.Parse(arguments); err != nil {
			return unreadable(err, "flags", err.Error(), "see --help")
		}
	}
	return target.validate()
}
