// Command mutations runs mutation tests: it applies each patch of proof/mutations, which breaks one
// rule, to a copy of the tree and checks that the tests that the patch names fail. It exits with 1
// if a mutation was not caught, and with 2 if a patch does not apply, does not compile or names no
// test.
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
	Tree     string `arg:"--tree" default:"." help:"root folder of the project"`
	Seeds    string `arg:"--seeds" default:"1-3" help:"seeds that the tests run with"`
	Only     string `arg:"--only" help:"run only the patch of this name"`
	Parallel int    `arg:"--parallel" default:"3" help:"number of patches that are tested concurrently"`
}

// Exit codes.
const (
	exitNotCaught = 1 // a mutation was not caught
	exitInvalid   = 2 // a patch does not apply, does not compile or names no test
)

// defaultPackage is the package of the tests of a patch that names no package.
const defaultPackage = "proof/simulator"

// mutation is one patch with its header lines, which name the rule that it breaks and the tests
// that must fail.
type mutation struct {
	name, rule, tests, file string
	// testPackage is the folder of the package whose tests must fail, relative to the root.
	testPackage string
}

func main() {
	var opts options
	arg.MustParse(&opts)
	code, err := run(opts)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

func run(opts options) (int, error) {
	mutations, err := readPatches(opts)
	if err != nil {
		return exitInvalid, err
	}
	var mutex sync.Mutex
	var pending sync.WaitGroup
	uncaught, invalid := []string{}, []error{}
	slots := make(chan struct{}, max(opts.Parallel, 1))
	for _, patch := range mutations {
		pending.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			began := time.Now()
			caught, err := patch.test(opts)
			mutex.Lock()
			defer mutex.Unlock()
			status := "caught"
			switch {
			case err != nil:
				status = "misused"
				invalid = append(invalid, fmt.Errorf("%s: %w", patch.name, err))
			case !caught:
				status = "NOT CAUGHT"
				uncaught = append(uncaught, patch.name)
			}
			fmt.Printf("rule=%q mutation=%s tests=%q %s after %s\n", patch.rule, patch.name, patch.tests, status, time.Since(began).Round(time.Second))
		})
	}
	pending.Wait()
	fmt.Printf("%d passed, %d failed\n", len(mutations)-len(uncaught)-len(invalid), len(uncaught)+len(invalid))
	switch {
	case len(invalid) > 0:
		return exitInvalid, errors.Join(invalid...)
	case len(uncaught) > 0:
		return exitNotCaught, fmt.Errorf("mutations that no test caught: %s", strings.Join(uncaught, ", "))
	}
	return 0, nil
}

func readPatches(opts options) ([]mutation, error) {
	files, err := filepath.Glob(filepath.Join(opts.Tree, "proof/mutations/*.patch"))
	if err != nil {
		return nil, err
	}
	mutations := []mutation{}
	for _, file := range files {
		patch := mutation{name: strings.TrimSuffix(filepath.Base(file), ".patch"), file: file, testPackage: defaultPackage}
		if opts.Only != "" && patch.name != opts.Only {
			continue
		}
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		for line := range strings.Lines(string(data)) {
			if rule, ok := strings.CutPrefix(line, "rule: "); ok {
				patch.rule = strings.TrimSpace(rule)
			}
			if tests, ok := strings.CutPrefix(line, "tests: "); ok {
				patch.tests = strings.TrimSpace(tests)
			}
			if folder, ok := strings.CutPrefix(line, "package: "); ok {
				patch.testPackage = strings.TrimSpace(folder)
			}
		}
		if patch.rule == "" || patch.tests == "" {
			return nil, fmt.Errorf("%s names no rule or no tests: start it with the lines \"rule: …\" and \"tests: …\"", file)
		}
		mutations = append(mutations, patch)
	}
	if len(mutations) == 0 {
		return nil, fmt.Errorf("no patch found: run this in the root folder of the project, and name a patch of proof/mutations with --only")
	}
	return mutations, nil
}

// test applies the patch to a copy of the tree and runs its tests there. It reports whether they
// failed.
func (patch mutation) test(opts options) (caught bool, err error) {
	folder, err := os.MkdirTemp("", "mutation-")
	if err != nil {
		return false, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(folder)) }()
	for _, part := range []string{"system", "proof", "platform"} {
		if err := os.CopyFS(filepath.Join(folder, part), os.DirFS(filepath.Join(opts.Tree, part))); err != nil {
			return false, err
		}
	}
	for _, file := range []string{"go.work", "go.work.sum"} {
		data, err := os.ReadFile(filepath.Join(opts.Tree, file))
		if err != nil {
			return false, err
		}
		if err := os.WriteFile(filepath.Join(folder, file), data, 0o600); err != nil {
			return false, err
		}
	}
	patchPath, err := filepath.Abs(patch.file)
	if err != nil {
		return false, err
	}
	if output, err := runCommand(folder, nil, "git", "apply", patchPath); err != nil {
		return false, fmt.Errorf("the patch does not apply; recreate it from the current code: %s", output)
	}
	// Compile first: a compile error must not count as a failed test.
	binary := filepath.Join(folder, "mutation.test")
	if output, err := runCommand(folder, nil, "go", "test", "-vet=off", "-c", "-o", binary, "./"+patch.testPackage); err != nil {
		return false, fmt.Errorf("the patched tree does not compile: %s", output)
	}
	output, testErr := runCommand(filepath.Join(folder, patch.testPackage), []string{"SEEDS=" + opts.Seeds}, binary, "-test.run", "^("+patch.tests+")$", "-test.timeout", "5m")
	if strings.Contains(output, "no tests to run") {
		return false, fmt.Errorf("no test is named %s", patch.tests)
	}
	return testErr != nil && strings.Contains(output, "--- FAIL"), nil
}

func runCommand(folder string, environment []string, name string, arguments ...string) (string, error) {
	process := exec.Command(name, arguments...)
	process.Dir = folder
	process.Env = append(os.Environ(), environment...)
	var output bytes.Buffer
	process.Stdout, process.Stderr = &output, &output
	err := process.Run()
	return output.String(), err
}
