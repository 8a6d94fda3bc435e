package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// fakeScoringBench is a shell script with the bench's interface. It scores a run in thousandths
// as the file score of the clone says, plus the seed, and adds a journal entry.
const fakeScoringBench = `#!/bin/sh
case "$1" in
build) exit 0 ;;
esac
mkdir -p journal
echo "$3 $9 $(cat score)" >"journal/$(cat score)-${11}.json"
echo "{\"G\": 0.$(($(cat score) + ${11})), \"served\": 1, \"breaks\": {}}" >"$7"
`

// runGit runs git in a directory and returns its output.
func runGit(t *testing.T, dir string, arguments ...string) string {
	t.Helper()
	command := exec.Command("git", append([]string{"-c", "user.name=test", "-c", "user.email=test@example.org"}, arguments...)...)
	command.Dir = dir
	output, err := command.CombinedOutput()
	if err != nil {
		t.Fatalf("git %v: %v: %s", arguments, err, output)
	}
	return string(output)
}

// comparisonFixture returns options and a runner for a repository whose file score sets the score,
// with a variant patch that raises it.
func comparisonFixture(t *testing.T) (options, benchRunner) {
	t.Helper()
	dir := t.TempDir()
	repository := filepath.Join(dir, "repository")
	write := func(path, content string, mode os.FileMode) string {
		path = filepath.Join(dir, path)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(content), mode); err != nil {
			t.Fatal(err)
		}
		return path
	}
	write("repository/score", "700\n", 0o644)
	runGit(t, repository, "init", "--quiet")
	runGit(t, repository, "add", ".")
	runGit(t, repository, "commit", "--quiet", "-m", "score")
	patch := write("better.patch", "--- a/score\n+++ b/score\n@@ -1 +1 @@\n-700\n+750\n", 0o644)
	opts := options{
		sites: filepath.Join(dir, "site.toml"), scenarios: "quiet,scale", seeds: "1-3", jobs: 2, out: filepath.Join(dir, "out"),
		variants: "better=" + patch,
	}
	return opts, benchRunner{bench: write("bench", fakeScoringBench, 0o755), repository: repository, reason: "a reason", jobs: 2}
}

// TestVariantsAreComparedBySeed compares a variant that scores 0.05 more on every seed.
func TestVariantsAreComparedBySeed(t *testing.T) {
	opts, runner := comparisonFixture(t)
	if err := compareVariants(context.Background(), runner, opts); err != nil {
		t.Fatal(err)
	}
	table, err := os.ReadFile(filepath.Join(opts.out, "comparison.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"| site | all | better | 6 | 0.702 | 0.752 | +0.0500 ± 0.0000 | conclusive |",
		"| site | scale | better | 3 | 0.702 | 0.752 | +0.0500 ± 0.0000 | conclusive |",
	} {
		if !strings.Contains(string(table), want) {
			t.Errorf("the table lacks %q:\n%s", want, table)
		}
	}
	if _, err := os.Stat(filepath.Join(opts.out, "comparison.svg")); err != nil {
		t.Error(err)
	}
	for _, entry := range []string{"700-1.json", "750-3.json"} {
		if _, err := os.Stat(filepath.Join(runner.repository, journalDir, entry)); err != nil {
			t.Errorf("the journal entry of a run was not copied: %v", err)
		}
	}
}

func TestScenariosAreNamesOrFiles(t *testing.T) {
	file := filepath.Join(t.TempDir(), "outage.toml")
	if err := os.WriteFile(file, nil, 0o644); err != nil {
		t.Fatal(err)
	}
	if got, err := namedTask(file); err != nil || got.name != "outage" || got.file != file {
		t.Errorf("a file: %+v, %v", got, err)
	}
	if got, err := namedTask("scale-1"); err != nil || got.name != "scale-1" || got.file != "scale-1" {
		t.Errorf("a name: %+v, %v", got, err)
	}
	if _, err := namedTask(file + ".toml"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a missing file: %v", err)
	}
}

// TestPatchThatDoesNotApplyIsAnError also checks that no unpatched clone remains, which could be
// mistaken for the variant.
func TestPatchThatDoesNotApplyIsAnError(t *testing.T) {
	opts, runner := comparisonFixture(t)
	if err := os.WriteFile(filepath.Join(runner.repository, "score"), []byte("600\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	runGit(t, runner.repository, "commit", "--quiet", "-am", "another score")
	err := compareVariants(context.Background(), runner, opts)
	var failed *patchError
	if !errors.As(err, &failed) || failed.variant.name != "better" {
		t.Errorf("got error %v, want a patchError", err)
	}
	if _, err := os.Stat(filepath.Join(opts.out, comparisonDir, "better")); err == nil {
		t.Error("the unpatched clone was not removed")
	}
}

func TestParseVariants(t *testing.T) {
	patch := filepath.Join(t.TempDir(), "a.patch")
	if err := os.WriteFile(patch, nil, 0o644); err != nil {
		t.Fatal(err)
	}
	variants, err := parseVariants(fmt.Sprintf("one=%s,two=%s", patch, patch))
	if err != nil || len(variants) != 3 || variants[0] != (variant{name: baseVariant}) || variants[2] != (variant{name: "two", patch: patch}) {
		t.Errorf("%v, %v", variants, err)
	}
	for _, invalid := range []string{"", "one", "one=", "=" + patch, "base=" + patch, "one=" + patch + ",one=" + patch, "one=" + patch + ".missing"} {
		if _, err := parseVariants(invalid); err == nil {
			t.Errorf("variants %q were accepted", invalid)
		}
	}
}

func TestEstimateMean(t *testing.T) {
	for _, test := range []struct {
		values          []float64
		mean, halfWidth float64
		conclusive      bool
	}{
		{[]float64{0.1}, 0.1, math.Inf(1), false},
		{[]float64{0.1, 0.1, 0.1}, 0.1, 0, true},
		{[]float64{1, 2, 3, 4}, 2.5, 2.0542, true},
		{[]float64{-1, 2, 0, 1}, 0.5, 2.0542, false},
	} {
		got := estimateMean(test.values)
		equal := got.halfWidth == test.halfWidth || math.Abs(got.halfWidth-test.halfWidth) < 0.001
		if math.Abs(got.mean-test.mean) > 1e-9 || !equal || got.conclusive() != test.conclusive {
			t.Errorf("%v: %+v", test.values, got)
		}
	}
	if got := estimateMean(nil); !math.IsNaN(got.mean) || got.conclusive() {
		t.Errorf("no values: %+v", got)
	}
}
