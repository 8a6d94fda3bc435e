package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// stageOrder lists the stages of a request as the fronts name and order them.
var stageOrder = []string{"receive", "view", "begin", "queue", "head", "first_event", "stream", "end"}

// noRequestCause is the cause of delay for the time in which a program had no request at any
// front, because its client waited or could not reach one.
const noRequestCause = "no request at a front"

// completeOutcome is the outcome of a request with a complete response.
const completeOutcome = "complete"

// stageTable formats the mean time in milliseconds of each stage of model requests, grouped by the
// window in which they arrived.
func stageTable(lines []requestLine, window time.Duration) string {
	byWindow := map[time.Duration][]requestLine{}
	for _, line := range lines {
		if line.promptTokens > 0 {
			start := line.startedAt().Truncate(window)
			byWindow[start] = append(byWindow[start], line)
		}
	}
	table := &strings.Builder{}
	fmt.Fprintf(table, "| from (s) | model requests | incomplete | total | %s | prompt tokens | prefill tokens |\n", strings.Join(stageOrder, " | "))
	fmt.Fprintf(table, "|%s\n", strings.Repeat(" --- |", len(stageOrder)+6))
	for _, start := range slices.Sorted(maps.Keys(byWindow)) {
		group := byWindow[start]
		fmt.Fprintf(table, "| %g | %d | %d | %.0f", start.Seconds(), len(group), countIncomplete(group), meanOf(group, func(line requestLine) float64 { return milliseconds(line.total) }))
		for _, stage := range stageOrder {
			fmt.Fprintf(table, " | %.0f", meanOf(group, func(line requestLine) float64 { return milliseconds(line.stages[stage]) }))
		}
		fmt.Fprintf(table, " | %.0f | %.0f |\n", meanOf(group, func(line requestLine) float64 { return float64(line.promptTokens) }), meanOf(group, func(line requestLine) float64 { return float64(line.prefillTokens) }))
	}
	return table.String()
}

// countIncomplete counts the requests without a complete response.
func countIncomplete(lines []requestLine) int {
	incomplete := 0
	for _, line := range lines {
		if line.outcome != completeOutcome {
			incomplete++
		}
	}
	return incomplete
}

// meanOf returns the mean of a value over the requests; 0 if there are none.
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

// programHistory holds all requests of a program in order of arrival.
type programHistory struct {
	lines []requestLine
}

// causeCount is the number of late programs with the same main cause and the time they lost to it.
type causeCount struct {
	cause    string
	programs int
	excess   time.Duration
}

// causeTable counts late programs by main cause: the stage in which their requests exceeded the
// median of their route by most, or the time without a request if that exceeded the median of all
// programs by more.
func causeTable(lines []requestLine) string {
	programs := groupByProgram(lines)
	medians := medianStages(lines)
	medianGap := medianGapTime(programs)
	counts := map[string]*causeCount{}
	late := 0
	for _, program := range programs {
		if !program.late() {
			continue
		}
		late++
		cause, excess := program.mainCause(medians, medianGap)
		if counts[cause] == nil {
			counts[cause] = &causeCount{cause: cause}
		}
		counts[cause].programs++
		counts[cause].excess += excess
	}
	table := &strings.Builder{}
	fmt.Fprintf(table, "%d of %d programs missed their deadline.\n\n| main cause | programs | mean loss (ms) |\n| --- | --- | --- |\n", late, len(programs))
	ordered := slices.SortedFunc(maps.Values(counts), func(left, right *causeCount) int {
		return cmp.Or(cmp.Compare(right.programs, left.programs), cmp.Compare(left.cause, right.cause))
	})
	for _, count := range ordered {
		fmt.Fprintf(table, "| %s | %d | %.0f |\n", count.cause, count.programs, milliseconds(count.excess)/float64(count.programs))
	}
	return table.String()
}

// groupByProgram groups requests by program. Requests without a program or without its remaining
// time are ignored.
func groupByProgram(lines []requestLine) []programHistory {
	byName := map[string]*programHistory{}
	var names []string
	for _, line := range lines {
		if line.program == "" || !line.hasProgramTimeLeft {
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

// late reports whether the program's deadline had passed when its last request ended.
func (program programHistory) late() bool {
	last := slices.MaxFunc(program.lines, func(left, right requestLine) int { return cmp.Compare(left.endedAt, right.endedAt) })
	return last.programTimeLeft < 0
}

// gapTime returns the time between the program's first and last request in which it had no
// request at any front.
func (program programHistory) gapTime() time.Duration {
	total, busyUntil := time.Duration(0), program.lines[0].startedAt()
	for _, line := range program.lines {
		total += max(0, line.startedAt()-busyUntil)
		busyUntil = max(busyUntil, line.endedAt)
	}
	return total
}

// stageKey identifies a stage of the requests of a route.
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

// medianGapTime returns the median over all programs of the gap time per request.
func medianGapTime(programs []programHistory) time.Duration {
	var gapTimes []time.Duration
	for _, program := range programs {
		gapTimes = append(gapTimes, program.gapTime()/time.Duration(len(program.lines)))
	}
	if len(gapTimes) == 0 {
		return 0
	}
	slices.Sort(gapTimes)
	return gapTimes[len(gapTimes)/2]
}

// mainCause returns the cause to which the program lost most time, and the time lost.
func (program programHistory) mainCause(medians map[stageKey]time.Duration, medianGap time.Duration) (cause string, excess time.Duration) {
	cause, excess = noRequestCause, program.gapTime()-medianGap*time.Duration(len(program.lines))
	for _, stage := range stageOrder {
		lost := time.Duration(0)
		for _, line := range program.lines {
			lost += max(0, line.stages[stage]-medians[stageKey{line.route, stage}])
		}
		if lost > excess {
			cause, excess = stage, lost
		}
	}
	return cause, excess
}
