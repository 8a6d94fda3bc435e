package simulator

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/apierror"
	"yardrock.example/system/forwarding"
)

// execution is an execution of a request and the runner process that ran it.
type execution struct {
	standin.Execution
	runner *runnerProcess
}

// violation fails the test because a rule is violated.
func (chaos *chaosRun) violation(rule, format string, arguments ...any) {
	chaos.t.Errorf("%s: %s", rule, fmt.Sprintf(format, arguments...))
}

// inContact reports whether a front was connected to control nodes and stores at a time, and had
// been for reconnectBound. Only then is it expected to know the current state.
func (chaos *chaosRun) inContact(process *frontProcess, at time.Time) bool {
	from := at.Add(-reconnectBound)
	return !slices.ContainsFunc(chaos.outages, func(outage *outageSpan) bool {
		return (outage.where == "core" || outage.where == process.machine.Host) && outage.from.Before(at) && (outage.to.IsZero() || outage.to.After(from))
	})
}

// services returns the services to which the routing may send requests for a path; found is false
// if no route matches.
func (change *routingChange) services(path string) (services []string, found bool) {
	route, found := change.indexed.Match(RoutedHost, path)
	if !found {
		return nil, false
	}
	for _, share := range route.Shares {
		services = append(services, share.Service)
	}
	return services, true
}

// mayRepeat reports whether a request may be executed more than once.
func mayRepeat(request forwarding.Request) bool {
	return !strings.HasPrefix(request.Path, "/order/") && !strings.HasPrefix(request.Path, "/talk/kept/")
}

// check compares all requests, answers and executions of the run and reports each violation.
func (chaos *chaosRun) check() {
	chaos.mutex.Lock()
	defer chaos.mutex.Unlock()
	executions := map[string][]execution{}
	for _, process := range chaos.runners {
		for _, executed := range process.engine.Executions() {
			executions[executed.RequestID] = append(executions[executed.RequestID], execution{executed, process})
		}
		chaos.checkWarmUp(process)
	}
	chaos.checkExecutions(executions)
	delivered, served, total := map[string]uint64{}, 0, 0
	for name, sent := range chaos.sent {
		if sent.answer == nil {
			chaos.violation("LOST", "%s got no answer", name)
			continue
		}
		slices.SortFunc(executions[name], func(left, right execution) int { return left.At.Compare(right.At) })
		chaos.checkAnswer(sent, executions[name])
		if sent.request.HasOutputBudget {
			delivered[sent.request.Program] += 4 * uint64(strings.Count(string(sent.answer.Body), "data: "))
		}
		if !strings.HasPrefix(sent.request.Path, "/only-") {
			if total++; sent.answer.Complete() {
				served++
			}
		}
	}
	for name, tokens := range delivered {
		if tokens > chaos.budgets[name]+turnTokens {
			chaos.violation("BUDGET", "%s received %d tokens of a budget of %d", name, tokens, chaos.budgets[name])
		}
	}
	chaos.checkRevisionOrder(executions)
	misdirected := 0
	for _, process := range chaos.runners {
		misdirected += process.engine.Misdirected()
	}
	chaos.t.Logf("%d of %d requests succeeded; %d programs, %d routings, %d runners, %d misdirected requests", served, total, len(delivered), len(chaos.routingChanges), len(chaos.runners), misdirected)
	if total < 500 || served*2 < total {
		chaos.violation("RECOVER", "only %d of %d requests succeeded", served, total)
	}
}

// checkExecutions checks all executions; they are grouped by request ID.
func (chaos *chaosRun) checkExecutions(executions map[string][]execution) {
	for name, ofRequest := range executions {
		sent, found := chaos.sent[name]
		if !found {
			if !strings.HasPrefix(name, "ready-") {
				chaos.violation("UNASKED", "%s was executed but never sent", name)
			}
			continue
		}
		for _, executed := range ofRequest {
			chaos.checkExecution(sent, executed)
		}
	}
}

// checkWarmUp checks that a runner got at most warmUpMax requests in each second of its warm-up.
func (chaos *chaosRun) checkWarmUp(process *runnerProcess) {
	arrivals := process.engine.Arrivals()
	for first := range arrivals {
		index := slices.IndexFunc(process.warmingUp, func(span warmUpSpan) bool {
			return !arrivals[first].Before(span.checkedFrom) && arrivals[first].Add(time.Second).Before(span.until)
		})
		last := first
		for last < len(arrivals) && arrivals[last].Sub(arrivals[first]) < time.Second {
			last++
		}
		if index >= 0 && last-first > warmUpMax {
			chaos.violation("FAILBACK", "runner %s of %s, warming up since %s (listed at %s), got %d requests in the second from %s on", process.engine.Incarnation, process.group,
				process.warmingUp[index].from.Format("05.000"), process.listedAt.Format("05.000"), last-first, arrivals[first].Format("05.000"))
			return
		}
	}
}

// checkExecution checks one execution against its request, the routings and the drained runners
// and domains.
func (chaos *chaosRun) checkExecution(sent *sentRequest, executed execution) {
	chaos.checkExecutedRequest(sent, executed)
	chaos.checkExecutedRoute(sent, executed)
	request, name := sent.request, sent.request.ID
	connected := chaos.inContact(sent.front, executed.At)
	if drainingSince := executed.runner.drainingSince; connected && !drainingSince.IsZero() && executed.At.Sub(drainingSince) > drainBound {
		chaos.violation("DRAIN", "%s ran at runner %s %s after it began to drain", name, executed.runner.engine.Incarnation, executed.At.Sub(drainingSince))
	}
	for _, span := range chaos.drainedSpans {
		if connected && span.domain == executed.runner.machine.Domain && executed.At.Sub(span.drained) > drainedDomainBound && executed.At.Before(span.refilled) {
			chaos.violation("EVAC", "%s ran in domain %s %s after it was drained", name, span.domain, executed.At.Sub(span.drained))
		}
	}
	if chaos.inContact(sent.front, sent.sentAt) && connected && !chaos.followsRoutingInForce(sent, executed.At, func(services []string, found bool) bool {
		return found && slices.Contains(services, executed.runner.group)
	}) {
		chaos.violation("CONFIG", "%s %s, sent at %s, ran at a runner of %s, which only an outdated routing allows", name, request.Path, sent.sentAt.Format("05.000"), executed.runner.group)
	}
}

// checkExecutedRequest checks that the executed request equals the one that was sent.
func (chaos *chaosRun) checkExecutedRequest(sent *sentRequest, executed execution) {
	request, name := sent.request, sent.request.ID
	want := sent.history + string(request.Body)
	if !strings.HasPrefix(request.Path, "/talk/kept/") {
		want = string(request.Body)
	}
	if executed.Method != request.Method || executed.Target != request.Path || executed.Body != want || executed.Header.Get("X-Other") != "goes along" {
		chaos.violation("UNASKED", "%s ran as %s %s %q, want %s %s %q", name, executed.Method, executed.Target, executed.Body, request.Method, request.Path, want)
	}
}

// checkExecutedRoute checks that a routing sent before the execution allows a runner of that group.
func (chaos *chaosRun) checkExecutedRoute(sent *sentRequest, executed execution) {
	request, name := sent.request, sent.request.ID
	allowed := false
	for _, change := range chaos.routingChanges {
		services, _ := change.services(pathOf(request))
		allowed = allowed || !change.rejected && change.sentAt.Before(executed.At) && slices.Contains(services, executed.runner.group)
	}
	if !allowed {
		chaos.violation("ROUTE", "%s %s ran at a runner of %s, which no routing allows", name, request.Path, executed.runner.group)
	}
}

// followsRoutingInForce reports whether handles accepts the services of some routing that may have
// been in force between the sending of the request and until.
func (chaos *chaosRun) followsRoutingInForce(sent *sentRequest, until time.Time, handles func(services []string, found bool) bool) bool {
	minRevision := uint64(0)
	for _, change := range chaos.routingChanges {
		if !change.ackedAt.IsZero() && sent.sentAt.Sub(change.ackedAt) > applyBound {
			minRevision = max(minRevision, change.revision)
		}
	}
	return slices.ContainsFunc(chaos.routingChanges, func(change *routingChange) bool {
		services, found := change.services(pathOf(sent.request))
		return change.revision >= minRevision && !change.rejected && change.sentAt.Before(until) && handles(services, found)
	})
}

// checkAnswer checks a caller's answer against the executions of the request.
func (chaos *chaosRun) checkAnswer(sent *sentRequest, executions []execution) {
	request, name, answer := sent.request, sent.request.ID, sent.answer
	if !mayRepeat(request) {
		if len(executions) > 1 {
			chaos.violation("TWICE", "%s %s was executed %d times", name, request.Path, len(executions))
		}
		if answer.Rejected() && len(executions) > 0 {
			chaos.violation("REFUSED", "%s %s was rejected (%v) but executed", name, request.Path, answer.Err)
		}
	}
	if apierror.Is(answer.Err, apierror.QuotaExhausted) {
		chaos.checkExhausted(sent, executions)
	}
	if apierror.Is(answer.Err, apierror.NotFound) && answer.Status == 0 {
		chaos.checkNotFound(sent, executions)
	}
	if answer.Status != 0 {
		chaos.checkBody(sent, executions)
	}
	chaos.checkDrained(sent, executions)
}

// checkDrained checks that requests that were in flight when their front began to drain got a
// complete answer.
func (chaos *chaosRun) checkDrained(sent *sentRequest, executions []execution) {
	request, name, answer := sent.request, sent.request.ID, sent.answer
	if drainingSince := sent.front.drainingSince; !drainingSince.IsZero() && sent.sentAt.Before(drainingSince) && sent.endedAt.After(drainingSince) && answer.Err != nil && len(executions) > 0 && !sent.cancelled &&
		chaos.inContact(sent.front, sent.sentAt) && chaos.inContact(sent.front, sent.endedAt) && sent.endedAt.Before(request.Deadline.Add(-500*time.Millisecond)) &&
		!slices.ContainsFunc(executions, func(executed execution) bool {
			return executed.Fault != standin.NoFault || !executed.runner.stoppedAt.IsZero()
		}) {
		chaos.violation("LOST", "%s %s was interrupted while its front drained: %v", name, request.Path, answer.Err)
	}
}

// checkExhausted checks that a request was rejected for its budget only if the program can have
// spent it.
func (chaos *chaosRun) checkExhausted(sent *sentRequest, executions []execution) {
	if len(executions) > 0 {
		chaos.violation("REFUSED", "%s was rejected for its budget but executed", sent.request.ID)
	}
	maximum := uint64(0)
	for _, other := range chaos.sent {
		if other.request.Program == sent.request.Program && other.request.HasOutputBudget && !other.sentAt.After(sent.endedAt) {
			maximum += turnTokens
		}
	}
	if maximum <= sent.request.OutputBudget {
		chaos.violation("DENIED", "%s was rejected for its budget of %d, of which at most %d can be spent", sent.request.ID, sent.request.OutputBudget, maximum)
	}
}

// checkNotFound checks that a route or a followed turn was reported as unknown only if it can be.
func (chaos *chaosRun) checkNotFound(sent *sentRequest, executions []execution) {
	name, path := sent.request.ID, sent.request.Path
	if strings.HasPrefix(path, "/talk/") || strings.HasPrefix(path, "/lookup/") || strings.HasPrefix(path, "/order/") {
		if followed := chaos.sent[sent.request.Follows]; followed != nil {
			chaos.violation("LOST", "%s: %s, answered completely at %s, is reported as unknown at %s: %v", name, sent.request.Follows, followed.endedAt.Format("05.000"), sent.endedAt.Format("05.000"), sent.answer.Err)
		} else {
			chaos.violation("DENIED", "%s %s has a route but was rejected: %v", name, path, sent.answer.Err)
		}
		return
	}
	if len(executions) > 0 {
		chaos.violation("DENIED", "%s %s was executed but rejected for lack of a route", name, path)
	}
	if chaos.inContact(sent.front, sent.sentAt) && chaos.inContact(sent.front, sent.endedAt) && !chaos.followsRoutingInForce(sent, sent.endedAt, func(_ []string, found bool) bool { return !found }) {
		chaos.violation("CONFIG", "%s %s, sent at %s, was rejected for lack of a route, which only an outdated routing allows", name, path, sent.sentAt.Format("05.000"))
	}
}

// checkBody checks that an answer that began is the one of the runner named in its Seal header.
func (chaos *chaosRun) checkBody(sent *sentRequest, executions []execution) {
	request, name, answer := sent.request, sent.request.ID, sent.answer
	seal := answer.Header.Get("Seal")
	index := slices.IndexFunc(executions, func(executed execution) bool { return executed.runner.engine.Incarnation+"/"+name == seal })
	if index < 0 {
		chaos.violation("MIXED", "%s was answered %d with the Seal header %q", name, answer.Status, seal)
		return
	}
	executed := executions[index]
	status := map[standin.Fault]int{standin.FaultServerError: http.StatusInternalServerError, standin.FaultUnprocessable: http.StatusUnprocessableEntity}[executed.Fault]
	if status == 0 {
		status = http.StatusOK
	}
	if answer.Status != status || executed.Fault == standin.FaultWrongID || executed.Fault == standin.FaultGarbledAnswer || executed.Fault == standin.FaultLoseAnswer {
		chaos.violation("MIXED", "%s was answered %d by a runner with the fault %s", name, answer.Status, executed.Fault)
	}
	want := "done " + name
	switch {
	case status != http.StatusOK:
		want = ""
	case strings.HasPrefix(request.Path, "/talk/") && executed.Fault != standin.FaultPlainAnswer && executed.Fault != standin.FaultExtraAnswer:
		want = streamOf(executed.Body)
	}
	if !strings.HasPrefix(want, string(answer.Body)) || answer.Err == nil && string(answer.Body) != want {
		chaos.violation("ORDER", "%s was answered (%v)\n%s\nwant\n%s", name, answer.Err, answer.Body, want)
	}
}

// checkRevisionOrder checks that no front goes back to an older routing. An execution of a probe of
// a route that exists in one routing shows which routing the front used.
func (chaos *chaosRun) checkRevisionOrder(executions map[string][]execution) {
	for _, front := range chaos.fronts {
		newest, newestAt := uint64(0), time.Time{}
		probes := []*sentRequest{}
		for _, sent := range chaos.sent {
			if sent.front == front && strings.HasPrefix(sent.request.Path, "/only-") && sent.answer != nil {
				probes = append(probes, sent)
			}
		}
		slices.SortFunc(probes, func(left, right *sentRequest) int { return left.sentAt.Compare(right.sentAt) })
		for _, sent := range probes {
			var revision uint64
			fmt.Sscanf(sent.request.Path, "/only-%d/", &revision)
			ofRequest := executions[sent.request.ID]
			if len(ofRequest) > 0 && revision < newest && sent.sentAt.Sub(newestAt) > answerSlack {
				chaos.violation("CONFIG", "front %s went back from revision %d to %d: %s was executed", front.machine.Host, newest, revision, sent.request.ID)
			}
			if len(ofRequest) > 0 && revision > newest {
				newest, newestAt = revision, ofRequest[0].At
			}
		}
	}
}
