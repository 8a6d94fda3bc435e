// Command scenarios generates test scenarios for the bench of the users' platform, plays them
// there and shows which rules were broken.
//
//	scenarios draw --bench PATH --sites A.toml --presets random --seeds 1-20 --out DIR
//	scenarios play --bench PATH --sites A.toml,B.toml --presets cut,race --seeds 1-5 --jobs 4 --out DIR
//	scenarios compare --bench PATH --sites A.toml --days scale-1,scale-2 --seeds 1-5 --variants NAME=PATCH --out DIR
//	scenarios requests --log FILE
//
// A scenario is a day of the bench: planned work and faults on one deployment (site), at given
// times, and perhaps a final fault. Entries are drawn at random from every kind that the bench
// lists for the site; the same seed gives the same scenario. Sites may be played as changed
// copies, with more idle routes, longer days or several cores. The exit code is 1 if a rule was
// broken or a scenario could not be played.
//
// Compare plays the same scenarios, or days of the sites, with the same seeds on the checked out
// commit and on variants of it, each a patch. It writes the paired differences of the worth with
// their intervals as a table (comparison.md) and a plot (comparison.svg), and keeps the journal
// entries of all plays.
//
// Requests reads what the bench printed of a play whose fronts ran with --log-requests, and shows
// where requests spent their time, and what programs that ended late lost it to.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
)

// errUsage is returned if the command line names no command.
var errUsage = errors.New("usage: scenarios draw|play|compare|requests [options]; see scenarios draw -h")

// commandRequests is the command that needs no site.
const commandRequests = "requests"

// errBroken is returned if a played scenario broke a rule.
var errBroken = errors.New("rules were broken")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "scenarios:", err)
		os.Exit(1)
	}
}

// run carries out one command line. The context ends the bench's processes.
func run(ctx context.Context, arguments []string) error {
	if len(arguments) == 0 {
		return errUsage
	}
	chosen, err := parseOptions(arguments[0], arguments[1:])
	if err != nil {
		return err
	}
	runner := benchRunner{bench: chosen.bench, repository: chosen.repository, why: chosen.why, jobs: chosen.jobs, small: chosen.small}
	switch arguments[0] {
	case commandRequests:
		return reportRequests(chosen)
	case "draw":
		tasks, err := generateTasks(ctx, runner, chosen)
		for _, task := range tasks {
			fmt.Println(task.file)
		}
		return err
	case "play":
		return playTasks(ctx, runner, chosen)
	case "compare":
		return compareTasks(ctx, runner, chosen)
	default:
		return errUsage
	}
}
