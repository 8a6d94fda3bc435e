package simulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

func (chaos *chaosRun) someControl(random *rand.Rand) (int, *Machine) {
	at := random.IntN(len(chaos.cluster.Controls))
	return at, chaos.cluster.Controls[at]
}

func (chaos *chaosRun) killControl(random *rand.Rand) {
	_, control := chaos.someControl(random)
	chaos.coreFault(func() {
		control.LosePower()
		while(random, 50*time.Millisecond, 4*time.Second)
		chaos.mustStart(control)
	}, false)
}

func (chaos *chaosRun) isolateControl(random *rand.Rand) {
	_, control := chaos.someControl(random)
	chaos.coreFault(func() {
		chaos.cluster.Network.Isolate(control.Host)
		while(random, 500*time.Millisecond, 4*time.Second)
		chaos.cluster.Network.Rejoin(control.Host)
	}, false)
}

// cutControl lets a control node send to its peers but receive nothing, or vice versa.
func (chaos *chaosRun) cutControl(random *rand.Rand) {
	_, control := chaos.someControl(random)
	hears := random.IntN(2) == 0
	chaos.coreFault(func() {
		others := []*Machine{}
		for _, other := range chaos.cluster.Controls {
			if other != control {
				others = append(others, other)
			}
		}
		for _, other := range others {
			if hears {
				chaos.cluster.Network.CutOneWay(control.Host, other.Host)
			} else {
				chaos.cluster.Network.CutOneWay(other.Host, control.Host)
			}
		}
		while(random, 500*time.Millisecond, 4*time.Second)
		for _, other := range others {
			chaos.cluster.Network.Heal(control.Host, other.Host)
		}
	}, false)
}

func (chaos *chaosRun) awaitControls() {
	if err := chaos.cluster.Await(15*time.Second, "three control nodes that vote", func() error {
		if voting := chaos.cluster.votingControls(); len(voting) != 3 || slices.ContainsFunc(chaos.cluster.Controls, func(machine *Machine) bool {
			return !slices.Contains(voting, machine.Host+" "+machine.Control.Name())
		}) {
			return fmt.Errorf("voting: %v", voting)
		}
		return nil
	}); err != nil {
		chaos.t.Error(err)
	}
}

func (chaos *chaosRun) wipeControl(random *rand.Rand) {
	_, control := chaos.someControl(random)
	chaos.coreFault(func() {
		control.Kill()
		control.Wipe()
		while(random, 50*time.Millisecond, 2*time.Second)
		chaos.mustStart(control)
		chaos.awaitControls()
	}, false)
}

func (chaos *chaosRun) replaceControl(random *rand.Rand) {
	at, lost := chaos.someControl(random)
	chaos.coreFault(func() {
		lost.LosePower()
		while(random, 50*time.Millisecond, 2*time.Second)
		chaos.hosts++
		fresh := chaos.cluster.AddControl(chaos.hosts)
		chaos.cluster.Controls[at] = fresh
		for seed, address := range chaos.cluster.seeds {
			if hostOf(address) == lost.Host {
				chaos.cluster.seeds = slices.Clone(chaos.cluster.seeds)
				chaos.cluster.seeds[seed] = fresh.Host + ":7000"
			}
		}
		chaos.mustStart(fresh)
		chaos.awaitControls()
		for _, machine := range chaos.cluster.Fronts { // their settings files change
			machine.Front.SetSeeds(chaos.cluster.seeds)
		}
	}, false)
}

// loseControls loses all control nodes at once. If their disks are lost too, their
// operators found them anew, and what was acknowledged comes from the stores.
func (chaos *chaosRun) loseControls(random *rand.Rand) {
	wiped := random.IntN(2) == 0
	chaos.coreFault(func() {
		for _, control := range chaos.cluster.Controls {
			control.LosePower()
			if wiped {
				control.Wipe()
			}
		}
		chaos.founds.Store(wiped)
		while(random, 100*time.Millisecond, 5*time.Second)
		for _, control := range chaos.cluster.Controls {
			chaos.mustStart(control)
		}
		chaos.awaitControls()
		chaos.founds.Store(false)
	}, false)
}
