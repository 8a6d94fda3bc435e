package scale

import (
	"time"

	"github.com/prometheus/procfs"

	"yardrock.example/system/wire"
)

// Usage is the cumulative resource usage of a process at one time.
type Usage struct {
	At         time.Time
	CPUSeconds float64 // CPU time, user and system
	Memory     float64 // resident memory, MiB
	Peak       float64 // peak resident memory, MiB
	Traffic    []wire.TrafficByKind
}

// UsageOf reads a process's CPU time and memory from /proc. Traffic is left empty.
//
//	usage, err := scale.UsageOf(os.Getpid())
func UsageOf(id int) (Usage, error) {
	process, err := procfs.NewProc(id)
	if err != nil {
		return Usage{}, err
	}
	stat, err := process.Stat()
	if err != nil {
		return Usage{}, err
	}
	status, err := process.NewStatus()
	if err != nil {
		return Usage{}, err
	}
	return Usage{At: time.Now(), CPUSeconds: stat.CPUTime(), Memory: float64(status.VmRSS) / (1 << 20), Peak: float64(status.VmHWM) / (1 << 20)}, nil
}

// Rate is the mean resource usage of a process between two samples.
type Rate struct {
	Cores       float64            `json:"cores"`
	Memory      float64            `json:"memory_mib"`
	Peak        float64            `json:"peak_mib"`
	Messages    float64            `json:"messages_per_s"` // queries sent and received
	BytesOut    float64            `json:"bytes_out_per_s"`
	BytesIn     float64            `json:"bytes_in_per_s"`
	BytesByKind map[string]float64 `json:"kinds,omitempty"` // bytes per second in both directions, by kind of query
}

// RateOf returns the mean usage per second between two samples, with the memory of the second.
//
//	rate := scale.RateOf(before, after)
func RateOf(before, after Usage) Rate {
	seconds := after.At.Sub(before.At).Seconds()
	rate := Rate{Cores: (after.CPUSeconds - before.CPUSeconds) / seconds, Memory: after.Memory, Peak: after.Peak, BytesByKind: map[string]float64{}}
	previous := map[string]wire.TrafficByKind{}
	for _, kind := range before.Traffic {
		previous[kind.Kind] = kind
	}
	for _, kind := range after.Traffic {
		base := previous[kind.Kind]
		out, in := float64(kind.BytesOut-base.BytesOut)/seconds, float64(kind.BytesIn-base.BytesIn)/seconds
		rate.Messages += float64(kind.QueriesSent+kind.QueriesReceived-base.QueriesSent-base.QueriesReceived) / seconds
		rate.BytesOut += out
		rate.BytesIn += in
		if out+in > 0 {
			rate.BytesByKind[kind.Kind] = out + in
		}
	}
	return rate
}

// maxMemoryShare is the share of the machine's memory that a run may use.
const maxMemoryShare = 0.5

// machineMemory returns the size of the machine's memory in MiB.
func machineMemory() (float64, error) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return 0, err
	}
	info, err := fs.Meminfo()
	if err != nil {
		return 0, err
	}
	return float64(*info.MemTotal) / 1024, nil
}

// cpuTime is the busy and total CPU time of the machine in seconds, over all cores and programs.
// Load from other programs inflates measured latencies.
type cpuTime struct{ busy, total float64 }

func readCPUTime() (cpuTime, error) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return cpuTime{}, err
	}
	stat, err := fs.Stat()
	if err != nil {
		return cpuTime{}, err
	}
	total := stat.CPUTotal
	busy := total.User + total.Nice + total.System + total.IRQ + total.SoftIRQ + total.Steal
	return cpuTime{busy: busy, total: busy + total.Idle + total.Iowait}, nil
}

// busySince returns the busy share of the CPU time since an earlier sample.
func (now cpuTime) busySince(before cpuTime) float64 {
	if now.total <= before.total {
		return 0
	}
	return (now.busy - before.busy) / (now.total - before.total)
}
