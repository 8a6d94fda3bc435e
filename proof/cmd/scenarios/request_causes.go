package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// stageOrder is the order of the stages in tables, that of their names in the fronts.
var stageOrder = []string{"receive", "view", "begin", "queue", "head", "first_event", "stream", "end"}

// absentCause stands for the time in which a program had no request at any front: its client
// waited, or could not reach one.
const absentCause = "no request at a front"

// completeOutcome is the outcome of a request that was answered.
const completeOutcome = "complete"

// stageTable shows the mean time of each stage of model requests, in milliseconds, by when they
// came.
func stageTable(lines []requestLine, window time.Duration) string {
	byWindow := map[time.Duration][]requestLine{}
	for _, line := range lines {
		if line.tokens > 0 {
			begin := line.startedAt().Truncate(window)
			byWindow[begin] = append(byWindow[begin], line)
		}
	}
	table := &strings.Builder{}
	fmt.Fprintf(table, "| from s | turns | not complete | total | %s | prompt tokens | expected to prefill |\n", strings.Join(stageOrder, " | "))
	fmt.Fprintf(table, "|%s\n", strings.Repeat(" --- |", len(stageOrder)+6))
	for _, begin := range slices.Sorted(maps.Keys(byWindow)) {
		group := byWindow[begin]
		fmt.Fprintf(table, "| %g | %d | %d | %.0f", begin.Seconds(), len(group), countIncomplete(group), meanOf(group, func(line requestLine) float64 { return milliseconds(line.total) }))
		for _, stage := range stageOrder {
			fmt.Fprintf(table, " | %.0f", meanOf(group, func(line requestLine) float64 { return milliseconds(line.stages[stage]) }))
		}
		fmt.Fprintf(table, " | %.0f | %.0f |\n", meanOf(group, func(line requestLine) float64 { return float64(line.tokens) }), meanOf(group, func(line requestLine) float64 { return float64(line.prefill) }))
	}
	return table.String()
}

// countIncomplete counts the requests that were not answered.
func countIncomplete(lines []requestLine) int {
	incomplete := 0
	for _, line := range lines {
		if line.outcome != completeOutcome {
			incomplete++
		}
	}
	return incomplete
}

// meanOf returns the mean of a value of each request.
func meanOf(lines []requestLine, value func(requestLine) float64) float64 {
	sum := 0.0
	for _, line := range lines {
		sum += value(line)
	}
	return sum / float64(max(1, len(lines)))
}

// milliseconds returns a duration in milliseconds.
func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// programHistory is all requests of a program, in the order in which they came.
type programHistory struct {
	lines []requestLine
}

// causeCount is how many programs were late by a cause, and how much of their time it took.
type causeCount struct {
	cause    string
	programs int
	excess   time.Duration
}

// causeTable shows what the programs that ended late lost their time to. The cause of each is
// the stage on which its requests spent most beyond the median of their route, or the time
// without a request beyond the median of all programs.
func causeTable(lines []requestLine) string {
	programs := programsOf(lines)
	typical := medianStages(lines)
	typicalAbsence := medianAbsence(programs)
	counts := map[string]*causeCount{}
	late := 0
	for _, program := range programs {
		if !program.late() {
			continue
		}
		late++
		cause, excess := program.mainCause(typical, typicalAbsence)
		if counts[cause] == nil {
			counts[cause] = &causeCount{cause: cause}
		}
		counts[cause].programs++
		counts[cause].excess += excess
	}
	table := &strings.Builder{}
	fmt.Fprintf(table, "%d of %d programs ended after their time.\n\n| most time lost to | programs | lost, mean ms |\n| --- | --- | --- |\n", late, len(programs))
	ordered := slices.SortedFunc(maps.Values(counts), func(left, right *causeCount) int {
		return cmp.Or(cmp.Compare(right.programs, left.programs), cmp.Compare(left.cause, right.cause))
	})
	for _, count := range ordered {
		fmt.Fprintf(table, "| %s | %d | %.0f |\n", count.cause, count.programs, milliseconds(count.excess)/float64(count.programs))
	}
	return table.String()
}

// programsOf groups the requests that belong to programs.
func programsOf(lines []requestLine) []programHistory {
	byName := map[string]*programHistory{}
	var names []string
	for _, line := range lines {
		if line.program == "" || !line.hasProgramLeft {
			continue
		}
		if byName[line.program] == nil {
			byName[line.program] = &programHistory{}
			names = append(names, line.program)
		}
		byName[line.program].lines = append(byName[line.program].lines, line)
	}
	programs := make([]programHistory, 0, len(names))
	for _, name := range names {
		program := *byName[name]
		slices.SortFunc(program.lines, func(left, right requestLine) int { return cmp.Compare(left.startedAt(), right.startedAt()) })
		programs = append(programs, program)
	}
	return programs
}

// late reports whether the program's time was over when its last request ended.
func (program programHistory) late() bool {
	last := slices.MaxFunc(program.lines, func(left, right requestLine) int { return cmp.Compare(left.endedAt, right.endedAt) })
	return last.programLeft < 0
}

// absence returns how long the program had no request at any front, between its first and last.
func (program programHistory) absence() time.Duration {
	absent, reached := time.Duration(0), program.lines[0].startedAt()
	for _, line := range program.lines {
		absent += max(0, line.startedAt()-reached)
		reached = max(reached, line.endedAt)
	}
	return absent
}

// stageKey is a stage of the requests of a route.
type stageKey struct{ route, stage string }

// medianStages returns the median time of each stage of each route.
func medianStages(lines []requestLine) map[stageKey]time.Duration {
	times := map[stageKey][]time.Duration{}
	for _, line := range lines {
		for _, stage := range stageOrder {
			key := stageKey{line.route, stage}
			times[key] = append(times[key], line.stages[stage])
		}
	}
	medians := map[stageKey]time.Duration{}
	for key, values := range times {
		slices.Sort(values)
		medians[key] = values[len(values)/2]
	}
	return medians
}

// medianAbsence returns the median of the programs' absence for each request that they sent.
func medianAbsence(programs []programHistory) time.Duration {
	var absences []time.Duration
	for _, program := range programs {
		absences = append(absences, program.absence()/time.Duration(len(program.lines)))
	}
	if len(absences) == 0 {
		return 0
	}
	slices.Sort(absences)
	return absences[len(absences)/2]
}

// mainCause returns what the program lost most time to, and how much.
func (program programHistory) mainCause(typical map[stageKey]time.Duration, typicalAbsence time.Duration) (cause string, excess time.Duration) {
	cause, excess = absentCause, program.absence()-typicalAbsence*time.Duration(len(program.lines))
	for _, stage := range stageOrder {
		lost := time.Duration(0)
		for _, line := range program.lines {
			lost += max(0, line.stages[stage]-typical[stageKey{line.route, stage}])
		}
		if lost > excess {
			cause, excess = stage, lost
		}
	}
	return cause, excess
}
