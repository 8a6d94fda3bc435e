// Command harness runs one case of the review: it starts a small deployment of the project's own
// programs on loopback addresses, plays the case, and reports whether a rule was broken.
//
//	harness ROOT FOLDER CASE
//
// ROOT is the repository, FOLDER the case's folder, into which record.txt is written. TROUBLE=0
// leaves the disruption out. The exit code is 1 if the rule was broken, 0 if it held and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration ends a case that hangs.
const maxDuration = 110 * time.Second

// play plays one case on a fleet whose processes run. It returns what breaks the rule, one line each;
// the error is not nil if the case could not be played.
type play func(fleet *fleet, trouble bool) (broken []string, err error)

var cases = map[string]play{
	"operation-on-another-service": playOperationOnAnotherService,
	"history-without-a-key":        playHistoryWithoutAKey,
	"history-of-an-unsaved-turn":   playHistoryOfAnUnsavedTurn,
	"budget-of-a-passed-key":       playBudgetOfAPassedKey,
	"key-of-a-removed-customer":    playKeyOfARemovedCustomer,
}

func main() {
	// Processes end with the thread that started them, and the main thread lives longest.
	runtime.LockOSThread()
	if len(os.Args) != 4 || cases[os.Args[3]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness ROOT FOLDER CASE")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], cases[os.Args[3]]))
}

// runCase starts the fleet, plays the case and ends all processes.
func runCase(root, caseFolder string, play play) int {
	record, err := newRecord(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(folder)
	if os.Getenv("KEEP_LOGS") != "" {
		folder = os.Getenv("KEEP_LOGS")
	}
	fleet, err := startFleet(root, folder, record)
	if fleet != nil {
		defer fleet.stop()
	}
	if err != nil {
		return couldNotRun(record, err)
	}
	type outcome struct {
		broken []string
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := play(fleet, os.Getenv("TROUBLE") != "0")
		done <- outcome{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case ended := <-done:
		if ended.err != nil {
			return couldNotRun(record, ended.err)
		}
		return report(record, ended.broken)
	case <-interrupted:
		return couldNotRun(record, fmt.Errorf("interrupted"))
	case <-time.After(maxDuration):
		return couldNotRun(record, fmt.Errorf("the case takes too long"))
	}
}

// couldNotRun notes why the case could not run.
func couldNotRun(record *record, err error) int {
	record.add("the case could not run: %v", err)
	fmt.Println("the case could not run:", err)
	return exitNotRun
}

// report notes the result.
func report(record *record, broken []string) int {
	for _, line := range broken {
		record.add("BROKEN: %s", line)
		fmt.Println("BROKEN:", line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	record.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
