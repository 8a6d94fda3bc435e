package fleet

import (
	"fmt"
	"sync"
)

// Verdicts count, for each rule of the brief, how often there was something to judge
// and how often it was broken.
type Verdicts struct {
	mutex   sync.Mutex
	Checked map[string]int
	Broken  []string
}

// NewVerdicts makes empty verdicts.
//
//	verdicts := fleet.NewVerdicts()
func NewVerdicts() *Verdicts { return &Verdicts{Checked: map[string]int{}} }

// Judge notes one look at a rule; a format tells how it was broken.
//
//	verdicts.Judge("leaving", late == 0, "%s got %d queries", runner, late)
func (verdicts *Verdicts) Judge(rule string, kept bool, format string, arguments ...any) {
	verdicts.mutex.Lock()
	defer verdicts.mutex.Unlock()
	verdicts.Checked[rule]++
	if !kept {
		verdicts.Broken = append(verdicts.Broken, rule+": "+fmt.Sprintf(format, arguments...))
	}
}

// Untested lists those of the rules that never had anything to judge.
//
//	missing := verdicts.Untested([]string{"leaving", "cold"})
func (verdicts *Verdicts) Untested(rules []string) []string {
	verdicts.mutex.Lock()
	defer verdicts.mutex.Unlock()
	missing := []string{}
	for _, rule := range rules {
		if verdicts.Checked[rule] == 0 {
			missing = append(missing, rule)
		}
	}
	return missing
}
