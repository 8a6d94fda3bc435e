package main

import (
	"bytes"
	"strings"
	"testing"
)

func TestInvalidStepsAreRejectedWithRemedy(t *testing.T) {
	for name, test := range map[string]struct{ arguments, remedy string }{
		"unknown dimension":               {"--against moons", "name one of"},
		"size above the maximum":          {"--steps 50,100000", "use at most 800"},
		"constant size above the maximum": {"--against runners --nodes 5000", "use at most 800"},
		"zero size":                       {"--steps 0,50", "use at least 1"},
		"negative size":                   {"--steps=-5,50", "use at least 1"},
		"not a number":                    {"--steps many", "whole numbers"},
		"descending sizes":                {"--steps 100,50", "ascending order"},
		"duplicate size":                  {"--steps 50,50", "ascending order"},
		"unknown option":                  {"--moons 5", "see --help"},
		"invalid duration":                {"--quiet soon", "see --help"},
	} {
		t.Run(name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			if code := run(strings.Fields(test.arguments), &stdout, &stderr); code != 2 {
				t.Errorf("got exit code %d, want 2", code)
			}
			if !strings.Contains(stderr.String(), test.remedy) || stdout.Len() > 0 {
				t.Errorf("got stdout %q and stderr %q", stdout.String(), stderr.String())
			}
		})
	}
}

func TestHelpExitsWithSuccess(t *testing.T) {
	var stdout, stderr bytes.Buffer
	if code := run([]string{"--help"}, &stdout, &stderr); code != 0 || !strings.Contains(stdout.String(), "--against") {
		t.Fatalf("got exit code %d and stdout %q", code, stdout.String())
	}
}

func TestMissingBinariesFail(t *testing.T) {
	var stdout, stderr bytes.Buffer
	if code := run([]string{"--steps", "1", "--binaries", t.TempDir()}, &stdout, &stderr); code != 1 || !strings.Contains(stderr.String(), "no such file") {
		t.Fatalf("got exit code %d and stderr %q", code, stderr.String())
	}
}
