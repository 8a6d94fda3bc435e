package replica

import (
	"sync/atomic"

	"yardrock.example/system/metrics"
	"yardrock.example/system/raft"
)

// hostFigures count what a host has done since it was opened. The loop and the disk goroutine
// write them, any goroutine reads them.
type hostFigures struct {
	electionsWon   atomic.Uint64
	syncs          atomic.Uint64
	logMemoryBytes atomic.Int64 // of entries that were applied since the last snapshots, as of the last tick
}

// publishFigures adds the figures of the host to a registry: how many groups are here, are led here and
// know no leader; elections won, and disk jobs that were made durable, each with one sync or with
// a snapshot file; and the bytes of entries that stay in memory until the next snapshots.
func (host *Host) publishFigures(registry *metrics.Registry) {
	host.publishCount(registry, "groups", func(raft.Status) bool { return true })
	host.publishCount(registry, "groups_led", func(status raft.Status) bool { return status.Leading })
	host.publishCount(registry, "groups_without_leader", func(status raft.Status) bool { return status.Leader == "" })
	registry.Gauge("elections_won_total", func() float64 { return float64(host.figures.electionsWon.Load()) })
	registry.Gauge("disk_jobs_total", func() float64 { return float64(host.figures.syncs.Load()) })
	registry.Gauge("log_memory_bytes", func() float64 { return float64(host.figures.logMemoryBytes.Load()) })
}

// publishCount adds the number of the groups here that a function counts.
func (host *Host) publishCount(registry *metrics.Registry, name string, counts func(raft.Status) bool) {
	registry.Gauge(name, func() float64 {
		groups := 0
		for _, status := range host.Statuses() {
			if counts(status) {
				groups++
			}
		}
		return float64(groups)
	})
}
