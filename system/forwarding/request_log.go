package forwarding

import (
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/balancer"
)

// Stage is a part of the time that a request spends in a front, in the order of its way
// through the filters.
type Stage int

// The stages of a request.
const (
	// StageReceive is from the first byte of the request until Serve was called.
	StageReceive Stage = iota
	// StageView is the wait for a view that may be acted on.
	StageView
	// StageBegin is the commit that records the begin of a turn.
	StageBegin
	// StageQueue is the wait for a runner that can take the request.
	StageQueue
	// StageHead is from the choice of the runner to the head of its response, with the wait
	// for a connection.
	StageHead
	// StageFirstEvent is from the head of the response to its first event, or to the end of
	// a response that is no stream.
	StageFirstEvent
	// StageStream is from the first event to the last.
	StageStream
	// StageEnd is the commit that records the end of a turn before its caller sees it.
	StageEnd

	stageCount
)

// String returns the name of the stage in logs and metrics.
func (stage Stage) String() string { return stageNames[stage] }

var stageNames = [stageCount]string{"receive", "view", "begin", "queue", "head", "first_event", "stream", "end"}

// RequestRecord is what is known of a request once it has ended, for logs and metrics.
type RequestRecord struct {
	// Route is the name of the matched route; "" if there is none.
	Route string
	// Outcome is "complete", or the kind of the error that ended the request.
	Outcome apierror.Kind
	// Stages is the time spent in each stage. Retries add to the stages they repeat.
	Stages [stageCount]time.Duration
	// Total is the time from the first byte of the request to the end of the response.
	Total time.Duration
}

// OutcomeComplete is the outcome of a request whose response was relayed completely.
const OutcomeComplete apierror.Kind = "complete"

// stopwatch attributes the time of a request to stages. It is used by the goroutine that
// called Serve only.
type stopwatch struct {
	last   time.Time
	stages [stageCount]time.Duration
}

// end attributes the time since the last call to a stage.
func (watch *stopwatch) end(stage Stage) { watch.endAt(stage, time.Now()) }

// endAt attributes the time from the last call until a given time to a stage.
func (watch *stopwatch) endAt(stage Stage, at time.Time) {
	if at.After(watch.last) {
		watch.stages[stage] += at.Sub(watch.last)
		watch.last = at
	}
}

// observe reports a request that has ended to Settings.Observe, and logs it if
// Settings.LogRequests is set.
func (forwarder *Forwarder) observe(exchange *exchange, err error) {
	record := RequestRecord{Outcome: OutcomeComplete, Stages: exchange.watch.stages, Total: time.Since(exchange.ReceivedAt)}
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

// logRequest writes the one log line of a request.
func (forwarder *Forwarder) logRequest(exchange *exchange, record *RequestRecord, err error) {
	fields := log.Fields{
		"node": forwarder.settings.Node, "request": exchange.Name, "route": record.Route, "program": exchange.Program, "session": exchange.Session,
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

// addLeaseFields adds what the choice of the runner rested on.
func addLeaseFields(fields log.Fields, choice balancer.Choice) {
	fields["service"], fields["runner"], fields["local"] = choice.Service, choice.Runner, choice.Local
	fields["prompt_tokens"], fields["prefill_tokens"] = choice.PromptTokens, choice.PrefillTokens
	fields["runner_in_flight"], fields["runner_load"], fields["slow_start"] = choice.InFlight, choice.EstimatedLoad, choice.SlowStart
}
