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

// execution is a run with the life that ran it.
type execution struct {
	standin.Execution
	life *runnerLife
}

// violation reports a violated rule.
func (chaos *chaosRun) violation(rule, text string, values ...any) {
	chaos.t.Errorf("%s: %s", rule, fmt.Sprintf(text, values...))
}

// touch reports whether a front was in contact with control nodes and stores at a time.
func (chaos *chaosRun) touch(life *frontLife, at time.Time) bool {
	from := at.Add(-inTouch)
	return !slices.ContainsFunc(chaos.outages, func(one *outageSpan) bool {
		return (one.where == "core" || one.where == life.machine.Host) && one.from.Before(at) && (one.to.IsZero() || one.to.After(from))
	})
}

// services returns the services that an order's routing allows a path to go to; found is
// false if it has no route for it.
func (order *routingChange) services(path string) (services []string, found bool) {
	route, found := order.judged.Match(RoutedHost, path)
	if !found {
		return nil, false
	}
	for _, share := range route.Shares {
		services = append(services, share.Service)
	}
	return services, true
}

func mayRepeat(request forwarding.Request) bool {
	return !strings.HasPrefix(request.Path, "/order/") && !strings.HasPrefix(request.Path, "/talk/kept/")
}

func (chaos *chaosRun) check() {
	chaos.mutex.Lock()
	defer chaos.mutex.Unlock()
	runs := map[string][]execution{}
	for _, life := range chaos.runners {
		for _, one := range life.engine.Executions() {
			runs[one.RequestID] = append(runs[one.RequestID], execution{one, life})
		}
		chaos.checkWarmUp(life)
	}
	chaos.checkExecutions(runs)
	spent, served, all := map[string]uint64{}, 0, 0
	for name, sent := range chaos.sent {
		if sent.answer == nil {
			chaos.violation("LOST", "%s was never ended", name)
			continue
		}
		slices.SortFunc(runs[name], func(left, right execution) int { return left.At.Compare(right.At) })
		chaos.checkAnswer(sent, runs[name])
		if sent.request.HasOutputBudget {
			spent[sent.request.Program] += 4 * uint64(strings.Count(string(sent.answer.Body), "data: "))
		}
		if !strings.HasPrefix(sent.request.Path, "/only-") {
			if all++; sent.answer.Complete() {
				served++
			}
		}
	}
	for name, tokens := range spent {
		if tokens > chaos.budgets[name]+turnTokens {
			chaos.violation("BUDGET", "%s was handed %d tokens of %d", name, tokens, chaos.budgets[name])
		}
	}
	chaos.checkRefilled(runs)
	turned := 0
	for _, life := range chaos.runners {
		turned += life.engine.Misdirected()
	}
	chaos.t.Logf("%d of %d tries were served, %d programs, %d routings, %d runners, %d misdirected", served, all, len(spent), len(chaos.orders), len(chaos.runners), turned)
	if all < 500 || served*2 < all {
		chaos.violation("RECOVER", "only %d of %d tries were served", served, all)
	}
}

// checkExecutions checks all executions, by the IDs of their requests.
func (chaos *chaosRun) checkExecutions(runs map[string][]execution) {
	for name, ran := range runs {
		sent, found := chaos.sent[name]
		if !found {
			if !strings.HasPrefix(name, "ready-") {
				chaos.violation("UNASKED", "%s ran and was never asked", name)
			}
			continue
		}
		for _, one := range ran {
			chaos.checkExecution(sent, one)
		}
	}
}

// checkWarmUp counts the requests that a runner got in each second of its warm-up.
func (chaos *chaosRun) checkWarmUp(life *runnerLife) {
	came := life.engine.Arrivals()
	for first := range came {
		at := slices.IndexFunc(life.warmingUp, func(span warmUpSpan) bool {
			return !came[first].Before(span.judged) && came[first].Add(time.Second).Before(span.until)
		})
		last := first
		for last < len(came) && came[last].Sub(came[first]) < time.Second {
			last++
		}
		if at >= 0 && last-first > warmUpMax {
			chaos.violation("FAILBACK", "runner %s of %s, cold since %s (listed at %s), got %d in a second from %s on", life.engine.Incarnation, life.group,
				life.warmingUp[at].from.Format("05.000"), life.listedAt.Format("05.000"), last-first, came[first].Format("05.000"))
			return
		}
	}
}

// checkExecution checks one execution of a request that was sent.
func (chaos *chaosRun) checkExecution(sent *sentRequest, one execution) {
	chaos.checkExecutedRequest(sent, one)
	chaos.checkExecutedRoute(sent, one)
	request, name := sent.request, sent.request.Name
	touch := chaos.touch(sent.front, one.At)
	if left := one.life.leavingAt; touch && !left.IsZero() && one.At.Sub(left) > drainBound {
		chaos.violation("DRAIN", "%s ran at %s %s after it was leaving", name, one.life.engine.Incarnation, one.At.Sub(left))
	}
	for _, span := range chaos.drained {
		if touch && span.domain == one.life.machine.Domain && one.At.Sub(span.drained) > drainedDomainBound && one.At.Before(span.refilled) {
			chaos.violation("EVAC", "%s ran in %s %s after it was emptied", name, span.domain, one.At.Sub(span.drained))
		}
	}
	if chaos.touch(sent.front, sent.at) && touch && !chaos.obeys(sent, one.At, func(services []string, found bool) bool {
		return found && slices.Contains(services, one.life.group)
	}) {
		chaos.violation("CONFIG", "%s %s, asked at %s, ran at %s as only an older routing allows", name, request.Path, sent.at.Format("05.000"), one.life.group)
	}
}

// checkExecutedRequest checks that the request that ran is the one that was sent.
func (chaos *chaosRun) checkExecutedRequest(sent *sentRequest, one execution) {
	request, name := sent.request, sent.request.Name
	want := sent.chain + string(request.Body)
	if !strings.HasPrefix(request.Path, "/talk/kept/") {
		want = string(request.Body)
	}
	if one.Method != request.Method || one.Target != request.Path || one.Body != want || one.Header.Get("X-Other") != "goes along" {
		chaos.violation("UNASKED", "%s ran as %s %s %q, want %s %s %q", name, one.Method, one.Target, one.Body, request.Method, request.Path, want)
	}
}

// checkExecutedRoute checks that some routing allowed to run it at a runner of that group.
func (chaos *chaosRun) checkExecutedRoute(sent *sentRequest, one execution) {
	request, name := sent.request, sent.request.Name
	allowed := false
	for _, order := range chaos.orders {
		services, _ := order.services(pathOf(request))
		allowed = allowed || !order.refused && order.sent.Before(one.At) && slices.Contains(services, one.life.group)
	}
	if !allowed {
		chaos.violation("ROUTE", "%s %s ran at a runner of %s, which no routing allows", name, request.Path, one.life.group)
	}
}

// obeys reports whether a routing that was in force handles a request that way.
func (chaos *chaosRun) obeys(sent *sentRequest, ended time.Time, way func(services []string, found bool) bool) bool {
	floor := uint64(0)
	for _, order := range chaos.orders {
		if !order.acked.IsZero() && sent.at.Sub(order.acked) > applyBound {
			floor = max(floor, order.revision)
		}
	}
	return slices.ContainsFunc(chaos.orders, func(order *routingChange) bool {
		services, found := order.services(pathOf(sent.request))
		return order.revision >= floor && !order.refused && order.sent.Before(ended) && way(services, found)
	})
}

// checkAnswer checks the answer that a caller got.
func (chaos *chaosRun) checkAnswer(sent *sentRequest, runs []execution) {
	request, name, answer := sent.request, sent.request.Name, sent.answer
	if !mayRepeat(request) {
		if len(runs) > 1 {
			chaos.violation("TWICE", "%s %s ran %d times", name, request.Path, len(runs))
		}
		if answer.Rejected() && len(runs) > 0 {
			chaos.violation("REFUSED", "%s %s was refused (%v) and ran", name, request.Path, answer.Err)
		}
	}
	if apierror.Is(answer.Err, apierror.QuotaExhausted) {
		chaos.checkExhausted(sent, runs)
	}
	if apierror.Is(answer.Err, apierror.NotFound) && answer.Status == 0 {
		chaos.checkNotFound(sent, runs)
	}
	if answer.Status != 0 {
		chaos.checkBody(sent, runs)
	}
	chaos.checkDrained(sent, runs)
}

// checkDrained checks that requests that were in flight when their front began to drain are
// answered completely.
func (chaos *chaosRun) checkDrained(sent *sentRequest, runs []execution) {
	request, name, answer := sent.request, sent.request.Name, sent.answer
	if left := sent.front.left; !left.IsZero() && sent.at.Before(left) && sent.back.After(left) && answer.Err != nil && len(runs) > 0 && !sent.left &&
		chaos.touch(sent.front, sent.at) && chaos.touch(sent.front, sent.back) && sent.back.Before(request.Deadline.Add(-500*time.Millisecond)) &&
		!slices.ContainsFunc(runs, func(one execution) bool { return one.Fault != standin.NoFault || !one.life.endedAt.IsZero() }) {
		chaos.violation("LOST", "%s %s was broken off while its front left in order: %v", name, request.Path, answer.Err)
	}
}

func (chaos *chaosRun) checkExhausted(sent *sentRequest, runs []execution) {
	if len(runs) > 0 {
		chaos.violation("REFUSED", "%s was refused for its allowance and ran", sent.request.Name)
	}
	maximum := uint64(0)
	for _, other := range chaos.sent {
		if other.request.Program == sent.request.Program && other.request.HasOutputBudget && !other.at.After(sent.back) {
			maximum += turnTokens
		}
	}
	if maximum <= sent.request.OutputBudget {
		chaos.violation("DENIED", "%s was refused for its allowance of %d, of which %d can be spent", sent.request.Name, sent.request.OutputBudget, maximum)
	}
}

func (chaos *chaosRun) checkNotFound(sent *sentRequest, runs []execution) {
	name, path := sent.request.Name, sent.request.Path
	if strings.HasPrefix(path, "/talk/") || strings.HasPrefix(path, "/lookup/") || strings.HasPrefix(path, "/order/") {
		if followed := chaos.sent[sent.request.Follows]; followed != nil {
			chaos.violation("LOST", "%s: %s, answered whole at %s, is told unknown at %s: %v", name, sent.request.Follows, followed.back.Format("05.000"), sent.back.Format("05.000"), sent.answer.Err)
		} else {
			chaos.violation("DENIED", "%s %s has a route: %v", name, path, sent.answer.Err)
		}
		return
	}
	if len(runs) > 0 {
		chaos.violation("DENIED", "%s %s ran and was told to have no route", name, path)
	}
	if chaos.touch(sent.front, sent.at) && chaos.touch(sent.front, sent.back) && !chaos.obeys(sent, sent.back, func(_ []string, found bool) bool { return !found }) {
		chaos.violation("CONFIG", "%s %s, asked at %s, was told to have no route, as only an older routing allows", name, path, sent.at.Format("05.000"))
	}
}

// checkBody compares an answer that began with what its runners executed.
func (chaos *chaosRun) checkBody(sent *sentRequest, runs []execution) {
	request, name, answer := sent.request, sent.request.Name, sent.answer
	seal := answer.Header.Get("Seal")
	at := slices.IndexFunc(runs, func(one execution) bool { return one.life.engine.Incarnation+"/"+name == seal })
	if at < 0 {
		chaos.violation("MIXED", "%s was answered %d under the seal %q", name, answer.Status, seal)
		return
	}
	first := runs[at]
	status := map[standin.Fault]int{standin.FaultServerError: http.StatusInternalServerError, standin.FaultUnprocessable: http.StatusUnprocessableEntity}[first.Fault]
	if status == 0 {
		status = http.StatusOK
	}
	if answer.Status != status || first.Fault == standin.FaultWrongID || first.Fault == standin.FaultGarbledAnswer || first.Fault == standin.FaultLoseAnswer {
		chaos.violation("MIXED", "%s was answered %d by a runner that %s", name, answer.Status, first.Fault)
	}
	want := "done " + name
	switch {
	case status != http.StatusOK:
		want = ""
	case strings.HasPrefix(request.Path, "/talk/") && first.Fault != standin.FaultPlainAnswer && first.Fault != standin.FaultExtraAnswer:
		want = streamOf(first.Body)
	}
	if !strings.HasPrefix(want, string(answer.Body)) || answer.Err == nil && string(answer.Body) != want {
		chaos.violation("ORDER", "%s was answered (%v)\n%s\nwant\n%s", name, answer.Err, answer.Body, want)
	}
}

// checkRefilled detects fronts that went back to an older routing: a route that only one routing
// has shows which one is in force.
func (chaos *chaosRun) checkRefilled(runs map[string][]execution) {
	for _, front := range chaos.fronts {
		seen, seenAt := uint64(0), time.Time{}
		probes := []*sentRequest{}
		for _, sent := range chaos.sent {
			if sent.front == front && strings.HasPrefix(sent.request.Path, "/only-") && sent.answer != nil {
				probes = append(probes, sent)
			}
		}
		slices.SortFunc(probes, func(left, right *sentRequest) int { return left.at.Compare(right.at) })
		for _, sent := range probes {
			var revision uint64
			fmt.Sscanf(sent.request.Path, "/only-%d/", &revision)
			ran := runs[sent.request.Name]
			if len(ran) > 0 && revision < seen && sent.at.Sub(seenAt) > answerSlack {
				chaos.violation("CONFIG", "%s goes back from %d to %d: %s ran", front.machine.Host, seen, revision, sent.request.Name)
			}
			if len(ran) > 0 && revision > seen {
				seen, seenAt = revision, ran[0].At
			}
		}
	}
}
