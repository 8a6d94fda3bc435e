// Command scenarios generates fault scenarios for the external test bench, runs them there and
// reports which rules were broken.
//
//	scenarios draw --bench PATH --sites A.toml --presets random --seeds 1-20 --out DIR
//	scenarios play --bench PATH --sites A.toml,B.toml --presets cut,race --seeds 1-5 --jobs 4 --out DIR
//	scenarios compare --bench PATH --sites A.toml --days scale-1,scale-2 --seeds 1-5 --variants NAME=PATCH --out DIR
//	scenarios requests --log FILE
//
// A scenario, which the bench calls a day, is a schedule of planned work and faults on one
// deployment (site), with an optional final fault. Its entries are drawn at random from the kinds
// that the bench lists for the site; the same seed generates the same scenario. Scenarios can run
// on modified copies of the sites, with more idle routes, a greater length or more cores.
//
// Draw only generates scenarios and prints the paths of their files. Play also runs them. The exit
// code is 1 if a scenario fails or cannot be run.
//
// Compare runs the same scenarios, generated or named by --days, with the same seeds on the
// checked-out commit and on variants of it, each given by a patch. It writes the paired score
// differences with their confidence intervals as a table (comparison.md) and a plot
// (comparison.svg), and copies the journal entries of all runs to the repository.
//
// Requests reads the output of a bench run whose fronts had --log-requests set. It shows how much
// time requests spent in each stage, and what delayed the programs that missed their deadline.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
)

// errUsage is returned if the command is missing or unknown.
var errUsage = errors.New("usage: scenarios draw|play|compare|requests [options]; see scenarios draw -h")

// commandRequests is the command that analyzes a log; it needs neither bench nor sites.
const commandRequests = "requests"

// errScenarioFailed is returned if a scenario failed; see result.failed.
var errScenarioFailed = errors.New("at least one scenario failed")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "scenarios:", err)
		os.Exit(1)
	}
}

// run executes one command line. Canceling the context kills the bench's processes.
func run(ctx context.Context, arguments []string) error {
	if len(arguments) == 0 {
		return errUsage
	}
	opts, err := parseOptions(arguments[0], arguments[1:])
	if err != nil {
		return err
	}
	runner := benchRunner{bench: opts.bench, repository: opts.repository, reason: opts.reason, jobs: opts.jobs, small: opts.small}
	switch arguments[0] {
	case commandRequests:
		return reportRequests(opts)
	case "draw":
		tasks, err := generateTasks(ctx, runner, opts)
		for _, task := range tasks {
			fmt.Println(task.file)
		}
		return err
	case "play":
		return runTasks(ctx, runner, opts)
	case "compare":
		return compareVariants(ctx, runner, opts)
	default:
		return errUsage
	}
}
