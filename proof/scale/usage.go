package scale

import (
	"time"

	"github.com/prometheus/procfs"

	"yardrock.example/system/wire"
)

// Usage is what one process has used up to a time.
type Usage struct {
	At      time.Time
	Seconds float64 // of processor time, user and system
	Memory  float64 // MiB resident
	Peak    float64 // MiB resident at most
	Traffic []wire.TrafficByKind
}

// UsageOf reads a process's processor time and memory from /proc.
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
	return Usage{At: time.Now(), Seconds: stat.CPUTime(), Memory: float64(status.VmRSS) / (1 << 20), Peak: float64(status.VmHWM) / (1 << 20)}, nil
}

// Rate is what a process used in a second between two samples.
type Rate struct {
	Cores    float64            `json:"cores"`
	Memory   float64            `json:"memory_mib"`
	Peak     float64            `json:"peak_mib"`
	Messages float64            `json:"messages_per_s"` // queries asked and answered
	BytesOut float64            `json:"bytes_out_per_s"`
	BytesIn  float64            `json:"bytes_in_per_s"`
	Kinds    map[string]float64 `json:"kinds,omitempty"` // bytes a second, both ways, by kind of query
}

// RateOf returns the usage in a second between two samples.
//
//	rate := scale.RateOf(before, after)
func RateOf(before, after Usage) Rate {
	seconds := after.At.Sub(before.At).Seconds()
	rate := Rate{Cores: (after.Seconds - before.Seconds) / seconds, Memory: after.Memory, Peak: after.Peak, Kinds: map[string]float64{}}
	known := map[string]wire.TrafficByKind{}
	for _, kind := range before.Traffic {
		known[kind.Kind] = kind
	}
	for _, kind := range after.Traffic {
		old := known[kind.Kind]
		out, in := float64(kind.BytesOut-old.BytesOut)/seconds, float64(kind.BytesIn-old.BytesIn)/seconds
		rate.Messages += float64(kind.QueriesSent+kind.QueriesReceived-old.QueriesSent-old.QueriesReceived) / seconds
		rate.BytesOut += out
		rate.BytesIn += in
		if out+in > 0 {
			rate.Kinds[kind.Kind] = out + in
		}
	}
	return rate
}

// memoryShare is the part of the machine's memory that a run may use.
const memoryShare = 0.5

// machineMemory reads the size of the machine's memory, in MiB.
func machineMemory() (float64, error) {
	system, err := procfs.NewDefaultFS()
	if err != nil {
		return 0, err
	}
	reported, err := system.Meminfo()
	if err != nil {
		return 0, err
	}
	return float64(*reported.MemTotal) / 1024, nil
}

// cpuTime is the busy and the total time of all processors of the machine, in seconds. Other
// programs count too: a busy machine makes every measured time larger.
type cpuTime struct{ busy, total float64 }

func readCPUTime() (cpuTime, error) {
	system, err := procfs.NewDefaultFS()
	if err != nil {
		return cpuTime{}, err
	}
	reported, err := system.Stat()
	if err != nil {
		return cpuTime{}, err
	}
	all := reported.CPUTotal
	busy := all.User + all.Nice + all.System + all.IRQ + all.SoftIRQ + all.Steal
	return cpuTime{busy: busy, total: busy + all.Idle + all.Iowait}, nil
}

// busySince returns the busy share of the processors' time since an earlier sample.
func (now cpuTime) busySince(before cpuTime) float64 {
	if now.total <= before.total {
		return 0
	}
	return (now.busy - before.busy) / (now.total - before.total)
}
