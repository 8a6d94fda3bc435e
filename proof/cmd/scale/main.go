// Command scale measures what a fleet costs as one of its sizes grows: a few real
// processes of each role beside hollow nodes. It prints figures and slopes as JSON.
// It ends with 0, with 1 if a figure grows faster than docs/CAPACITY.md says or a step
// failed, and with 2 if it was asked for what it can't measure.
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
	Against  string        `arg:"--against" default:"nodes" help:"what is varied: changes, groups, history, nodes, programs, routes, runners or turns"`
	Steps    string        `arg:"--steps" help:"its sizes, rising, joined by commas [default: the usual ones]"`
	Nodes    int           `arg:"--nodes" help:"hollow nodes, while something else is varied [default: 50, or 3 beside what stores bear]"`
	Runners  int           `arg:"--runners" help:"runners on the platform's list [default: 600, or 30]"`
	Routes   int           `arg:"--routes" help:"routes of the config [default: 100, or 10]"`
	Changes  int           `arg:"--changes" help:"changes in the burst [default: 20]"`
	Groups   int           `arg:"--groups" help:"groups of lines [default: 32]"`
	Turns    int           `arg:"--turns" help:"turns begun and ended a second [default: 20]"`
	Programs int           `arg:"--programs" help:"programs under way [default: 40]"`
	History  int           `arg:"--history" help:"KiB of history of each program [default: 4]"`
	Quiet    time.Duration `arg:"--quiet" default:"8s" help:"how long usage is measured while nothing changes"`
	Pace     time.Duration `arg:"--pace" default:"20ms" help:"how long after the one before it a hollow node starts"`
	Timeout  time.Duration `arg:"--patience" default:"90s" help:"how long one step may take"`
	Binaries string        `arg:"--binaries" help:"folder of the programs [default: beside this one]"`
	Label    string        `arg:"--label" help:"what the run was of, such as a commit"`
	Plot     string        `arg:"--plot" help:"file for the plot (SVG)"`
}

type report struct {
	Label    string              `json:"label,omitempty"`
	Against  string              `json:"against"`
	Began    time.Time           `json:"began"`
	Cores    int                 `json:"cores_of_the_machine"`
	Measured []scale.Measurement `json:"measured"`
	Slopes   []scale.Slope       `json:"slopes"`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(arguments []string, output, complaints io.Writer) int {
	var chosen options
	parser, err := arg.NewParser(arg.Config{Program: "scale"}, &chosen)
	if err != nil {
		return fail(err, complaints)
	}
	switch err := parser.Parse(arguments); {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(output)
		return 0
	case err != nil:
		return fail(&scale.StepError{Message: err.Error(), Remedy: "see --help"}, complaints)
	}
	log.SetHandler(discard.New())
	return fail(measure(chosen, output), complaints)
}

func fail(err error, complaints io.Writer) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(complaints, err)
	var refusal *scale.StepError
	if errors.As(err, &refusal) {
		return 2
	}
	return 1
}

// defaultStep is the step that the options choose beside the size that is varied.
func (chosen options) defaultStep() scale.Step {
	step := scale.DefaultStep(chosen.Against)
	for size, given := range map[*int]int{&step.Nodes: chosen.Nodes, &step.Runners: chosen.Runners, &step.Routes: chosen.Routes, &step.Changes: chosen.Changes, &step.Groups: chosen.Groups, &step.Turns: chosen.Turns, &step.Programs: chosen.Programs, &step.History: chosen.History} {
		if given != 0 {
			*size = given
		}
	}
	return step
}

func measure(chosen options, output io.Writer) error {
	steps, err := scale.Steps(chosen.defaultStep(), chosen.Against, chosen.Steps)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if chosen.Binaries == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		chosen.Binaries = filepath.Dir(self)
	}
	folder, err := os.MkdirTemp("", "yardrock-scale-")
	if err != nil {
		return err
	}
	// It removes only an empty folder: the logs of a failed step stay.
	defer func() { _ = os.Remove(folder) }()
	reported := report{Label: chosen.Label, Against: chosen.Against, Began: time.Now().UTC(), Cores: runtime.NumCPU()}
	for _, step := range steps {
		limited, cancel := context.WithTimeout(ctx, chosen.Timeout)
		measured, failed := scale.Run(limited, scale.Settings{Programs: chosen.Binaries, Folder: folder, IdlePeriod: chosen.Quiet, StartInterval: chosen.Pace, Real: scale.RealProcesses, LoadsStores: scale.LoadsStores(chosen.Against)}, step)
		cancel()
		if failed != nil {
			measured.Failed = failed.Error()
		}
		if len(measured.Figures) > 0 {
			reported.Measured = append(reported.Measured, measured)
		}
		if failed != nil {
			err = failed
			break
		}
	}
	slopes, failed := scale.Slopes(chosen.Against, reported.Measured)
	reported.Slopes = slopes
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", "  ")
	err = errors.Join(err, failed, encoder.Encode(reported))
	if chosen.Plot != "" && len(reported.Measured) > 0 {
		err = errors.Join(err, draw(chosen, reported))
	}
	for _, slope := range slopes {
		if slope.Worse {
			err = errors.Join(err, fmt.Errorf("%s grows with %s to the power %.2f over %d to %d, and the page says %s; mend it, or the page", slope.Figure, slope.Per, slope.Exponent, slope.From, slope.To, slope.Claim))
		}
	}
	return err
}

func draw(chosen options, measured report) error {
	file, err := os.Create(chosen.Plot)
	if err != nil {
		return err
	}
	return errors.Join(scale.Draw(file, chosen.Against, measured.Measured), file.Close())
}
