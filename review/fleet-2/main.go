// Command fleet-2 shows the cases of the second review. It starts a small deployment of the project's
// own programs as processes on loopback addresses, with stand-ins for clients, runners, the platform
// and the operator, and checks one rule.
//
//	target/review-2 CASE FOLDER
//
// The exit code is 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
// TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// runLimit ends a case that hangs.
const runLimit = 110 * time.Second

// scenario is one case. It returns the breaks of the rule that it saw, and an error if it could not run.
type scenario func(fleet *fleet, trouble bool) (breaks []string, err error)

var scenarios = map[string]scenario{
	"sized-stream":  sizedStream,
	"stranger-turn": strangerTurn,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(scenarios[os.Args[1]], filepath.Join(os.Args[2], "record.txt"), os.Getenv("TROUBLE") != "0"))
}

// run runs a case and returns the exit code.
func run(play scenario, recordPath string, trouble bool) int {
	record, err := newRecorder(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	record.line("case begins, disruption: %t", trouble)
	fleet, err := startFleet(record)
	if err != nil {
		record.line("the case could not run: %v", err)
		fleet.stop()
		return exitNotRun
	}
	finished := make(chan int, 1)
	go func() { finished <- verdict(record, play, fleet, trouble) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	code := exitNotRun
	select {
	case code = <-finished:
	case <-interrupted:
		record.line("the case was interrupted")
	case <-time.After(runLimit):
		record.line("the case took too long")
	}
	fleet.stop()
	return code
}

// verdict plays a case and converts its result to an exit code.
func verdict(record *recorder, play scenario, fleet *fleet, trouble bool) int {
	breaks, err := play(fleet, trouble)
	for _, text := range breaks {
		record.line("BROKEN: %s", text)
	}
	switch {
	case err != nil:
		record.line("the case could not run: %v", err)
		return exitNotRun
	case len(breaks) > 0:
		return exitBroken
	}
	record.line("the rule held")
	return exitHeld
}

// recorder writes what was sent, answered and run, with the time since the start.
type recorder struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, began: time.Now()}, err
}

// line writes one line.
func (record *recorder) line(format string, values ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	text := fmt.Sprintf("%8.3f s  %s\n", time.Since(record.began).Seconds(), fmt.Sprintf(format, values...))
	_, _ = record.file.WriteString(text)
	fmt.Print(text)
}
