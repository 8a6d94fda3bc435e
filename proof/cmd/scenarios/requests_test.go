package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// requestLogLine returns the log line of one request.
func requestLogLine(endedAt float64, machine, program, fields string) string {
	return fmt.Sprintf("  %.4f %s timestamp=2026-07-31T15:05:57Z level=info message=\"request ended\" attempts=1 program=%s route=talk %s\n", endedAt, machine, program, fields)
}

// threeProgramLog returns a log of three programs: one meets its deadline, one misses it because of
// a slow begin stage, and one because it had no request at any front for too long.
func threeProgramLog() string {
	turn := func(endedAt float64, program string, total, begin, left int) string {
		return requestLogLine(endedAt, "edge-hall-east-12", program, fmt.Sprintf("outcome=complete total_ms=%d begin_ms=%d stream_ms=200 left_ms=900 program_left_ms=%d prompt_tokens=3000 prefill_tokens=500", total, begin, left))
	}
	return "built in 0.1 s\n  1.0 edge-hall-east-1 timestamp=x level=info message=\"view applied\" number=5\n" +
		turn(1.3, "in-time", 220, 10, 900) + turn(1.7, "in-time", 220, 10, 500) +
		turn(1.3, "slow-begin", 220, 10, 900) + turn(2.7, "slow-begin", 1220, 1010, -100) +
		turn(1.3, "away", 220, 10, 900) + turn(3.7, "away", 220, 10, -900) +
		requestLogLine(4, "edge-hall-west-2", "away", "outcome=not_run total_ms=5 view_ms=4 error=\"no [x; remedy: ask]\"")
}

func TestRequestsAreReadFromALog(t *testing.T) {
	lines, err := readRequests(strings.NewReader(threeProgramLog()))
	if err != nil || len(lines) != 7 {
		t.Fatalf("%d requests, %v", len(lines), err)
	}
	got := lines[3]
	if got.program != "slow-begin" || got.zone != "hall-east" || got.startedAt().Round(time.Millisecond) != 1480*time.Millisecond || got.stages["begin"] != 1010*time.Millisecond ||
		got.prefillTokens != 500 || got.promptTokens != 3000 || got.attempts != 1 || got.programTimeLeft != -100*time.Millisecond || len(got.stages) != 2 {
		t.Errorf("%+v", got)
	}
	if _, err := readRequests(strings.NewReader("no line of a request\n")); !errors.Is(err, errNoRequests) {
		t.Errorf("a log without requests: %v", err)
	}
	if _, err := readRequests(strings.NewReader(requestLogLine(1, "edge-a-1", "p", "total_ms=soon"))); err == nil {
		t.Error("a non-numeric total was accepted")
	}
	if _, err := readRequests(strings.NewReader("at noon message=\"request ended\"\n")); err == nil {
		t.Error("a line without a time was accepted")
	}
}

func TestLateProgramsAreCountedByCause(t *testing.T) {
	lines, err := readRequests(strings.NewReader(threeProgramLog()))
	if err != nil {
		t.Fatal(err)
	}
	table := causeTable(lines)
	for _, want := range []string{"2 of 3 programs", "| begin | 1 | 1000 |", "| " + noRequestCause + " | 1 |"} {
		if !strings.Contains(table, want) {
			t.Errorf("the table lacks %q:\n%s", want, table)
		}
	}
	if stages := stageTable(lines, 2*time.Second); !strings.Contains(stages, "| 0 | 5 | 0 | 420 | 0 | 0 | 210 |") {
		t.Errorf("stages:\n%s", stages)
	}
}

func TestRequestsOptions(t *testing.T) {
	for _, invalid := range [][]string{nil, {"--log", "x", "--window", "0"}} {
		if _, err := parseOptions(commandRequests, invalid); err == nil {
			t.Errorf("%v was accepted", invalid)
		}
	}
	path := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(path, []byte(threeProgramLog()), 0o644); err != nil {
		t.Fatal(err)
	}
	opts, err := parseOptions(commandRequests, []string{"--log", path})
	if err != nil {
		t.Fatal(err)
	}
	if err := reportRequests(opts); err != nil {
		t.Error(err)
	}
	opts.logFile += ".missing"
	if err := reportRequests(opts); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a missing log: %v", err)
	}
}
