package metrics

import (
	"io"
	"strconv"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// namePrefix is the prefix of every metric name.
const namePrefix = "yardrock_"

// Label distinguishes metrics with the same name.
type Label struct{ Name, Value string }

// Registry holds the metrics of one process. It is safe for concurrent use. Its methods add
// namePrefix to the names that they are given.
type Registry struct {
	set *metrics.Set
}

// NewRegistry returns an empty registry.
//
//	registry := metrics.NewRegistry()
func NewRegistry() *Registry { return &Registry{set: metrics.NewSet()} }

// Count increments a counter. By convention its name ends in _total.
//
//	registry.Count("requests_total", metrics.Label{"route", route.Name})
func (registry *Registry) Count(name string, labels ...Label) {
	registry.set.GetOrCreateCounter(fullName(name, labels)).Inc()
}

// Observe adds a value to a histogram with the default Prometheus buckets, which suit durations in
// seconds.
//
//	registry.Observe("request_seconds", took.Seconds())
func (registry *Registry) Observe(name string, value float64, labels ...Label) {
	registry.set.GetOrCreatePrometheusHistogram(fullName(name, labels)).Update(value)
}

// Gauge registers a gauge. Every scrape calls read, from any goroutine. A gauge may be registered
// only once.
//
//	registry.Gauge("groups", func() float64 { return float64(len(host.Statuses())) })
func (registry *Registry) Gauge(name string, read func() float64, labels ...Label) {
	registry.set.NewGauge(fullName(name, labels), read)
}

// Write writes all metrics, including those of the Go runtime and the process.
//
//	registry.Write(os.Stdout)
func (registry *Registry) Write(writer io.Writer) {
	registry.set.WritePrometheus(writer)
	metrics.WriteProcessMetrics(writer)
}

// fullName returns a name with prefix and labels in the text format.
func fullName(name string, labels []Label) string {
	if len(labels) == 0 {
		return namePrefix + name
	}
	pairs := make([]string, 0, len(labels))
	for _, label := range labels {
		pairs = append(pairs, label.Name+"="+strconv.Quote(label.Value))
	}
	return namePrefix + name + "{" + strings.Join(pairs, ",") + "}"
}
