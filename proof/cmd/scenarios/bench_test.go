package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// fakeBench is a shell script with the bench's interface: scenarios with "cut" in their name
// break a rule, those with "late" fail the gate, and those with "lost" produce no report.
const fakeBench = `#!/bin/sh
case "$1" in
kinds) echo "core_cut: cut off"; exit 0 ;;
build) exit 0 ;;
esac
case "$3" in
*lost*) echo "gave up"; exit 3 ;;
*late*) echo '{"G": 0.9, "served": 1, "breaks": {}, "short": ["no ack after 9 s of calm"]}' >"$7" ;;
*cut*) echo '{"G": 0, "served": 0.5, "fault": null, "breaks": {"CONFIG": 2}, "missed": []}' >"$7" ;;
*) echo '{"G": 0.9, "served": 1, "fault": null, "breaks": {}, "missed": ["one"]}' >"$7" ;;
esac
`

// newFakeBenchRunner returns a benchRunner that uses fakeBench, and its directory.
func newFakeBenchRunner(t *testing.T) (benchRunner, string) {
	t.Helper()
	dir := t.TempDir()
	bench := filepath.Join(dir, "bench")
	if err := os.WriteFile(bench, []byte(fakeBench), 0o755); err != nil {
		t.Fatal(err)
	}
	return benchRunner{bench: bench, repository: dir, reason: "test", jobs: 2}, dir
}

func TestResultsNameTheBrokenRules(t *testing.T) {
	runner, dir := newFakeBenchRunner(t)
	var tasks []task
	for _, name := range []string{"cut-1", "race-1", "late-1", "lost-1"} {
		tasks = append(tasks, task{site: "trial.toml", name: name, file: filepath.Join(dir, name+".toml")})
	}
	reported := 0
	results := runner.runAll(context.Background(), tasks, func(result) { reported++ })
	if len(results) != 4 || reported != 4 {
		t.Fatalf("%d results, %d reported", len(results), reported)
	}
	for _, result := range results {
		checkResult(t, result)
	}
}

// checkResult checks the result against the one that fakeBench gives for the scenario's name.
func checkResult(t *testing.T, result result) {
	t.Helper()
	line := tableRow(result)
	switch result.name {
	case "cut-1":
		if !result.failed() || !strings.Contains(line, "CONFIG 2") || !strings.Contains(line, result.file) {
			t.Error(line)
		}
	case "race-1":
		if result.failed() || len(result.report.Missed) != 1 {
			t.Error(line)
		}
	case "late-1":
		if !result.failed() || !strings.Contains(line, "no ack after 9 s") {
			t.Error(line)
		}
	case "lost-1":
		if !result.failed() || !strings.Contains(line, "not run") {
			t.Error(line)
		}
	}
}

func TestKindsAreReadFromTheBench(t *testing.T) {
	runner, _ := newFakeBenchRunner(t)
	kinds, err := runner.kinds(context.Background(), "trial.toml")
	if err != nil || len(kinds) != 1 || kinds[0].name != "core_cut" {
		t.Fatalf("got %v, %v", kinds, err)
	}
}

func TestSeedAndSmallFlagsReachTheBench(t *testing.T) {
	task := task{site: "trial.toml", file: "day.toml"}
	plain := strings.Join(benchRunner{reason: "test"}.arguments(task, "report.json"), " ")
	if strings.Contains(plain, "--seed") || strings.Contains(plain, "--small") {
		t.Errorf("arguments without seed and small: %s", plain)
	}
	changed := strings.Join(benchRunner{reason: "test", seed: 7, small: true}.arguments(task, "report.json"), " ")
	if !strings.Contains(changed, "--seed 7") || !strings.Contains(changed, "--small") {
		t.Errorf("arguments with seed 7 and small: %s", changed)
	}
}
