package daemon

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"runtime/debug"
	"strings"
	"syscall"
	"testing"
)

// TestMain runs a daemon instead of the tests if PLAY_DAEMON is set. Its startup completes when it
// reads a line.
func TestMain(m *testing.M) {
	if os.Getenv("PLAY_DAEMON") == "" {
		os.Exit(m.Run())
	}
	signals := Signals()
	fmt.Println("starting")
	bufio.NewReader(os.Stdin).ReadString('\n')
	Serve(signals, Service{
		Reload: func(seeds []string) { fmt.Println("reloaded", strings.Join(seeds, ",")) },
		Drain:  func(context.Context) { fmt.Println("drained") },
		Close:  func() { fmt.Println("closed") },
	}, func() ([]string, error) { return []string{"a", "b", "c"}, nil })
}

// TestSIGHUPDuringStartReloadsSettings guards against a SIGHUP during startup that terminates the
// daemon or is lost.
func TestSIGHUPDuringStartReloadsSettings(t *testing.T) {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), "PLAY_DAEMON=1")
	input, err := command.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	output, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(output)
	expect := func(wanted string) {
		t.Helper()
		if !lines.Scan() || lines.Text() != wanted {
			t.Fatalf("output %q, want %q (%v)", lines.Text(), wanted, lines.Err())
		}
	}
	expect("starting")
	command.Process.Signal(syscall.SIGHUP)
	fmt.Fprintln(input, "started")
	expect("reloaded a,b,c")
	command.Process.Signal(syscall.SIGTERM)
	expect("drained")
	expect("closed")
	if err := command.Wait(); err != nil {
		t.Fatal(err)
	}
}

func TestLimitMemory(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(before)
	LimitMemory(0)
	if limit := debug.SetMemoryLimit(-1); limit != before {
		t.Errorf("LimitMemory(0) set the limit %d", limit)
	}
	const limit = 280 << 20
	LimitMemory(limit)
	if heap := debug.SetMemoryLimit(-1); heap <= 0 || heap > limit*2/3 {
		t.Errorf("LimitMemory(%d) set the limit %d", limit, heap)
	}
}
