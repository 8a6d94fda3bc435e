package modelcheck

import (
	"encoding/json"
	"io"
	"time"
)

// Report is the result of a run of the model checker.
type Report struct {
	// Commit is the revision of the checked code.
	Commit       string        `json:"commit"`
	StartTime    time.Time     `json:"began"`
	Workers      int           `json:"workers"`
	Explorations []Exploration `json:"explorations"`
	Walks        WalkReport    `json:"walks"`
	Seconds      float64       `json:"seconds"`
}

// Violations returns all invariant violations of a run.
func (report Report) Violations() []*Violation {
	found := []*Violation{}
	for _, exploration := range report.Explorations {
		if exploration.Violation != nil {
			found = append(found, exploration.Violation)
		}
	}
	if report.Walks.Violation != nil {
		found = append(found, report.Walks.Violation)
	}
	return found
}

// Write encodes the report as indented JSON.
func (report Report) Write(output io.Writer) error {
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}
