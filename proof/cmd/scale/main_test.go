package main

import (
	"bytes"
	"strings"
	"testing"
)

func TestInvalidStepsAreRejectedWithRemedy(t *testing.T) {
	for name, refused := range map[string]struct{ arguments, remedy string }{
		"an unknown size":         {"--against moons", "name one of"},
		"an oversized step":       {"--steps 50,100000", "use 800 at most"},
		"an oversized other size": {"--against runners --nodes 5000", "use 800 at most"},
		"a step of nothing":       {"--steps 0,50", "use 1 at least"},
		"a step below nothing":    {"--steps=-5,50", "use 1 at least"},
		"no number":               {"--steps many", "whole numbers"},
		"steps that do not rise":  {"--steps 100,50", "rising order"},
		"a step twice":            {"--steps 50,50", "rising order"},
		"an unknown option":       {"--moons 5", "see --help"},
		"a time that is none":     {"--quiet soon", "see --help"},
	} {
		t.Run(name, func(t *testing.T) {
			var output, complaints bytes.Buffer
			if code := run(strings.Fields(refused.arguments), &output, &complaints); code != 2 {
				t.Errorf("ended with %d", code)
			}
			if !strings.Contains(complaints.String(), refused.remedy) || output.Len() > 0 {
				t.Errorf("told %q and complained %q", output.String(), complaints.String())
			}
		})
	}
}

func TestHelpExitsWithSuccess(t *testing.T) {
	var output, complaints bytes.Buffer
	if code := run([]string{"--help"}, &output, &complaints); code != 0 || !strings.Contains(output.String(), "--against") {
		t.Fatalf("ended with %d and told %q", code, output.String())
	}
}

func TestMissingProgramsFail(t *testing.T) {
	var output, complaints bytes.Buffer
	if code := run([]string{"--steps", "1", "--binaries", t.TempDir()}, &output, &complaints); code != 1 || !strings.Contains(complaints.String(), "no such file") {
		t.Fatalf("ended with %d: %q", code, complaints.String())
	}
}
