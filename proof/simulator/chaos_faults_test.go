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

// begin puts the first routing in force and waits until all fronts serve.
func (chaos *chaosRun) begin() {
	cluster := chaos.cluster
	chaos.mutex.Lock()
	for _, machine := range cluster.Engines {
		chaos.runners = append(chaos.runners, &runnerLife{machine: machine, engine: machine.Engine, group: machine.Group, listed: true, listedAt: time.Now()})
	}
	chaos.mutex.Unlock()
	for _, group := range []string{"others", "others", "others"} {
		chaos.startRunner("", group, domain(len(chaos.runners)), 0)
	}
	if !chaos.changeRouting(cluster.Random(59), 0, 1, false) {
		chaos.t.Fatal("the first routing is not acknowledged")
	}
	if err := cluster.AwaitForwarding(10 * time.Second); err != nil {
		chaos.t.Fatal(err)
	}
	for _, machine := range cluster.Fronts {
		chaos.adopt(machine)
	}
}

// machineFaults injects faults into one machine after the other.
func (chaos *chaosRun) machineFaults(random *rand.Rand, until time.Time) {
	faults := []struct {
		name   string
		strike func(random *rand.Rand)
	}{
		{"front killed", chaos.killFront}, {"front frozen", chaos.freezeFront}, {"front drained", chaos.drainFront}, {"front drained", chaos.drainFront}, {"front cut off", chaos.isolateFront},
		{"store killed", chaos.killStore}, {"store without power", chaos.powerStore}, {"store wiped", chaos.wipeStore}, {"disk full", chaos.fillStore}, {"disk stalled", chaos.stallStore},
		{"store cut off", chaos.isolateStore}, {"store added", chaos.addStore}, {"store retired", chaos.retireStore}, {"store replaced", chaos.replaceStore},
		{"control killed", chaos.killControl}, {"control cut off", chaos.isolateControl}, {"control cut one way", chaos.cutControl}, {"control wiped", chaos.wipeControl}, {"control replaced", chaos.replaceControl},
		{"all controls lost", chaos.loseControls},
	}
	for time.Now().Before(until) {
		<-time.After(time.Duration(500+random.IntN(6000)) * time.Millisecond)
		one := faults[random.IntN(len(faults))]
		chaos.t.Logf("%s: %s", time.Now().Format("05.000"), one.name)
		one.strike(random)
	}
	chaos.t.Logf("%s: the machines' trouble ends", time.Now().Format("05.000"))
}

func while(random *rand.Rand, least, maximum time.Duration) {
	<-time.After(least + time.Duration(random.Int64N(int64(maximum-least))))
}

func (chaos *chaosRun) someFront(random *rand.Rand) (*Machine, func()) {
	machine := chaos.cluster.Fronts[random.IntN(len(chaos.cluster.Fronts))]
	return machine, chaos.note(machine.Host)
}

func (chaos *chaosRun) killFront(random *rand.Rand) {
	machine, end := chaos.someFront(random)
	defer end()
	chaos.endFront(machine)
	while(random, 50*time.Millisecond, 2*time.Second)
	chaos.startFront(machine)
}

func (chaos *chaosRun) freezeFront(random *rand.Rand) {
	machine, end := chaos.someFront(random)
	defer end()
	chaos.cluster.Network.Freeze(machine.Host)
	while(random, 100*time.Millisecond, 5*time.Second)
	chaos.cluster.Network.Thaw(machine.Host)
}

func (chaos *chaosRun) isolateFront(random *rand.Rand) {
	machine, end := chaos.someFront(random)
	defer end()
	chaos.cluster.Network.Isolate(machine.Host)
	while(random, 500*time.Millisecond, 6*time.Second)
	chaos.cluster.Network.Rejoin(machine.Host)
}

// drainFront drains a front as its ingress does, ends it and starts it again.
func (chaos *chaosRun) drainFront(random *rand.Rand) {
	machine := chaos.cluster.Fronts[random.IntN(len(chaos.cluster.Fronts))]
	chaos.mutex.Lock()
	var life *frontLife
	for _, one := range chaos.fronts {
		if one.machine == machine && !one.dead.Load() {
			life = one
		}
	}
	life.left = time.Now()
	chaos.mutex.Unlock()
	life.leaving.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	for life.open.Load() > 0 && ctx.Err() == nil {
		<-time.After(20 * time.Millisecond)
	}
	machine.Front.Drain(ctx)
	cancel()
	end := chaos.note(machine.Host)
	defer end()
	chaos.endFront(machine)
	while(random, 50*time.Millisecond, time.Second)
	chaos.startFront(machine)
}

// coreFault injects a fault into the control nodes and stores, and records an outage until they
// have recovered.
func (chaos *chaosRun) coreFault(strike func(), heals bool) {
	end := chaos.note("core")
	defer end()
	strike()
	if heals {
		chaos.cluster.awaitHealed(chaos.t)
		if err := chaos.cluster.Await(20*time.Second, "groups whole", func() error { return chaos.cluster.viewReplicasAre(chaos.cluster.Stores...) }); err != nil {
			chaos.t.Error(err)
		}
	}
}

func (chaos *chaosRun) someStore(random *rand.Rand) (int, *Machine) {
	at := random.IntN(len(chaos.cluster.Stores))
	return at, chaos.cluster.Stores[at]
}

func (chaos *chaosRun) mustStart(machine *Machine) {
	if err := machine.Start(); err != nil {
		chaos.t.Errorf("%s does not start: %v", machine.Host, err)
	}
}

func (chaos *chaosRun) killStore(random *rand.Rand) {
	_, store := chaos.someStore(random)
	chaos.coreFault(func() { store.Kill(); while(random, 50*time.Millisecond, 3*time.Second); chaos.mustStart(store) }, false)
}

func (chaos *chaosRun) powerStore(random *rand.Rand) {
	_, store := chaos.someStore(random)
	chaos.coreFault(func() { store.LosePower(); while(random, 50*time.Millisecond, 3*time.Second); chaos.mustStart(store) }, false)
}

func (chaos *chaosRun) wipeStore(random *rand.Rand) {
	_, store := chaos.someStore(random)
	chaos.coreFault(func() {
		store.Kill()
		store.Wipe()
		while(random, 50*time.Millisecond, 2*time.Second)
		chaos.mustStart(store)
	}, true)
}

func (chaos *chaosRun) fillStore(random *rand.Rand) {
	_, store := chaos.someStore(random)
	chaos.coreFault(func() {
		store.Disk.Fill(true)
		while(random, 500*time.Millisecond, 4*time.Second)
		store.Disk.Fill(false)
	}, false)
}

func (chaos *chaosRun) stallStore(random *rand.Rand) {
	_, store := chaos.someStore(random)
	chaos.coreFault(func() { store.Disk.Stall(); while(random, 500*time.Millisecond, 4*time.Second); store.Disk.Resume() }, false)
}

func (chaos *chaosRun) isolateStore(random *rand.Rand) {
	_, store := chaos.someStore(random)
	chaos.coreFault(func() {
		chaos.cluster.Network.Isolate(store.Host)
		while(random, 500*time.Millisecond, 4*time.Second)
		chaos.cluster.Network.Rejoin(store.Host)
	}, false)
}

func (chaos *chaosRun) freshStore(near string) *Machine {
	chaos.hosts++
	fresh := chaos.cluster.AddStore(chaos.hosts)
	fresh.Domain = near
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
	at, store := chaos.someStore(random)
	machine := "storage " + store.Host
	if err := chaos.cluster.beginRetire(random.IntN(3), machine); err != nil {
		chaos.t.Errorf("retiring %s: %v", machine, err)
		return
	}
	chaos.cluster.awaitRetired(chaos.t, machine)
	chaos.coreFault(func() {
		store.LosePower()
		store.Wipe()
		chaos.cluster.Stores = slices.Delete(slices.Clone(chaos.cluster.Stores), at, at+1)
	}, false)
}

func (chaos *chaosRun) replaceStore(random *rand.Rand) {
	at, store := chaos.someStore(random)
	chaos.coreFault(func() {
		store.LosePower()
		while(random, 50*time.Millisecond, 3*time.Second)
		fresh := chaos.freshStore(store.Domain)
		chaos.cluster.Stores[at] = fresh
		chaos.mustStart(fresh)
	}, true)
}

// outage ends the run: all machines lose power at once and start again. After recoverBound
// requests are served, and complete turns are known.
func (chaos *chaosRun) outage(random *rand.Rand) {
	chaos.note("core")
	cluster := chaos.cluster
	complete, newest := chaos.acknowledged()
	for _, machine := range cluster.Fronts {
		chaos.endFront(machine)
	}
	for _, machine := range slices.Concat(cluster.Controls, cluster.Stores) {
		machine.LosePower()
	}
	while(random, 100*time.Millisecond, 5*time.Second)
	for _, machine := range slices.Concat(cluster.Controls, cluster.Stores) {
		chaos.mustStart(machine)
	}
	for _, machine := range cluster.Fronts {
		chaos.startFront(machine)
	}
	<-time.After(recoverBound)
	if read := cluster.mustRead(chaos.t, 6*time.Second); read.Revision < newest {
		chaos.t.Errorf("LOST: revision %d was acknowledged, %d is read back", newest, read.Revision)
	}
	served, all := 0, 0
	for position, sent := range complete {
		if position%max(1, len(complete)/60) != 0 {
			continue
		}
		on := chaos.goOnAfterOutage(random, position, sent)
		lookup := chaos.attempt(random, forwarding.Request{Method: http.MethodGet, Path: "/lookup/1"}, "", 2*time.Second, 0)
		for _, one := range []*sentRequest{on, lookup} {
			if all++; one.answer.Complete() {
				served++
			}
		}
		if !on.answer.Complete() {
			chaos.t.Logf("after the outage, on from %s: %v", sent.request.Name, on.answer.Err)
		}
	}
	if served*4 < all*3 {
		chaos.t.Errorf("RECOVER: %d of %d are served after the outage", served, all)
	}
	chaos.t.Logf("after the outage %d of %d are served", served, all)
}

// acknowledged returns the kept turns that were completed in the last 90 s, oldest
// first, and the newest routing revision that was acknowledged.
func (chaos *chaosRun) acknowledged() (complete []*sentRequest, newest uint64) {
	chaos.mutex.Lock()
	defer chaos.mutex.Unlock()
	for _, sent := range chaos.sent {
		if sent.answer != nil && sent.answer.Complete() && strings.HasPrefix(sent.request.Path, "/talk/kept/") && time.Since(sent.back) < 90*time.Second {
			complete = append(complete, sent)
		}
	}
	for _, one := range chaos.orders {
		if !one.acked.IsZero() {
			newest = max(newest, one.revision)
		}
	}
	slices.SortFunc(complete, func(left, right *sentRequest) int { return left.at.Compare(right.at) })
	return complete, newest
}

// goOnAfterOutage follows a turn that was completed before the outage.
func (chaos *chaosRun) goOnAfterOutage(random *rand.Rand, position int, sent *sentRequest) *sentRequest {
	words := fmt.Sprintf("after %d. ", position)
	program := fmt.Sprintf("after-%d", position)
	chaos.mutex.Lock()
	chaos.budgets[program] = 1000
	chaos.mutex.Unlock()
	chain := sent.chain + string(sent.request.Body) + sent.answer.Text()
	request := forwarding.Request{Path: "/talk/kept/1", Follows: sent.request.Name, Body: []byte(words), Program: program, HasOutputBudget: true, OutputBudget: 1000, MaxOutputTokens: turnTokens}
	return chaos.attempt(random, request, chain, 4*time.Second, 0)
}
