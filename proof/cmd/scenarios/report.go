package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// report is what is read of the bench's report on one scenario.
type report struct {
	Score  float64        `json:"G"`      // 0 to 1
	Served float64        `json:"served"` // share of the requests
	Fault  any            `json:"fault"`  // why the scenario counts nothing; nil if it counts
	Breaks map[string]any `json:"breaks"` // counts by broken rule
	Missed []any          `json:"missed"` // missed duties
	// GateFailures are the reasons, other than broken rules, why the gate is failed.
	GateFailures []string `json:"short"`
}

// result is how a task went.
type result struct {
	task
	report report
	// failure says why there is no report; "" if there is one.
	failure string
}

// broken reports whether a rule was broken, the scenario counts nothing, fails the gate or was
// not played.
func (played result) broken() bool {
	found := played.report
	return played.failure != "" || len(found.Breaks) > 0 || found.Fault != nil || len(found.GateFailures) > 0
}

// rules lists the broken rules with their counts and all other reasons of broken; "-" for none.
func (played result) rules() string {
	if played.failure != "" {
		return "not played: " + played.failure
	}
	var reasons []string
	for rule, count := range played.report.Breaks {
		reasons = append(reasons, fmt.Sprintf("%s %v", rule, count))
	}
	slices.Sort(reasons)
	reasons = append(reasons, played.report.GateFailures...)
	if played.report.Fault != nil && len(played.report.GateFailures) == 0 {
		reasons = append(reasons, fmt.Sprintf("fault: %v", played.report.Fault))
	}
	if len(reasons) == 0 {
		return "-"
	}
	return strings.Join(reasons, ", ")
}

// readReport reads the bench's report on one scenario.
func readReport(path string) (report, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return report{}, err
	}
	var read report
	if err := json.Unmarshal(text, &read); err != nil {
		return report{}, fmt.Errorf("%s: %w", path, err)
	}
	return read, nil
}

// tableHead is the head of the table whose lines tableLine makes.
const tableHead = "site                                 scenario            score  served  missed  rules broken"

// tableLine is a result as a line of the table. A broken one ends with the files that play it
// again.
func tableLine(played result) string {
	siteName := strings.TrimSuffix(filepath.Base(played.site), ".toml")
	line := fmt.Sprintf("%-36s %-18s %6.3f  %6.3f  %6d  %s", siteName, played.name,
		played.report.Score, played.report.Served, len(played.report.Missed), played.rules())
	if played.broken() {
		line += fmt.Sprintf("  (%s on %s)", played.file, played.site)
	}
	return line
}
