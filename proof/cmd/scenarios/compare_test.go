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

// readingBench is a program that answers as the bench does. The worth of a play is what the file
// worth of the clone says, a hundredth more for each seed; it leaves an entry in the journal.
const readingBench = `#!/bin/sh
case "$1" in
build) exit 0 ;;
esac
mkdir -p journal
echo "$3 $9 $(cat worth)" >"journal/$(cat worth)-${11}.json"
echo "{\"G\": 0.$(($(cat worth) + ${11})), \"served\": 1, \"breaks\": {}}" >"$7"
`

// runGit runs git in a folder.
func runGit(t *testing.T, folder string, arguments ...string) string {
	t.Helper()
	command := exec.Command("git", append([]string{"-c", "user.name=test", "-c", "user.email=test@example.org"}, arguments...)...)
	command.Dir = folder
	output, err := command.CombinedOutput()
	if err != nil {
		t.Fatalf("git %v: %v: %s", arguments, err, output)
	}
	return string(output)
}

// comparisonFixture is a repository with a file that says what a play is worth, a patch that
// changes it, and a bench that reads it.
func comparisonFixture(t *testing.T) (options, benchRunner) {
	t.Helper()
	folder := t.TempDir()
	repository := filepath.Join(folder, "repository")
	write := func(path, content string, mode os.FileMode) string {
		path = filepath.Join(folder, path)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(content), mode); err != nil {
			t.Fatal(err)
		}
		return path
	}
	write("repository/worth", "700\n", 0o644)
	runGit(t, repository, "init", "--quiet")
	runGit(t, repository, "add", ".")
	runGit(t, repository, "commit", "--quiet", "-m", "worth")
	patch := write("better.patch", "--- a/worth\n+++ b/worth\n@@ -1 +1 @@\n-700\n+750\n", 0o644)
	chosen := options{
		sites: filepath.Join(folder, "site.toml"), days: "quiet,scale", seeds: "1-3", jobs: 2, out: filepath.Join(folder, "out"),
		variants: "better=" + patch,
	}
	return chosen, benchRunner{bench: write("bench", readingBench, 0o755), repository: repository, why: "a reason", jobs: 2}
}

// TestVariantsAreComparedBySeed plays a variant that is better by a twentieth on every seed.
func TestVariantsAreComparedBySeed(t *testing.T) {
	chosen, runner := comparisonFixture(t)
	if err := compareTasks(context.Background(), runner, chosen); err != nil {
		t.Fatal(err)
	}
	table, err := os.ReadFile(filepath.Join(chosen.out, "comparison.md"))
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
	if _, err := os.Stat(filepath.Join(chosen.out, "comparison.svg")); err != nil {
		t.Error(err)
	}
	for _, entry := range []string{"700-1.json", "750-3.json"} {
		if _, err := os.Stat(filepath.Join(runner.repository, journalFolder, entry)); err != nil {
			t.Errorf("the entry of a variant's play was not kept: %v", err)
		}
	}
}

func TestDaysAreNamesOrFiles(t *testing.T) {
	file := filepath.Join(t.TempDir(), "outage.toml")
	if err := os.WriteFile(file, nil, 0o644); err != nil {
		t.Fatal(err)
	}
	if got, err := dayOf(file); err != nil || got.name != "outage" || got.file != file {
		t.Errorf("a file: %+v, %v", got, err)
	}
	if got, err := dayOf("scale-1"); err != nil || got.name != "scale-1" || got.file != "scale-1" {
		t.Errorf("a name: %+v, %v", got, err)
	}
	if _, err := dayOf(file + ".toml"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a file that is not there: %v", err)
	}
}

// TestPatchThatDoesNotApplyIsAnError leaves no clone that could be taken for the variant.
func TestPatchThatDoesNotApplyIsAnError(t *testing.T) {
	chosen, runner := comparisonFixture(t)
	if err := os.WriteFile(filepath.Join(runner.repository, "worth"), []byte("600\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	runGit(t, runner.repository, "commit", "--quiet", "-am", "another worth")
	err := compareTasks(context.Background(), runner, chosen)
	var failed *patchError
	if !errors.As(err, &failed) || failed.variant.name != "better" {
		t.Errorf("the error is %v", err)
	}
	if _, err := os.Stat(filepath.Join(chosen.out, comparisonFolder, "better")); err == nil {
		t.Error("the clone without the patch was left")
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
	for _, wrong := range []string{"", "one", "one=", "=" + patch, "base=" + patch, "one=" + patch + ",one=" + patch, "one=" + patch + ".missing"} {
		if _, err := parseVariants(wrong); err == nil {
			t.Errorf("variants %q were taken", wrong)
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
