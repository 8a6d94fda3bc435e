package simulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

func (chaos *chaosRun) randomControl(random *rand.Rand) (int, *Machine) {
	index := random.IntN(len(chaos.cluster.Controls))
	return index, chaos.cluster.Controls[index]
}

func (chaos *chaosRun) killControl(random *rand.Rand) {
	_, control := chaos.randomControl(random)
	chaos.coreFault(func() {
		control.LosePower()
		sleepBetween(random, 50*time.Millisecond, 4*time.Second)
		chaos.mustStart(control)
	}, false)
}

func (chaos *chaosRun) isolateControl(random *rand.Rand) {
	_, control := chaos.randomControl(random)
	chaos.coreFault(func() {
		chaos.cluster.Network.Isolate(control.Host)
		sleepBetween(random, 500*time.Millisecond, 4*time.Second)
		chaos.cluster.Network.Rejoin(control.Host)
	}, false)
}

// cutControl cuts the links between a control node and its peers in one direction.
func (chaos *chaosRun) cutControl(random *rand.Rand) {
	_, control := chaos.randomControl(random)
	canReceive := random.IntN(2) == 0
	chaos.coreFault(func() {
		others := []*Machine{}
		for _, other := range chaos.cluster.Controls {
			if other != control {
				others = append(others, other)
			}
		}
		for _, other := range others {
			if canReceive {
				chaos.cluster.Network.CutOneWay(control.Host, other.Host)
			} else {
				chaos.cluster.Network.CutOneWay(other.Host, control.Host)
			}
		}
		sleepBetween(random, 500*time.Millisecond, 4*time.Second)
		for _, other := range others {
			chaos.cluster.Network.Heal(control.Host, other.Host)
		}
	}, false)
}

// awaitControls waits until the three control nodes are the voters.
func (chaos *chaosRun) awaitControls() {
	if err := chaos.cluster.Await(15*time.Second, "three voting control nodes", func() error {
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
	_, control := chaos.randomControl(random)
	chaos.coreFault(func() {
		control.Kill()
		control.Wipe()
		sleepBetween(random, 50*time.Millisecond, 2*time.Second)
		chaos.mustStart(control)
		chaos.awaitControls()
	}, false)
}

func (chaos *chaosRun) replaceControl(random *rand.Rand) {
	index, lost := chaos.randomControl(random)
	chaos.coreFault(func() {
		lost.LosePower()
		sleepBetween(random, 50*time.Millisecond, 2*time.Second)
		chaos.lastHost++
		fresh := chaos.cluster.AddControl(chaos.lastHost)
		chaos.cluster.Controls[index] = fresh
		for seed, address := range chaos.cluster.seeds {
			if hostOf(address) == lost.Host {
				chaos.cluster.seeds = slices.Clone(chaos.cluster.seeds)
				chaos.cluster.seeds[seed] = fresh.Host + ":7000"
			}
		}
		chaos.mustStart(fresh)
		chaos.awaitControls()
		for _, machine := range chaos.cluster.Fronts { // as a changed settings file does
			machine.Front.SetSeeds(chaos.cluster.seeds)
		}
	}, false)
}

// loseControls cuts the power of all control nodes at once. If their disks are lost too, they
// bootstrap again, and the acknowledged state is restored from the stores.
func (chaos *chaosRun) loseControls(random *rand.Rand) {
	wiped := random.IntN(2) == 0
	chaos.coreFault(func() {
		for _, control := range chaos.cluster.Controls {
			control.LosePower()
			if wiped {
				control.Wipe()
			}
		}
		chaos.bootstrapping.Store(wiped)
		sleepBetween(random, 100*time.Millisecond, 5*time.Second)
		for _, control := range chaos.cluster.Controls {
			chaos.mustStart(control)
		}
		chaos.awaitControls()
		chaos.bootstrapping.Store(false)
	}, false)
}
