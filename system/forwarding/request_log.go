package forwarding

import (
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/balancer"
)

// Stage is a phase of a request's time in a front. Stages are ordered as a request passes
// through them.
type Stage int

// The stages of a request.
const (
	// StageReceive is from Request.ReceivedAt to the call of Serve.
	StageReceive Stage = iota
	// StageView is the wait for a fresh view.
	StageView
	// StageRateLimit is the wait for a token of the tenant's rate limit.
	StageRateLimit
	// StageBeginTurn is the commit that records the start of a turn.
	StageBeginTurn
	// StageQueue is the wait for a runner that can accept the request.
	StageQueue
	// StageHead is from the choice of the runner to the response head, including the wait for
	// a connection.
	StageHead
	// StageFirstEvent is from the response head to the first event, or until a non-streaming
	// response has been buffered.
	StageFirstEvent
	// StageStream is from the first event to the last.
	StageStream
	// StageEndTurn is the commit of the turn end, or of the response to an operation, that the client
	// waits for.
	StageEndTurn

	stageCount
)

// String returns the name of the stage in logs and metrics.
func (stage Stage) String() string { return stageNames[stage] }

var stageNames = [stageCount]string{"receive", "view", "rate_limit", "begin", "queue", "head", "first_event", "stream", "end"}

// RequestRecord describes an ended request for logs and metrics.
type RequestRecord struct {
	// Route is the name of the matched route, empty if none matched.
	Route string
	// Outcome is OutcomeComplete or the kind of the error that ended the request.
	Outcome apierror.Kind
	// Stages is the time spent in each stage, summed over all attempts.
	Stages [stageCount]time.Duration
	// Total is the time from Request.ReceivedAt to the end of the response.
	Total time.Duration
}

// OutcomeComplete is the outcome of a request whose response was relayed completely.
const OutcomeComplete apierror.Kind = "complete"

// stageTimer measures the stages of a request. Only the goroutine that called Serve uses it.
type stageTimer struct {
	stageStart time.Time
	stages     [stageCount]time.Duration
}

// end ends a stage now: the time since the end of the previous one is added to it.
func (timer *stageTimer) end(stage Stage) { timer.endAt(stage, time.Now()) }

// endAt is end at a given time.
func (timer *stageTimer) endAt(stage Stage, at time.Time) {
	if at.After(timer.stageStart) {
		timer.stages[stage] += at.Sub(timer.stageStart)
		timer.stageStart = at
	}
}

// observe passes the record of an ended request to Settings.Observe, and logs it if
// Settings.LogRequests is set.
func (forwarder *Forwarder) observe(exchange *exchange, err error) {
	record := RequestRecord{Outcome: OutcomeComplete, Stages: exchange.timer.stages, Total: time.Since(exchange.ReceivedAt)}
	if exchange.route != nil {
		record.Route = exchange.route.Name
	}
	if err != nil {
		record.Outcome = apierror.Of(err).Kind
	}
	if forwarder.settings.Observe != nil {
		forwarder.settings.Observe(&record)
	}
	if forwarder.settings.LogRequests {
		forwarder.logRequest(exchange, &record, err)
	}
}

// logRequest writes the log line of a request.
func (forwarder *Forwarder) logRequest(exchange *exchange, record *RequestRecord, err error) {
	fields := log.Fields{
		"node": forwarder.settings.Node, "request": exchange.ID, "route": record.Route, "program": exchange.Program, "session": exchange.Session,
		"outcome": record.Outcome, "total_ms": record.Total.Milliseconds(), "attempts": exchange.sendCount, "tokens": exchange.stream.tokens,
		"left_ms": time.Until(exchange.deadline).Milliseconds(),
	}
	if !exchange.FinishBy.IsZero() {
		fields["program_left_ms"] = time.Until(exchange.FinishBy).Milliseconds()
	}
	for stage, spent := range record.Stages {
		if spent >= time.Millisecond {
			fields[stageNames[stage]+"_ms"] = spent.Milliseconds()
		}
	}
	if lease := exchange.lastLease; lease != nil {
		addLeaseFields(fields, lease.Describe())
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	log.WithFields(fields).Info("request ended")
}

// addLeaseFields adds the inputs of the runner choice.
func addLeaseFields(fields log.Fields, choice balancer.Choice) {
	fields["service"], fields["runner"], fields["local"] = choice.Service, choice.Runner, choice.Local
	fields["prompt_tokens"], fields["prefill_tokens"] = choice.PromptTokens, choice.PrefillTokens
	fields["runner_in_flight"], fields["runner_load"], fields["slow_start"] = choice.InFlight, choice.EstimatedLoad, choice.SlowStart
}
