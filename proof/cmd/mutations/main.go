// Command mutations shows that the tests can fail: it applies each patch of proof/mutations, which
// breaks one rule, to a copy of the tree, and demands that the tests that the patch names fail. It
// exits with 1 if a mutation was not caught, and with 2 if a patch does not apply, does not compile
// or names no test.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/alexflint/go-arg"
)

type options struct {
	Tree     string `arg:"--tree" default:"." help:"the project's folder"`
	Seeds    string `arg:"--seeds" default:"1-3" help:"seeds that the tests run with"`
	Only     string `arg:"--only" help:"only the patch of this name"`
	Parallel int    `arg:"--parallel" default:"3" help:"how many patches are tried at a time"`
}

// Exit codes.
const (
	exitNotCaught = 1 // a mutation was not caught
	exitMisused   = 2 // a patch does not apply, or names no test
)

// defaultPackage holds the tests of a patch that names no other package.
const defaultPackage = "proof/simulator"

// mutation is one patch with its head lines, which name the rule that it breaks and the tests that
// must fail.
type mutation struct {
	name, rule, tests, file string
	// testPackage is the folder of the package whose tests must fail, from the root.
	testPackage string
}

func main() {
	var chosen options
	arg.MustParse(&chosen)
	code, err := run(chosen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

func run(chosen options) (int, error) {
	mutations, err := readPatches(chosen)
	if err != nil {
		return exitMisused, err
	}
	var mutex sync.Mutex
	var working sync.WaitGroup
	missed, misused := []string{}, []error{}
	slots := make(chan struct{}, max(chosen.Parallel, 1))
	for _, one := range mutations {
		working.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			began := time.Now()
			caught, err := one.test(chosen)
			mutex.Lock()
			defer mutex.Unlock()
			reported := "caught"
			switch {
			case err != nil:
				reported = "misused"
				misused = append(misused, fmt.Errorf("%s: %w", one.name, err))
			case !caught:
				reported = "NOT CAUGHT"
				missed = append(missed, one.name)
			}
			fmt.Printf("rule=%q mutation=%s tests=%q %s after %s\n", one.rule, one.name, one.tests, reported, time.Since(began).Round(time.Second))
		})
	}
	working.Wait()
	fmt.Printf("%d passed, %d failed\n", len(mutations)-len(missed)-len(misused), len(missed)+len(misused))
	switch {
	case len(misused) > 0:
		return exitMisused, errors.Join(misused...)
	case len(missed) > 0:
		return exitNotCaught, fmt.Errorf("mutations that no test caught: %s", strings.Join(missed, ", "))
	}
	return 0, nil
}

func readPatches(chosen options) ([]mutation, error) {
	files, err := filepath.Glob(filepath.Join(chosen.Tree, "proof/mutations/*.patch"))
	if err != nil {
		return nil, err
	}
	found := []mutation{}
	for _, file := range files {
		one := mutation{name: strings.TrimSuffix(filepath.Base(file), ".patch"), file: file, testPackage: defaultPackage}
		if chosen.Only != "" && one.name != chosen.Only {
			continue
		}
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		for line := range strings.Lines(string(data)) {
			if rule, is := strings.CutPrefix(line, "rule: "); is {
				one.rule = strings.TrimSpace(rule)
			}
			if tests, is := strings.CutPrefix(line, "tests: "); is {
				one.tests = strings.TrimSpace(tests)
			}
			if folder, is := strings.CutPrefix(line, "package: "); is {
				one.testPackage = strings.TrimSpace(folder)
			}
		}
		if one.rule == "" || one.tests == "" {
			return nil, fmt.Errorf("%s names no rule or no tests: begin it with the lines \"rule: …\" and \"tests: …\"", file)
		}
		found = append(found, one)
	}
	if len(found) == 0 {
		return nil, fmt.Errorf("no patch is there to try: run this in the project's folder, and name one of proof/mutations with --only")
	}
	return found, nil
}

// test applies the patch to a copy and runs its tests there.
func (one mutation) test(chosen options) (caught bool, err error) {
	folder, err := os.MkdirTemp("", "mutation-")
	if err != nil {
		return false, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(folder)) }()
	for _, part := range []string{"system", "proof", "platform"} {
		if err := os.CopyFS(filepath.Join(folder, part), os.DirFS(filepath.Join(chosen.Tree, part))); err != nil {
			return false, err
		}
	}
	for _, file := range []string{"go.work", "go.work.sum"} {
		data, err := os.ReadFile(filepath.Join(chosen.Tree, file))
		if err != nil {
			return false, err
		}
		if err := os.WriteFile(filepath.Join(folder, file), data, 0o600); err != nil {
			return false, err
		}
	}
	patch, err := filepath.Abs(one.file)
	if err != nil {
		return false, err
	}
	if said, err := command(folder, nil, "git", "apply", patch); err != nil {
		return false, fmt.Errorf("the patch no longer applies; make it anew from the code as it is: %s", said)
	}
	// A tree that does not compile would fail every test.
	binary := filepath.Join(folder, "mutation.test")
	if said, err := command(folder, nil, "go", "test", "-vet=off", "-c", "-o", binary, "./"+one.testPackage); err != nil {
		return false, fmt.Errorf("the patched tree does not compile: %s", said)
	}
	said, failed := command(filepath.Join(folder, one.testPackage), []string{"SEEDS=" + chosen.Seeds}, binary, "-test.run", "^("+one.tests+")$", "-test.timeout", "5m")
	if strings.Contains(said, "no tests to run") {
		return false, fmt.Errorf("no test is named %s", one.tests)
	}
	return failed != nil && strings.Contains(said, "--- FAIL"), nil
}

func command(folder string, settings []string, name string, arguments ...string) (string, error) {
	running := exec.Command(name, arguments...)
	running.Dir = folder
	running.Env = append(os.Environ(), settings...)
	var said bytes.Buffer
	running.Stdout, running.Stderr = &said, &said
	err := running.Run()
	return said.String(), err
}
