// Command modelcheck explores the states of raft.Core, exhaustively from the initial
// states of its scenarios and then by random walks, and checks the invariants after every step. It
// prints a report as JSON, with the shortest trace found for each violation, and then exits with 1.
package main

import (
	"cmp"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/alexflint/go-arg"

	"yardrock.example/proof/modelcheck"
)

type options struct {
	Explore  time.Duration `arg:"--explore" default:"6m" help:"total time of the exhaustive searches, shared by the scenarios"`
	Walk     time.Duration `arg:"--walk" default:"4m" help:"total time of the random walks"`
	Depth    int           `arg:"--depth" default:"40" help:"maximum depth of the searches"`
	States   int           `arg:"--states" default:"4000000" help:"maximum number of states that a search keeps in memory"`
	Walks    int           `arg:"--walks" default:"1000000" help:"maximum number of random walks"`
	Steps    int           `arg:"--steps" default:"400" help:"number of actions of a walk"`
	Seed     uint64        `arg:"--seed" default:"1" help:"seed of the first walk"`
	Workers  int           `arg:"--workers" default:"2"`
	Scenario string        `arg:"--scenario" help:"check only the scenario of this name"`
	Commit   string        `arg:"--commit" help:"revision for the report [default: from the build info]"`
}

// Exit codes.
const (
	exitViolation = 1 // an invariant was violated
	exitUsage     = 2 // unknown scenario, or the report could not be written
)

func main() {
	var opts options
	arg.MustParse(&opts)
	report, err := run(opts)
	if err == nil {
		err = report.Write(os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	violations := report.Violations()
	for _, violation := range violations {
		fmt.Fprintf(os.Stderr, "invariant violated: %s: %s\n", violation.Invariant, violation.Detail)
	}
	if len(violations) > 0 {
		os.Exit(exitViolation)
	}
}

func run(opts options) (modelcheck.Report, error) {
	scenarios, err := selectScenarios(opts.Scenario)
	if err != nil {
		return modelcheck.Report{}, err
	}
	began := time.Now()
	report := modelcheck.Report{Commit: cmp.Or(opts.Commit, revision()), StartTime: began.UTC(), Workers: opts.Workers}
	for position, scenario := range scenarios {
		// Later searches share the time that earlier ones left unused.
		remaining := opts.Explore - time.Since(began)
		budget := modelcheck.Budget{Depth: opts.Depth, States: opts.States, Time: remaining / time.Duration(len(scenarios)-position), Workers: opts.Workers}
		exploration := modelcheck.Explore(scenario, budget)
		fmt.Fprintf(os.Stderr, "%s: depth %d, %d states, %.0f s\n", scenario.Name, exploration.Depth, exploration.States, exploration.Seconds)
		report.Explorations = append(report.Explorations, exploration)
	}
	report.Walks = modelcheck.Walk(modelcheck.WalkOptions{FirstSeed: opts.Seed, Count: opts.Walks, Steps: opts.Steps, Time: opts.Walk, Workers: opts.Workers})
	report.Seconds = time.Since(began).Seconds()
	return report, nil
}

func selectScenarios(name string) ([]modelcheck.Scenario, error) {
	all := modelcheck.Scenarios()
	if name == "" {
		return all, nil
	}
	names := []string{}
	for _, scenario := range all {
		if scenario.Name == name {
			return []modelcheck.Scenario{scenario}, nil
		}
		names = append(names, scenario.Name)
	}
	return nil, fmt.Errorf("unknown scenario %q: use one of %q", name, names)
}

// revision returns the commit that the program was built from, according to the build info.
func revision() string {
	build, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	commit, modified := "unknown", ""
	for _, setting := range build.Settings {
		switch {
		case setting.Key == "vcs.revision":
			commit = setting.Value
		case setting.Key == "vcs.modified" && setting.Value == "true":
			modified = " with changes"
		}
	}
	return commit + modified
}
