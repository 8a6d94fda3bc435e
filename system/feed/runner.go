package feed

import (
	"cmp"
	"slices"
	"time"
)

// Runner is one model or application runner in the platform's runner list.
type Runner struct {
	// Incarnation identifies one start of the runner: a restarted runner has a new one.
	// It is empty if the list names none.
	Incarnation string `capnp:"life"`
	// Address is the host and port at which fronts reach it.
	Address string `capnp:"address"`
	// Group is the name of the runner group or service that it belongs to.
	Group string `capnp:"group"`
	// Domain is the failure domain that it runs in.
	Domain string `capnp:"domain"`
	// State is StateServing, StateWarmingUp or StateDraining.
	State string `capnp:"state"`
	// Since is when it entered its state, as Unix time in nanoseconds. It is for display only:
	// it comes from a wall clock, so it must not be used to measure durations.
	Since int64 `capnp:"since"`
	// Warmed reports whether it has served for at least the warm-up period of its group.
	Warmed bool `capnp:"warmed"`
	// Slots is the maximum number of concurrent requests; 0 if the list does not state it.
	Slots uint32 `capnp:"slots"`
	// WarmUpLeft is the remaining duration of its warm-up when the list was requested.
	WarmUpLeft time.Duration `capnp:"coldFor" json:"ColdFor"`
	// Revision is its software version.
	Revision string `capnp:"revision"`
}

// Identity is the key of a runner: its incarnation, or its address if that is empty.
//
//	runners[runner.Identity()] = runner
func (runner Runner) Identity() string { return cmp.Or(runner.Incarnation, runner.Address) }

// sortRunners sorts runners by address, then by incarnation, as views list them.
func sortRunners(runners []Runner) {
	slices.SortFunc(runners, func(left, right Runner) int {
		return cmp.Or(cmp.Compare(left.Address, right.Address), cmp.Compare(left.Incarnation, right.Incarnation))
	})
}
