package front

import (
	"yardrock.example/system/balancer"
	"yardrock.example/system/forwarding"
	"yardrock.example/system/metrics"
)

// requestObserver returns a function that counts forwarded requests by route and outcome, and
// observes their total time and that of each stage; nil without a registry.
func requestObserver(registry *metrics.Registry) func(*forwarding.RequestRecord) {
	if registry == nil {
		return nil
	}
	return func(record *forwarding.RequestRecord) {
		registry.Count("requests_total", metrics.Label{Name: "route", Value: record.Route}, metrics.Label{Name: "outcome", Value: string(record.Outcome)})
		registry.Observe("request_seconds", record.Total.Seconds())
		for stage, spent := range record.Stages {
			if spent > 0 {
				registry.Observe("request_stage_seconds", spent.Seconds(), metrics.Label{Name: "stage", Value: forwarding.Stage(stage).String()})
			}
		}
	}
}

// runnerStates has the predicates of the states by which usable runners are counted.
var runnerStates = map[string]func(balancer.RunnerStatus) bool{
	"usable":      func(balancer.RunnerStatus) bool { return true },
	"slow_start":  func(runner balancer.RunnerStatus) bool { return runner.SlowStart },
	"ejected":     func(runner balancer.RunnerStatus) bool { return runner.Ejected },
	"unconfirmed": func(runner balancer.RunnerStatus) bool { return runner.Unconfirmed },
}

// publishBalancer adds gauges of the queued requests and of the usable runners by state to a
// registry.
func publishBalancer(registry *metrics.Registry, status func() balancer.Status) {
	registry.Gauge("queued_requests", func() float64 { return float64(status().Queued) })
	for state, matches := range runnerStates {
		registry.Gauge("runners", func() float64 {
			count := 0
			for _, runner := range status().Runners {
				if matches(runner) {
					count++
				}
			}
			return float64(count)
		}, metrics.Label{Name: "state", Value: state})
	}
}
