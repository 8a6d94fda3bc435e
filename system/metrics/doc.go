// Package metrics collects the figures of a process and serves them as text in the format of
// Prometheus.
//
// A process that is asked for its figures opens one Registry and hands it to its node, and the
// parts of the node report to it: package front its requests and its balancer, package replica
// the replicas of stores and control nodes. Without a Registry nothing is collected. Counters and
// histograms are updated as things happen; gauges are read when the figures are asked for.
//
// The names are a contract with the operators' dashboards; docs/operators.md has them.
package metrics
