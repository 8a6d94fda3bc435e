package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// standInBench is a program that answers as the bench does: scenarios with the word cut in
// their name break a rule, those with the word late fail the gate, those with the word lost have
// no report.
const standInBench = `#!/bin/sh
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

// trialBenchRunner is a player on the stand-in bench.
func trialBenchRunner(t *testing.T) (benchRunner, string) {
	t.Helper()
	folder := t.TempDir()
	bench := filepath.Join(folder, "bench")
	if err := os.WriteFile(bench, []byte(standInBench), 0o755); err != nil {
		t.Fatal(err)
	}
	return benchRunner{bench: bench, repository: folder, why: "test", jobs: 2}, folder
}

func TestResultsNameTheBrokenRules(t *testing.T) {
	runner, folder := trialBenchRunner(t)
	var tasks []task
	for _, name := range []string{"cut-1", "race-1", "late-1", "lost-1"} {
		tasks = append(tasks, task{site: "trial.toml", name: name, file: filepath.Join(folder, name+".toml")})
	}
	reported := 0
	results := runner.playAll(context.Background(), tasks, func(result) { reported++ })
	if len(results) != 4 || reported != 4 {
		t.Fatalf("%d results, %d reported", len(results), reported)
	}
	for _, played := range results {
		checkResult(t, played)
	}
}

// checkResult demands the result that standInBench gives by the scenario's name.
func checkResult(t *testing.T, played result) {
	t.Helper()
	line := tableLine(played)
	switch played.name {
	case "cut-1":
		if !played.broken() || !strings.Contains(line, "CONFIG 2") || !strings.Contains(line, played.file) {
			t.Error(line)
		}
	case "race-1":
		if played.broken() || len(played.report.Missed) != 1 {
			t.Error(line)
		}
	case "late-1":
		if !played.broken() || !strings.Contains(line, "no ack after 9 s") {
			t.Error(line)
		}
	case "lost-1":
		if !played.broken() || !strings.Contains(line, "not played") {
			t.Error(line)
		}
	}
}

func TestKindsAreReadFromTheBench(t *testing.T) {
	runner, _ := trialBenchRunner(t)
	found, err := runner.kinds(context.Background(), "trial.toml")
	if err != nil || len(found) != 1 || found[0].name != "core_cut" {
		t.Fatalf("got %v, %v", found, err)
	}
}

func TestSeedAndSmallTwinsReachTheBench(t *testing.T) {
	played := task{site: "trial.toml", file: "day.toml"}
	plain := strings.Join(benchRunner{why: "test"}.arguments(played, "report.json"), " ")
	if strings.Contains(plain, "--seed") || strings.Contains(plain, "--small") {
		t.Errorf("a play of the day as it is: %s", plain)
	}
	changed := strings.Join(benchRunner{why: "test", seed: 7, small: true}.arguments(played, "report.json"), " ")
	if !strings.Contains(changed, "--seed 7") || !strings.Contains(changed, "--small") {
		t.Errorf("a small twin with seed 7: %s", changed)
	}
}
