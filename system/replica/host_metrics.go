package replica

import (
	"sync/atomic"

	"yardrock.example/system/metrics"
	"yardrock.example/system/raft"
)

// hostStats are the metrics of a host since it was opened. The loop and the disk goroutine
// update them, and any goroutine may read them.
type hostStats struct {
	electionsWon   atomic.Uint64
	completedJobs  atomic.Uint64
	logMemoryBytes atomic.Int64 // entries applied since the last snapshots, as of the last tick
}

// registerMetrics adds the metrics of the host to a registry: the number of groups on this node,
// led by this node and without a known leader; the elections won; the disk jobs made durable,
// each with one sync or one snapshot file; and the bytes of entries kept in memory until the
// next snapshots.
func (host *Host) registerMetrics(registry *metrics.Registry) {
	host.registerGroupGauge(registry, "groups", func(raft.Status) bool { return true })
	host.registerGroupGauge(registry, "groups_led", func(status raft.Status) bool { return status.Leading })
	host.registerGroupGauge(registry, "groups_without_leader", func(status raft.Status) bool { return status.Leader == "" })
	registry.Gauge("elections_won_total", func() float64 { return float64(host.stats.electionsWon.Load()) })
	registry.Gauge("disk_jobs_total", func() float64 { return float64(host.stats.completedJobs.Load()) })
	registry.Gauge("log_memory_bytes", func() float64 { return float64(host.stats.logMemoryBytes.Load()) })
}

// registerGroupGauge adds a gauge of the number of groups whose status matches.
func (host *Host) registerGroupGauge(registry *metrics.Registry, name string, matches func(raft.Status) bool) {
	registry.Gauge(name, func() float64 {
		groups := 0
		for _, status := range host.Statuses() {
			if matches(status) {
				groups++
			}
		}
		return float64(groups)
	})
}
