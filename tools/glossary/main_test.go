package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeFile creates a file and its parent directories, and returns its path.
func writeFile(t *testing.T, path, content string) string {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

// checkSource checks a package p that consists of source, and returns the messages of the
// findings joined with "|".
func checkSource(t *testing.T, list, source string) string {
	t.Helper()
	root := t.TempDir()
	words, err := readWordList(writeFile(t, filepath.Join(root, "words.txt"), list))
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, filepath.Join(root, "p", "p.go"), source)
	findings, err := checkPackage(root, "p", words)
	if err != nil {
		t.Fatal(err)
	}
	messages := []string{}
	for _, f := range findings {
		messages = append(messages, f.message)
	}
	return strings.Join(messages, "|")
}

const (
	tallyList      = "both tally = quota usage\npackage p\n"
	tallyException = "except p Tally = method of the generated interface\n"
)

// An exception must not allow its word in other names or in prose.
func TestExceptionAppliesToOneName(t *testing.T) {
	const source = "package p\n\n// Tally is a method. A tally is not.\nfunc Tally() {}\n\nfunc readTally() {}\n"
	const (
		inTally     = `name Tally contains "tally"; the standard term is quota usage`
		inReadTally = `name readTally contains "tally"; the standard term is quota usage`
		inComment   = `comment contains "tally"; the standard term is quota usage`
	)
	want := strings.Join([]string{inTally, inReadTally, inComment, inComment}, "|")
	if got := checkSource(t, tallyList, source); got != want {
		t.Errorf("without an exception: got %q, want %q", got, want)
	}
	want = strings.Join([]string{inReadTally, inComment}, "|")
	if got := checkSource(t, tallyList+tallyException, source); got != want {
		t.Errorf("with an exception: got %q, want %q", got, want)
	}
}

// An exception that is no longer needed must be reported.
func TestUnusedExceptionIsReported(t *testing.T) {
	got := checkSource(t, tallyList+tallyException, "package p\n")
	if want := `unused exception for "Tally" (method of the generated interface); remove the line`; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// An exception must have a name, a reason and a package that is checked.
func TestInvalidExceptionsAreRejected(t *testing.T) {
	for _, line := range []string{"except p Tally", "except p Tally = ", "except Tally = reason", "except p two names = reason", "except other Tally = reason"} {
		path := writeFile(t, filepath.Join(t.TempDir(), "words.txt"), tallyList+line+"\n")
		if _, err := readWordList(path); err == nil {
			t.Errorf("%q was accepted", line)
		}
	}
}
