package simulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"yardrock.example/system/forwarding"
)

// setUp applies the first routing and waits until all fronts serve.
func (chaos *chaosRun) setUp() {
	cluster := chaos.cluster
	chaos.mutex.Lock()
	for _, machine := range cluster.Engines {
		chaos.runners = append(chaos.runners, &runnerProcess{machine: machine, engine: machine.Engine, group: machine.Group, listed: true, listedAt: time.Now()})
	}
	chaos.mutex.Unlock()
	for _, group := range []string{"others", "others", "others"} {
		chaos.startRunner("", group, domain(len(chaos.runners)), 0)
	}
	if !chaos.changeRouting(cluster.Random(59), 0, 1, false) {
		chaos.t.Fatal("the first routing was not acknowledged")
	}
	if err := cluster.AwaitForwarding(10 * time.Second); err != nil {
		chaos.t.Fatal(err)
	}
	for _, machine := range cluster.Fronts {
		chaos.trackFront(machine)
	}
}

// machineFaults injects one fault after the other into random machines.
func (chaos *chaosRun) machineFaults(random *rand.Rand, until time.Time) {
	faults := []struct {
		name   string
		inject func(random *rand.Rand)
	}{
		{"front killed", chaos.killFront}, {"front frozen", chaos.freezeFront}, {"front drained", chaos.drainFront}, {"front drained", chaos.drainFront}, {"front cut off", chaos.isolateFront},
		{"store killed", chaos.killStore}, {"store without power", chaos.powerCycleStore}, {"store wiped", chaos.wipeStore}, {"disk full", chaos.fillDisk}, {"disk stalled", chaos.stallDisk},
		{"store cut off", chaos.isolateStore}, {"store added", chaos.addStore}, {"store retired", chaos.retireStore}, {"store replaced", chaos.replaceStore},
		{"control killed", chaos.killControl}, {"control cut off", chaos.isolateControl}, {"control cut one way", chaos.cutControl}, {"control wiped", chaos.wipeControl}, {"control replaced", chaos.replaceControl},
		{"all controls lost", chaos.loseControls},
	}
	for time.Now().Before(until) {
		<-time.After(time.Duration(500+random.IntN(6000)) * time.Millisecond)
		fault := faults[random.IntN(len(faults))]
		chaos.t.Logf("%s: %s", time.Now().Format("05.000"), fault.name)
		fault.inject(random)
	}
	chaos.t.Logf("%s: machine faults end", time.Now().Format("05.000"))
}

// sleepBetween sleeps for a random time between minimum and maximum.
func sleepBetween(random *rand.Rand, minimum, maximum time.Duration) {
	<-time.After(minimum + time.Duration(random.Int64N(int64(maximum-minimum))))
}

// randomFront picks a front and records an outage of it until the returned function is called.
func (chaos *chaosRun) randomFront(random *rand.Rand) (*Machine, func()) {
	machine := chaos.cluster.Fronts[random.IntN(len(chaos.cluster.Fronts))]
	return machine, chaos.recordOutage(machine.Host)
}

func (chaos *chaosRun) killFront(random *rand.Rand) {
	machine, end := chaos.randomFront(random)
	defer end()
	chaos.stopFront(machine)
	sleepBetween(random, 50*time.Millisecond, 2*time.Second)
	chaos.startFront(machine)
}

func (chaos *chaosRun) freezeFront(random *rand.Rand) {
	machine, end := chaos.randomFront(random)
	defer end()
	chaos.cluster.Network.Freeze(machine.Host)
	sleepBetween(random, 100*time.Millisecond, 5*time.Second)
	chaos.cluster.Network.Thaw(machine.Host)
}

func (chaos *chaosRun) isolateFront(random *rand.Rand) {
	machine, end := chaos.randomFront(random)
	defer end()
	chaos.cluster.Network.Isolate(machine.Host)
	sleepBetween(random, 500*time.Millisecond, 6*time.Second)
	chaos.cluster.Network.Rejoin(machine.Host)
}

// drainFront drains a front as its ingress does, then restarts it.
func (chaos *chaosRun) drainFront(random *rand.Rand) {
	machine := chaos.cluster.Fronts[random.IntN(len(chaos.cluster.Fronts))]
	chaos.mutex.Lock()
	var process *frontProcess
	for _, candidate := range chaos.fronts {
		if candidate.machine == machine && !candidate.stopped.Load() {
			process = candidate
		}
	}
	process.drainingSince = time.Now()
	chaos.mutex.Unlock()
	process.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	for process.inFlight.Load() > 0 && ctx.Err() == nil {
		<-time.After(20 * time.Millisecond)
	}
	machine.Front.Drain(ctx)
	cancel()
	end := chaos.recordOutage(machine.Host)
	defer end()
	chaos.stopFront(machine)
	sleepBetween(random, 50*time.Millisecond, time.Second)
	chaos.startFront(machine)
}

// coreFault injects a fault into the control nodes or stores and records an outage meanwhile. With
// awaitRepair, the outage lasts until all groups are fully replicated again.
func (chaos *chaosRun) coreFault(inject func(), awaitRepair bool) {
	end := chaos.recordOutage("core")
	defer end()
	inject()
	if awaitRepair {
		chaos.cluster.awaitHealed(chaos.t)
		if err := chaos.cluster.Await(20*time.Second, "fully replicated groups", func() error { return chaos.cluster.checkReplicasOn(chaos.cluster.Stores...) }); err != nil {
			chaos.t.Error(err)
		}
	}
}

func (chaos *chaosRun) randomStore(random *rand.Rand) (int, *Machine) {
	index := random.IntN(len(chaos.cluster.Stores))
	return index, chaos.cluster.Stores[index]
}

func (chaos *chaosRun) mustStart(machine *Machine) {
	if err := machine.Start(); err != nil {
		chaos.t.Errorf("starting %s: %v", machine.Host, err)
	}
}

func (chaos *chaosRun) killStore(random *rand.Rand) {
	_, store := chaos.randomStore(random)
	chaos.coreFault(func() { store.Kill(); sleepBetween(random, 50*time.Millisecond, 3*time.Second); chaos.mustStart(store) }, false)
}

func (chaos *chaosRun) powerCycleStore(random *rand.Rand) {
	_, store := chaos.randomStore(random)
	chaos.coreFault(func() {
		store.LosePower()
		sleepBetween(random, 50*time.Millisecond, 3*time.Second)
		chaos.mustStart(store)
	}, false)
}

func (chaos *chaosRun) wipeStore(random *rand.Rand) {
	_, store := chaos.randomStore(random)
	chaos.coreFault(func() {
		store.Kill()
		store.Wipe()
		sleepBetween(random, 50*time.Millisecond, 2*time.Second)
		chaos.mustStart(store)
	}, true)
}

func (chaos *chaosRun) fillDisk(random *rand.Rand) {
	_, store := chaos.randomStore(random)
	chaos.coreFault(func() {
		store.Disk.Fill(true)
		sleepBetween(random, 500*time.Millisecond, 4*time.Second)
		store.Disk.Fill(false)
	}, false)
}

func (chaos *chaosRun) stallDisk(random *rand.Rand) {
	_, store := chaos.randomStore(random)
	chaos.coreFault(func() {
		store.Disk.Stall()
		sleepBetween(random, 500*time.Millisecond, 4*time.Second)
		store.Disk.Resume()
	}, false)
}

func (chaos *chaosRun) isolateStore(random *rand.Rand) {
	_, store := chaos.randomStore(random)
	chaos.coreFault(func() {
		chaos.cluster.Network.Isolate(store.Host)
		sleepBetween(random, 500*time.Millisecond, 4*time.Second)
		chaos.cluster.Network.Rejoin(store.Host)
	}, false)
}

func (chaos *chaosRun) freshStore(inDomain string) *Machine {
	chaos.lastHost++
	fresh := chaos.cluster.AddStore(chaos.lastHost)
	fresh.Domain = inDomain
	return fresh
}

func (chaos *chaosRun) addStore(*rand.Rand) {
	if len(chaos.cluster.Stores) > 4 {
		return
	}
	chaos.coreFault(func() {
		fresh := chaos.freshStore(domain(len(chaos.cluster.Stores)))
		chaos.mustStart(fresh)
		chaos.cluster.Stores = append(chaos.cluster.Stores, fresh)
	}, false)
	<-time.After(5 * time.Second)
}

func (chaos *chaosRun) retireStore(random *rand.Rand) {
	if len(chaos.cluster.Stores) < 4 {
		chaos.addStore(random)
	}
	chaos.cluster.awaitHealed(chaos.t)
	index, store := chaos.randomStore(random)
	machine := "storage " + store.Host
	if err := chaos.cluster.beginDecommission(random.IntN(3), machine); err != nil {
		chaos.t.Errorf("retiring %s: %v", machine, err)
		return
	}
	chaos.cluster.awaitDecommissioned(chaos.t, machine)
	chaos.coreFault(func() {
		store.LosePower()
		store.Wipe()
		chaos.cluster.Stores = slices.Delete(slices.Clone(chaos.cluster.Stores), index, index+1)
	}, false)
}

func (chaos *chaosRun) replaceStore(random *rand.Rand) {
	index, store := chaos.randomStore(random)
	chaos.coreFault(func() {
		store.LosePower()
		sleepBetween(random, 50*time.Millisecond, 3*time.Second)
		fresh := chaos.freshStore(store.Domain)
		chaos.cluster.Stores[index] = fresh
		chaos.mustStart(fresh)
	}, true)
}

// outage is the last fault of a run: all nodes lose power at once and restart. After recoverBound,
// requests succeed and earlier turns can be continued.
func (chaos *chaosRun) outage(random *rand.Rand) {
	chaos.recordOutage("core")
	cluster := chaos.cluster
	completed, newest := chaos.acknowledged()
	for _, machine := range cluster.Fronts {
		chaos.stopFront(machine)
	}
	for _, machine := range slices.Concat(cluster.Controls, cluster.Stores) {
		machine.LosePower()
	}
	sleepBetween(random, 100*time.Millisecond, 5*time.Second)
	for _, machine := range slices.Concat(cluster.Controls, cluster.Stores) {
		chaos.mustStart(machine)
	}
	for _, machine := range cluster.Fronts {
		chaos.startFront(machine)
	}
	<-time.After(recoverBound)
	if read := cluster.mustReadRouting(chaos.t, 6*time.Second); read.Revision < newest {
		chaos.t.Errorf("LOST: revision %d was acknowledged, but revision %d is read back", newest, read.Revision)
	}
	served, total := 0, 0
	for position, sent := range completed {
		if position%max(1, len(completed)/60) != 0 {
			continue
		}
		continued := chaos.continueAfterOutage(random, position, sent)
		lookup := chaos.attempt(random, forwarding.Request{Method: http.MethodGet, Path: "/lookup/1"}, "", 2*time.Second, 0)
		for _, attempted := range []*sentRequest{continued, lookup} {
			if total++; attempted.answer.Complete() {
				served++
			}
		}
		if !continued.answer.Complete() {
			chaos.t.Logf("after the outage, a turn that follows %s: %v", sent.request.ID, continued.answer.Err)
		}
	}
	if served*4 < total*3 {
		chaos.t.Errorf("RECOVER: only %d of %d requests succeeded after the outage", served, total)
	}
	chaos.t.Logf("after the outage, %d of %d requests succeeded", served, total)
}

// acknowledged returns the turns with stored history that were completed in the last 90 s, oldest
// first, and the newest acknowledged routing revision.
func (chaos *chaosRun) acknowledged() (completed []*sentRequest, newest uint64) {
	chaos.mutex.Lock()
	defer chaos.mutex.Unlock()
	for _, sent := range chaos.sent {
		if sent.answer != nil && sent.answer.Complete() && strings.HasPrefix(sent.request.Path, "/talk/kept/") && time.Since(sent.endedAt) < 90*time.Second {
			completed = append(completed, sent)
		}
	}
	for _, change := range chaos.routingChanges {
		if !change.ackedAt.IsZero() {
			newest = max(newest, change.revision)
		}
	}
	slices.SortFunc(completed, func(left, right *sentRequest) int { return left.sentAt.Compare(right.sentAt) })
	return completed, newest
}

// continueAfterOutage sends a turn that follows one completed before the outage.
func (chaos *chaosRun) continueAfterOutage(random *rand.Rand, position int, sent *sentRequest) *sentRequest {
	words := fmt.Sprintf("after %d. ", position)
	program := fmt.Sprintf("after-%d", position)
	chaos.mutex.Lock()
	chaos.budgets[program] = 1000
	chaos.mutex.Unlock()
	history := sent.history + string(sent.request.Body) + sent.answer.Text()
	request := forwarding.Request{Path: "/talk/kept/1", Follows: sent.request.ID, Body: []byte(words), Program: program, HasOutputBudget: true, OutputBudget: 1000, MaxOutputTokens: turnTokens}
	return chaos.attempt(random, request, history, 4*time.Second, 0)
}
