package scheduler

import (
	"maps"
	"slices"

	"yardrock.example/system/wire"
)

// Status returns the load of each runner that has requests of this front in flight or is
// suspected to have restarted, ordered by address, and the number of waiting requests.
//
//	runners, waiting := scheduler.Status()
func (scheduler *Scheduler) Status() ([]wire.RunnerLoad, uint32) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	loads := []wire.RunnerLoad{}
	for _, address := range slices.Sorted(maps.Keys(scheduler.runners)) {
		stats := scheduler.runners[address]
		if suspected := !stats.restartSuspectedAt.IsZero(); stats.inFlight > 0 || suspected {
			loads = append(loads, wire.RunnerLoad{Address: address, InFlight: uint32(stats.inFlight), WarmingUp: suspected})
		}
	}
	return loads, uint32(scheduler.queued())
}
