package fleet

import (
	"fmt"
	"sync"
)

// RuleChecks counts the checks of each rule of the requirements and lists the violations. Its
// methods are safe for concurrent use.
type RuleChecks struct {
	mutex      sync.Mutex
	Checked    map[string]int
	Violations []string
}

// NewRuleChecks returns an empty RuleChecks.
//
//	checks := fleet.NewRuleChecks()
func NewRuleChecks() *RuleChecks { return &RuleChecks{Checked: map[string]int{}} }

// Check records one check of a rule. If the rule does not hold, it adds a violation with the
// formatted text.
//
//	checks.Check("leaving", lateCount == 0, "%s received %d requests", runner, lateCount)
func (checks *RuleChecks) Check(rule string, holds bool, format string, arguments ...any) {
	checks.mutex.Lock()
	defer checks.mutex.Unlock()
	checks.Checked[rule]++
	if !holds {
		checks.Violations = append(checks.Violations, rule+": "+fmt.Sprintf(format, arguments...))
	}
}

// Untested returns those of the rules that were never checked.
//
//	untested := checks.Untested([]string{"leaving", "cold"})
func (checks *RuleChecks) Untested(rules []string) []string {
	checks.mutex.Lock()
	defer checks.mutex.Unlock()
	untested := []string{}
	for _, rule := range rules {
		if checks.Checked[rule] == 0 {
			untested = append(untested, rule)
		}
	}
	return untested
}
