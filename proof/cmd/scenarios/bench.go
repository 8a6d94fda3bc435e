package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
)

// benchRunner runs the bench's program. Its processes end with the context of each call.
type benchRunner struct {
	bench      string // path of the program
	repository string // folder of the clone whose code is played
	why        string // the reason that the bench notes in its journal
	jobs       int    // scenarios played at once
	output     string // path without ending of the bench's output and report; "": beside the scenario
	seed       uint64 // of the play; 0: that of the day
	small      bool   // plays the small twin of a large day
}

// kinds reads from the bench which kinds of faults and planned work a site may have.
func (runner benchRunner) kinds(ctx context.Context, sitePath string) ([]kind, error) {
	printed, err := exec.CommandContext(ctx, runner.bench, "kinds", sitePath).Output()
	if err != nil {
		return nil, fmt.Errorf("reading the kinds of %s from the bench: %w", sitePath, err)
	}
	return parseKinds(string(printed))
}

// build builds the system once, so that scenarios played at the same time find it built.
func (runner benchRunner) build(ctx context.Context) error {
	command := exec.CommandContext(ctx, runner.bench, "build")
	command.Dir = runner.repository
	if output, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("building the system: %w\n%s", err, output)
	}
	return nil
}

// playAll plays the tasks, as many at once as there are jobs, and returns the results in the
// order in which they ended. It calls report with each as it comes, from the caller's goroutine.
func (runner benchRunner) playAll(ctx context.Context, tasks []task, report func(result)) []result {
	played := make([]result, len(tasks))
	var all []result
	runConcurrently(runner.jobs, len(tasks), func(position int) {
		played[position] = runner.playOne(ctx, tasks[position])
	}, func(position int) {
		report(played[position])
		all = append(all, played[position])
	})
	return all
}

// runConcurrently calls work for each position from 0 up, so many at once, and then finished
// with it, from the caller's goroutine.
func runConcurrently(jobs, count int, work, finished func(position int)) {
	queue := make(chan int)
	done := make(chan int)
	var workers sync.WaitGroup
	for range jobs {
		workers.Go(func() {
			for position := range queue {
				work(position)
				done <- position
			}
		})
	}
	go func() {
		for position := range count {
			queue <- position
		}
		close(queue)
		workers.Wait()
		close(done)
	}()
	for position := range done {
		finished(position)
	}
}

// playOne plays one scenario. The bench's output and its report are written as .txt and .json.
func (runner benchRunner) playOne(ctx context.Context, played task) result {
	stem := runner.output
	if stem == "" {
		stem = strings.TrimSuffix(played.file, ".toml")
	}
	reportPath, err := filepath.Abs(stem + ".json")
	if err != nil {
		return result{task: played, failure: err.Error()}
	}
	command := exec.CommandContext(ctx, runner.bench, runner.arguments(played, reportPath)...)
	command.Dir = runner.repository
	output, runErr := command.CombinedOutput()
	if err := os.WriteFile(stem+".txt", output, 0o644); err != nil {
		return result{task: played, failure: err.Error()}
	}
	read, err := readReport(reportPath)
	if err != nil {
		return result{task: played, failure: fmt.Sprintf("%v, %v", runErr, err)}
	}
	return result{task: played, report: read}
}

// arguments is the command line that plays one scenario and writes its report to a path.
func (runner benchRunner) arguments(played task, reportPath string) []string {
	arguments := []string{"run", played.site, played.file, "--jobs", strconv.Itoa(1), "--report", reportPath, "--why", runner.why}
	if runner.seed != 0 {
		arguments = append(arguments, "--seed", strconv.FormatUint(runner.seed, 10))
	}
	if runner.small {
		arguments = append(arguments, "--small")
	}
	return arguments
}
