package feed

import (
	"cmp"
	"slices"
	"time"
)

// Runner is one model or application runner of the platform's list. Since is a wall
// clock's word, for people; Warmed tells that it has served for its group's ramp.
type Runner struct {
	// Life names this start of the runner; every start has a new one. It may be empty.
	Life    string `capnp:"life"`
	Address string `capnp:"address"`
	Group   string `capnp:"group"`
	Domain  string `capnp:"domain"`
	State   string `capnp:"state"`
	Since   int64  `capnp:"since"`
	Warmed  bool   `capnp:"warmed"`
	Slots   uint32 `capnp:"slots"`
	// WarmUpLeft is how long the runner stayed cold yet when the list was read.
	WarmUpLeft time.Duration `capnp:"coldFor" json:"ColdFor"`
	Revision   string        `capnp:"revision"` // of its software
}

// Identity is what a runner is known by: its life, or its address if lives are not told.
//
//	runners[runner.Identity()] = runner
func (runner Runner) Identity() string { return cmp.Or(runner.Life, runner.Address) }

// SortRunners puts runners in the order of lists: by address, then by life.
//
//	feed.SortRunners(view.Runners)
func SortRunners(runners []Runner) {
	slices.SortFunc(runners, func(left, right Runner) int {
		return cmp.Or(cmp.Compare(left.Address, right.Address), cmp.Compare(left.Life, right.Life))
	})
}
