package modelcheck

import (
	"strings"
	"testing"
	"time"
)

// TestRandomWalksKeepAllInvariants runs random walks with random groups and faults.
func TestRandomWalksKeepAllInvariants(t *testing.T) {
	report := Walk(WalkOptions{FirstSeed: 1, Count: 1200, Steps: 400, Time: time.Minute, Workers: 2})
	if violation := report.Violation; violation != nil {
		t.Fatalf("seed %d: %s: %s\n%s", report.ViolationSeed, violation.Invariant, violation.Detail, strings.Join(violation.Trace, "\n"))
	}
	t.Logf("%d walks, %d steps, %+v, %v in %.1f s", report.Walks, report.Steps, report.Outcomes, report.Actions, report.Seconds)
	outcomes := report.Outcomes
	if outcomes.Elections < 1000 || outcomes.Commits < 1000 || outcomes.ConfirmedReads < 1000 || outcomes.Changes < 100 || outcomes.Restores < 100 {
		t.Errorf("walks had too few effects: %+v", outcomes)
	}
}
