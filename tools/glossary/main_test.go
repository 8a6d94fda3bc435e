package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// write makes a file with its folders and returns its path.
func write(t *testing.T, path, content string) string {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

// check returns what is found in package p, "WHERE WORD" per finding.
func check(t *testing.T, words, source string) []string {
	t.Helper()
	root := t.TempDir()
	withdrawn, err := readList(write(t, filepath.Join(root, "words.txt"), words))
	if err != nil {
		t.Fatal(err)
	}
	write(t, filepath.Join(root, "p", "p.go"), source)
	findings, err := checkPackage(root, "p", withdrawn)
	if err != nil {
		t.Fatal(err)
	}
	found := []string{}
	for _, one := range findings {
		found = append(found, one.where+" "+one.word)
	}
	return found
}

const oneWord = "both tally = quota usage\npackage p\n"

// An exception is for one name: as it is declared, and where a comment cites it. The word
// stays withdrawn in other names and in prose.
func TestExceptionIsForOneName(t *testing.T) {
	const source = "package p\n\n// Tally is a method. A tally is not.\nfunc Tally() {}\n\nfunc readTally() {}\n"
	all := "the name Tally tally|the name readTally tally|a comment tally|a comment tally"
	if found := strings.Join(check(t, oneWord, source), "|"); found != all {
		t.Errorf("without an exception: found %q, want %q", found, all)
	}
	rest := "the name readTally tally|a comment tally"
	if found := strings.Join(check(t, oneWord+"except p Tally = method of the generated interface\n", source), "|"); found != rest {
		t.Errorf("with an exception: found %q, want %q", found, rest)
	}
}

// An exception that excepts nothing is found, so that none outlives its reason.
func TestUnusedExceptionIsFound(t *testing.T) {
	found := strings.Join(check(t, oneWord+"except p Tally = method of the generated interface\n", "package p\n"), "|")
	if want := "the exception for Tally"; found != want {
		t.Errorf("found %q, want %q", found, want)
	}
}

// Exceptions need a name, a reason and a package that is checked.
func TestMalformedExceptionsAreRejected(t *testing.T) {
	for _, line := range []string{"except p Tally", "except p Tally = ", "except Tally = reason", "except p two names = reason", "except other Tally = reason"} {
		path := write(t, filepath.Join(t.TempDir(), "words.txt"), oneWord+line+"\n")
		if _, err := readList(path); err == nil {
			t.Errorf("%q was accepted", line)
		}
	}
}
