package fleet

import (
	"fmt"
	"sync"
)

// RuleChecks counts the checks of each rule of the users' brief and lists the violations. Its
// methods are safe for concurrent use.
type RuleChecks struct {
	mutex      sync.Mutex
	Checked    map[string]int
	Violations []string
}

// NewRuleChecks returns checks without any result.
//
//	verdicts := fleet.NewRuleChecks()
func NewRuleChecks() *RuleChecks { return &RuleChecks{Checked: map[string]int{}} }

// Check records one check of a rule. If the rule does not hold, the formatted text says how it was
// violated.
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

// Untested lists those of the rules that were never checked.
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
