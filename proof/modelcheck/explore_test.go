package modelcheck

import (
	"strings"
	"testing"
	"time"
)

// TestScenariosKeepAllInvariants searches each scenario exhaustively up to its depth.
func TestScenariosKeepAllInvariants(t *testing.T) {
	for _, scenario := range Scenarios() {
		t.Run(scenario.Name, func(t *testing.T) {
			result := Explore(scenario, Budget{Depth: scenario.Depth, States: 1 << 20, Time: time.Minute, Workers: 2})
			if violation := result.Violation; violation != nil {
				t.Fatalf("%s: %s\n%s", violation.Invariant, violation.Detail, strings.Join(violation.Trace, "\n"))
			}
			if result.Depth < scenario.Depth && !result.Exhausted {
				t.Errorf("search reached depth %d, want %d", result.Depth, scenario.Depth)
			}
			t.Logf("depth %d, %d states, %d transitions, %+v in %.1f s", result.Depth, result.States, result.Transitions, result.Outcomes, result.Seconds)
		})
	}
}
