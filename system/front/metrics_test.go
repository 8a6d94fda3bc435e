package front

import (
	"strings"
	"testing"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/balancer"
	"yardrock.example/system/forwarding"
	"yardrock.example/system/metrics"
)

// wantMetrics checks that the text output of a registry contains each line.
func wantMetrics(t *testing.T, registry *metrics.Registry, lines ...string) {
	t.Helper()
	text := &strings.Builder{}
	registry.Write(text)
	for _, line := range lines {
		if !strings.Contains(text.String(), line+"\n") {
			t.Errorf("%q is missing in\n%s", line, text)
		}
	}
}

func TestRequestsAreCountedByRouteOutcomeAndStage(t *testing.T) {
	registry := metrics.NewRegistry()
	observe := requestObserver(registry)
	record := forwarding.RequestRecord{Route: "chat", Outcome: forwarding.OutcomeComplete, Total: 300 * time.Millisecond}
	record.Stages[forwarding.StageQueue] = 40 * time.Millisecond
	observe(&record)
	observe(&record)
	observe(&forwarding.RequestRecord{Route: "chat", Outcome: apierror.NotRun})
	wantMetrics(t, registry,
		`yardrock_requests_total{route="chat",outcome="complete"} 2`,
		`yardrock_requests_total{route="chat",outcome="`+string(apierror.NotRun)+`"} 1`,
		`yardrock_request_seconds_count 3`,
		`yardrock_request_stage_seconds_bucket{stage="queue",le="0.05"} 2`,
		`yardrock_request_stage_seconds_count{stage="queue"} 2`)
	if requestObserver(nil) != nil {
		t.Error("got an observer without a registry")
	}
}

func TestRunnersAreCountedByState(t *testing.T) {
	registry := metrics.NewRegistry()
	publishBalancer(registry, func() balancer.Status {
		return balancer.Status{Queued: 3, Runners: []balancer.RunnerStatus{{SlowStart: true}, {Ejected: true}, {}, {Ejected: true}}}
	})
	wantMetrics(t, registry, "yardrock_queued_requests 3",
		`yardrock_runners{state="usable"} 4`, `yardrock_runners{state="slow_start"} 1`, `yardrock_runners{state="ejected"} 2`)
}
