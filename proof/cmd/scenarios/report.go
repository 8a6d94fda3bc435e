package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// report holds the fields that are used of the bench's report on one scenario.
type report struct {
	Score  float64        `json:"G"`      // 0 to 1
	Served float64        `json:"served"` // fraction of requests served
	Fault  any            `json:"fault"`  // why the scenario does not count; nil if it does
	Breaks map[string]any `json:"breaks"` // violations by rule
	Missed []any          `json:"missed"` // obligations that the system missed
	// GateFailures are the reasons, other than broken rules, why the scenario fails the gate.
	GateFailures []string `json:"short"`
}

// result is the outcome of a task.
type result struct {
	task
	report report
	// runError explains why there is no report; "" if there is one.
	runError string
}

// failed reports whether the scenario broke a rule, does not count, failed the gate or was not
// run.
func (result result) failed() bool {
	report := result.report
	return result.runError != "" || len(report.Breaks) > 0 || report.Fault != nil || len(report.GateFailures) > 0
}

// failureReasons lists the broken rules with their counts, then the other reasons why the task
// failed; "-" if there are none.
func (result result) failureReasons() string {
	if result.runError != "" {
		return "not run: " + result.runError
	}
	var reasons []string
	for rule, count := range result.report.Breaks {
		reasons = append(reasons, fmt.Sprintf("%s %v", rule, count))
	}
	slices.Sort(reasons)
	reasons = append(reasons, result.report.GateFailures...)
	if result.report.Fault != nil && len(result.report.GateFailures) == 0 {
		reasons = append(reasons, fmt.Sprintf("fault: %v", result.report.Fault))
	}
	if len(reasons) == 0 {
		return "-"
	}
	return strings.Join(reasons, ", ")
}

// readReport decodes the bench's report on one scenario.
func readReport(path string) (report, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return report{}, err
	}
	var parsed report
	if err := json.Unmarshal(text, &parsed); err != nil {
		return report{}, fmt.Errorf("%s: %w", path, err)
	}
	return parsed, nil
}

// tableHeader is the header of the table whose rows tableRow formats.
const tableHeader = "site                                 scenario            score  served  missed  rules broken"

// tableRow formats a result. The row of a failed task ends with the files needed to run it
// again.
func tableRow(result result) string {
	siteName := strings.TrimSuffix(filepath.Base(result.site), ".toml")
	line := fmt.Sprintf("%-36s %-18s %6.3f  %6.3f  %6d  %s", siteName, result.name,
		result.report.Score, result.report.Served, len(result.report.Missed), result.failureReasons())
	if result.failed() {
		line += fmt.Sprintf("  (%s on %s)", result.file, result.site)
	}
	return line
}
