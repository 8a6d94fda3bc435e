// Command modelcheck walks the states of the agreement core, exhaustively from a number
// of beginnings and then at random, and checks its invariants after every step. It prints
// a report as JSON; a violation comes with the shortest trace that was found, and exit
// code 1.
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
	Explore  time.Duration `arg:"--explore" default:"6m" help:"time for the exhaustive searches, shared by the scenarios"`
	Walk     time.Duration `arg:"--walk" default:"4m" help:"time for the random walks"`
	Depth    int           `arg:"--depth" default:"40" help:"greatest depth of the searches"`
	States   int           `arg:"--states" default:"4000000" help:"most states that one search holds in memory"`
	Walks    int           `arg:"--walks" default:"1000000" help:"most random walks"`
	Steps    int           `arg:"--steps" default:"400" help:"actions of a walk"`
	Seed     uint64        `arg:"--seed" default:"1" help:"seed of the first walk"`
	Workers  int           `arg:"--workers" default:"2"`
	Scenario string        `arg:"--scenario" help:"only the scenario of this name"`
	Commit   string        `arg:"--commit" help:"revision to name in the report [default: as the build notes it]"`
}

// Exit codes.
const (
	exitViolation = 1
	exitMisused   = 2
)

func main() {
	var chosen options
	arg.MustParse(&chosen)
	report, err := run(chosen)
	if err == nil {
		err = report.Write(os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitMisused)
	}
	violations := report.Violations()
	for _, violation := range violations {
		fmt.Fprintf(os.Stderr, "broken: %s: %s\n", violation.Invariant, violation.Detail)
	}
	if len(violations) > 0 {
		os.Exit(exitViolation)
	}
}

func run(chosen options) (modelcheck.Report, error) {
	scenarios, err := chosenScenarios(chosen.Scenario)
	if err != nil {
		return modelcheck.Report{}, err
	}
	began := time.Now()
	report := modelcheck.Report{Commit: cmp.Or(chosen.Commit, revision()), StartTime: began.UTC(), Workers: chosen.Workers}
	for position, scenario := range scenarios {
		// What an earlier search did not use is for the later ones.
		left := chosen.Explore - time.Since(began)
		budget := modelcheck.Budget{Depth: chosen.Depth, States: chosen.States, Time: left / time.Duration(len(scenarios)-position), Workers: chosen.Workers}
		exploration := modelcheck.Explore(scenario, budget)
		fmt.Fprintf(os.Stderr, "%s: depth %d, %d states, %.0f s\n", scenario.Name, exploration.Depth, exploration.States, exploration.Seconds)
		report.Explorations = append(report.Explorations, exploration)
	}
	report.Walks = modelcheck.Walk(modelcheck.WalkOptions{FirstSeed: chosen.Seed, Count: chosen.Walks, Steps: chosen.Steps, Time: chosen.Walk, Workers: chosen.Workers})
	report.Seconds = time.Since(began).Seconds()
	return report, nil
}

func chosenScenarios(name string) ([]modelcheck.Scenario, error) {
	all := modelcheck.Scenarios()
	if name == "" {
		return all, nil
	}
	known := []string{}
	for _, scenario := range all {
		if scenario.Name == name {
			return []modelcheck.Scenario{scenario}, nil
		}
		known = append(known, scenario.Name)
	}
	return nil, fmt.Errorf("no scenario is named %q: choose one of %q", name, known)
}

// revision returns the commit that the program was built from, as the Go command notes it.
func revision() string {
	build, known := debug.ReadBuildInfo()
	if !known {
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
