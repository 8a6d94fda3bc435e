package fleet

import (
	"fmt"
	"sync"
)

// RuleChecks count, for each rule of the brief, how often there was something to judge
// and how often it was broken.
type RuleChecks struct {
	mutex      sync.Mutex
	Checked    map[string]int
	Violations []string
}

// NewRuleChecks makes empty verdicts.
//
//	verdicts := fleet.NewRuleChecks()
func NewRuleChecks() *RuleChecks { return &RuleChecks{Checked: map[string]int{}} }

// Check notes one look at a rule; a format tells how it was broken.
//
//	verdicts.Check("leaving", late == 0, "%s got %d queries", runner, late)
func (checks *RuleChecks) Check(rule string, holds bool, format string, arguments ...any) {
	checks.mutex.Lock()
	defer checks.mutex.Unlock()
	checks.Checked[rule]++
	if !holds {
		checks.Violations = append(checks.Violations, rule+": "+fmt.Sprintf(format, arguments...))
	}
}

// Untested lists those of the rules that never had anything to judge.
//
//	missing := verdicts.Untested([]string{"leaving", "cold"})
func (checks *RuleChecks) Untested(rules []string) []string {
	checks.mutex.Lock()
	defer checks.mutex.Unlock()
	missing := []string{}
	for _, rule := range rules {
		if checks.Checked[rule] == 0 {
			missing = append(missing, rule)
		}
	}
	return missing
}
