package scheduler

import (
	"maps"
	"slices"

	"yardrock.example/system/wire"
)

// Status tells what is out to each runner, and how many queries wait.
//
//	out, waiting := board.Status()
func (scheduler *Scheduler) Status() ([]wire.RunnerLoad, uint32) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	out := []wire.RunnerLoad{}
	for _, address := range slices.Sorted(maps.Keys(scheduler.runners)) {
		if stats := scheduler.runners[address]; stats.inFlight > 0 || !stats.restartSuspectedAt.IsZero() {
			out = append(out, wire.RunnerLoad{Address: address, InFlight: uint32(stats.inFlight), WarmingUp: !stats.restartSuspectedAt.IsZero()})
		}
	}
	return out, uint32(len(scheduler.queues[0]) + len(scheduler.queues[1]) + len(scheduler.queues[2]))
}
