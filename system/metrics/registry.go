package metrics

import (
	"io"
	"strconv"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// namePrefix begins the name of every figure.
const namePrefix = "yardrock_"

// Label tells apart figures of one name.
type Label struct{ Name, Value string }

// Registry has the figures of one process. It is safe for concurrent use. Names are given
// without the prefix that all figures have.
type Registry struct {
	set *metrics.Set
}

// NewRegistry returns a registry without figures.
//
//	registry := metrics.NewRegistry()
func NewRegistry() *Registry { return &Registry{set: metrics.NewSet()} }

// Count adds one to a counter. By convention its name ends in _total.
//
//	registry.Count("requests_total", metrics.Label{"route", route.Name})
func (registry *Registry) Count(name string, labels ...Label) {
	registry.set.GetOrCreateCounter(fullName(name, labels)).Inc()
}

// Observe adds a value to a histogram with the default buckets of Prometheus, which suit
// durations in seconds.
//
//	registry.Observe("request_seconds", took.Seconds())
func (registry *Registry) Observe(name string, value float64, labels ...Label) {
	registry.set.GetOrCreatePrometheusHistogram(fullName(name, labels)).Update(value)
}

// Gauge adds a figure that is read whenever the figures are asked for, from any goroutine. Each
// may be added once.
//
//	registry.Gauge("groups", func() float64 { return float64(len(host.Statuses())) })
func (registry *Registry) Gauge(name string, read func() float64, labels ...Label) {
	registry.set.NewGauge(fullName(name, labels), read)
}

// Write writes all figures, and those of the Go runtime and the process.
//
//	registry.Write(os.Stdout)
func (registry *Registry) Write(target io.Writer) {
	registry.set.WritePrometheus(target)
	metrics.WriteProcessMetrics(target)
}

// fullName returns a name with its prefix and labels, as the text format has it.
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
