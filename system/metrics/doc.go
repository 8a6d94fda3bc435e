// Package metrics collects the metrics of a process and serves them in the Prometheus text format.
//
// A process that is configured to serve metrics opens one Registry and passes it to its node.
// Package front reports its requests and its balancer, package replica the replicas of stores and
// control nodes. Without a Registry nothing is collected. Counters and histograms are updated when
// an event occurs; gauges are read on each scrape.
//
// Operators' dashboards depend on the metric names; docs/operators.md lists them.
package metrics
