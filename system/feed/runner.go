package feed

import (
	"cmp"
	"slices"
	"time"
)

// Runner is one model or application runner of the platform's runner list.
type Runner struct {
	// Life identifies one start of the runner; a restarted runner has a new one. It is empty
	// if the list names none.
	Life string `capnp:"life"`
	// Address is where fronts reach it, host and port.
	Address string `capnp:"address"`
	// Group is the name of the runner group or service that it belongs to.
	Group string `capnp:"group"`
	// Domain is the failure domain that it runs in.
	Domain string `capnp:"domain"`
	// State is StateServing, StateWarmingUp or StateDraining.
	State string `capnp:"state"`
	// Since is when it entered its state, in nanoseconds since 1970. It comes from a wall
	// clock, so it is shown to people and never used to measure time.
	Since int64 `capnp:"since"`
	// Warmed reports that it has served for as long as its group's slow start lasts.
	Warmed bool `capnp:"warmed"`
	// Slots is how many requests it runs at a time; 0 if the list does not say.
	Slots uint32 `capnp:"slots"`
	// WarmUpLeft is how much longer its slow start lasted when the list was requested.
	WarmUpLeft time.Duration `capnp:"coldFor" json:"ColdFor"`
	// Revision is the version of its software.
	Revision string `capnp:"revision"`
}

// Identity is the key of a runner: its life, or its address if the list names no lives.
//
//	runners[runner.Identity()] = runner
func (runner Runner) Identity() string { return cmp.Or(runner.Life, runner.Address) }

// sortRunners sorts runners by address, then by life, which is their order in a view.
func sortRunners(runners []Runner) {
	slices.SortFunc(runners, func(left, right Runner) int {
		return cmp.Or(cmp.Compare(left.Address, right.Address), cmp.Compare(left.Life, right.Life))
	})
}
