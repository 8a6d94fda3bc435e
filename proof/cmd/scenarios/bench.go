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

// benchRunner runs the external test bench as a subprocess, which is killed when the context of
// the call is done.
type benchRunner struct {
	bench      string // path of the bench executable
	repository string // clone of the repository whose code is tested
	reason     string // recorded by the bench in its journal
	jobs       int    // number of scenarios run concurrently
	outputStem string // path, without extension, of the bench's output and report; "": that of the scenario file
	seed       uint64 // 0: the scenario's own seed
	small      bool   // runs the reduced version of a large scenario
}

// kinds asks the bench which kinds of faults and planned work a site supports.
func (runner benchRunner) kinds(ctx context.Context, sitePath string) ([]kind, error) {
	output, err := exec.CommandContext(ctx, runner.bench, "kinds", sitePath).Output()
	if err != nil {
		return nil, fmt.Errorf("listing the kinds of %s with the bench: %w", sitePath, err)
	}
	return parseKinds(string(output))
}

// build builds the system once, before scenarios that run concurrently share the result.
func (runner benchRunner) build(ctx context.Context) error {
	command := exec.CommandContext(ctx, runner.bench, "build")
	command.Dir = runner.repository
	if output, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("building the system: %w\n%s", err, output)
	}
	return nil
}

// runAll runs the tasks, at most runner.jobs concurrently, and returns the results in order of
// completion. It calls report with each result as it arrives, from the caller's goroutine.
func (runner benchRunner) runAll(ctx context.Context, tasks []task, report func(result)) []result {
	byIndex := make([]result, len(tasks))
	var results []result
	runConcurrently(runner.jobs, len(tasks), func(index int) {
		byIndex[index] = runner.runTask(ctx, tasks[index])
	}, func(index int) {
		report(byIndex[index])
		results = append(results, byIndex[index])
	})
	return results
}

// runConcurrently calls work for each index below count, at most jobs concurrently. It calls
// finished with each completed index from the caller's goroutine.
func runConcurrently(jobs, count int, work, finished func(index int)) {
	queue := make(chan int)
	done := make(chan int)
	var workers sync.WaitGroup
	for range jobs {
		workers.Go(func() {
			for index := range queue {
				work(index)
				done <- index
			}
		})
	}
	go func() {
		for index := range count {
			queue <- index
		}
		close(queue)
		workers.Wait()
		close(done)
	}()
	for index := range done {
		finished(index)
	}
}

// runTask runs one scenario and writes the bench's output (.txt) and report (.json).
func (runner benchRunner) runTask(ctx context.Context, task task) result {
	stem := runner.outputStem
	if stem == "" {
		stem = strings.TrimSuffix(task.file, ".toml")
	}
	reportPath, err := filepath.Abs(stem + ".json")
	if err != nil {
		return result{task: task, runError: err.Error()}
	}
	command := exec.CommandContext(ctx, runner.bench, runner.arguments(task, reportPath)...)
	command.Dir = runner.repository
	output, runErr := command.CombinedOutput()
	if err := os.WriteFile(stem+".txt", output, 0o644); err != nil {
		return result{task: task, runError: err.Error()}
	}
	report, err := readReport(reportPath)
	if err != nil {
		return result{task: task, runError: fmt.Sprintf("%v, %v", runErr, err)}
	}
	return result{task: task, report: report}
}

// arguments returns the bench arguments that run one scenario and write its report to reportPath.
func (runner benchRunner) arguments(task task, reportPath string) []string {
	arguments := []string{"run", task.site, task.file, "--jobs", strconv.Itoa(1), "--report", reportPath, "--why", runner.reason}
	if runner.seed != 0 {
		arguments = append(arguments, "--seed", strconv.FormatUint(runner.seed, 10))
	}
	if runner.small {
		arguments = append(arguments, "--small")
	}
	return arguments
}
