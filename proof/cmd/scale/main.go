// Command scale measures how the resource usage and latency of a fleet grow with one of its
// dimensions, with a few real processes of each role and many hollow nodes. It prints figures and
// slopes as JSON. It exits with 0 on success, with 1 if a step failed or a figure grows faster than
// docs/CAPACITY.md claims, and with 2 if a step or an option is invalid.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"yardrock.example/proof/scale"
)

type options struct {
	Dimension     string        `arg:"--against" default:"nodes" help:"dimension to vary: changes, groups, history, nodes, programs, routes, runners or turns"`
	Steps         string        `arg:"--steps" help:"sizes to measure, ascending and separated by commas [default: depends on the dimension]"`
	Nodes         int           `arg:"--nodes" help:"hollow nodes, unless varied [default: 50, or 3 when loading stores]"`
	Runners       int           `arg:"--runners" help:"runners on the platform's list [default: 600, or 30 when loading stores]"`
	Routes        int           `arg:"--routes" help:"routes of the config [default: 100, or 10 when loading stores]"`
	Changes       int           `arg:"--changes" help:"changes in one burst [default: 20]"`
	Groups        int           `arg:"--groups" help:"replication groups of sessions [default: 32]"`
	Turns         int           `arg:"--turns" help:"turns per second [default: 20]"`
	Programs      int           `arg:"--programs" help:"number of programs [default: 40]"`
	History       int           `arg:"--history" help:"history of each program in KiB [default: 4]"`
	IdlePeriod    time.Duration `arg:"--quiet" default:"8s" help:"duration of the idle measurement, and of the turn load"`
	StartInterval time.Duration `arg:"--pace" default:"20ms" help:"time between the starts of hollow nodes"`
	Timeout       time.Duration `arg:"--patience" default:"90s" help:"timeout of one step"`
	Binaries      string        `arg:"--binaries" help:"directory of the binaries [default: that of this one]"`
	Label         string        `arg:"--label" help:"label of the report, such as a commit"`
	Plot          string        `arg:"--plot" help:"write an SVG plot to this file"`
}

type report struct {
	Label     string              `json:"label,omitempty"`
	Dimension string              `json:"against"`
	Began     time.Time           `json:"began"`
	Cores     int                 `json:"cores_of_the_machine"`
	Measured  []scale.Measurement `json:"measured"`
	Slopes    []scale.Slope       `json:"slopes"`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	var opts options
	parser, err := arg.NewParser(arg.Config{Program: "scale"}, &opts)
	if err != nil {
		return exitCode(err, stderr)
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(stdout)
		return 0
	case err != nil:
		return exitCode(&scale.StepError{Message: err.Error(), Remedy: "see --help"}, stderr)
	}
	log.SetHandler(discard.New())
	return exitCode(measure(opts, stdout), stderr)
}

func exitCode(err error, stderr io.Writer) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(stderr, err)
	var stepErr *scale.StepError
	if errors.As(err, &stepErr) {
		return 2
	}
	return 1
}

// defaultStep returns the default step of the dimension with the sizes that were set as options.
func (opts options) defaultStep() scale.Step {
	step := scale.DefaultStep(opts.Dimension)
	for size, value := range map[*int]int{&step.Nodes: opts.Nodes, &step.Runners: opts.Runners, &step.Routes: opts.Routes, &step.Changes: opts.Changes, &step.Groups: opts.Groups, &step.Turns: opts.Turns, &step.Programs: opts.Programs, &step.History: opts.History} {
		if value != 0 {
			*size = value
		}
	}
	return step
}

func measure(opts options, stdout io.Writer) error {
	steps, err := scale.Steps(opts.defaultStep(), opts.Dimension, opts.Steps)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if opts.Binaries == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		opts.Binaries = filepath.Dir(self)
	}
	folder, err := os.MkdirTemp("", "yardrock-scale-")
	if err != nil {
		return err
	}
	// Remove fails on a non-empty directory, which keeps the logs of a failed step.
	defer func() { _ = os.Remove(folder) }()
	result := report{Label: opts.Label, Dimension: opts.Dimension, Began: time.Now().UTC(), Cores: runtime.NumCPU()}
	for _, step := range steps {
		stepCtx, cancel := context.WithTimeout(ctx, opts.Timeout)
		measurement, stepErr := scale.Run(stepCtx, scale.Settings{Binaries: opts.Binaries, Folder: folder, IdlePeriod: opts.IdlePeriod, StartInterval: opts.StartInterval, Deployment: scale.RealProcesses, LoadsStores: scale.LoadsStores(opts.Dimension)}, step)
		cancel()
		if stepErr != nil {
			measurement.Failed = stepErr.Error()
		}
		if len(measurement.Figures) > 0 {
			result.Measured = append(result.Measured, measurement)
		}
		if stepErr != nil {
			err = stepErr
			break
		}
	}
	slopes, slopesErr := scale.Slopes(opts.Dimension, result.Measured)
	result.Slopes = slopes
	encoder := json.NewEncoder(stdout)
	encoder.SetIndent("", "  ")
	err = errors.Join(err, slopesErr, encoder.Encode(result))
	if opts.Plot != "" && len(result.Measured) > 0 {
		err = errors.Join(err, writePlot(opts, result))
	}
	for _, slope := range slopes {
		if slope.ExceedsClaim {
			err = errors.Join(err, fmt.Errorf("%s grows with %s to the power of %.2f from %d to %d, but docs/CAPACITY.md claims %s; fix the regression or update the page", slope.Figure, slope.Dimension, slope.Exponent, slope.From, slope.To, slope.Claim))
		}
	}
	return err
}

func writePlot(opts options, result report) error {
	file, err := os.Create(opts.Plot)
	if err != nil {
		return err
	}
	return errors.Join(scale.Draw(file, opts.Dimension, result.Measured), file.Close())
}
