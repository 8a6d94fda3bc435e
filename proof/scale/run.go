package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"time"

	"yardrock.example/proof/fleet"
	"yardrock.example/proof/standin"
	"yardrock.example/system/feed"
	"yardrock.example/system/link"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// Settings are what all steps of a run share.
type Settings struct {
	Programs      string        // folder of the built programs
	Folder        string        // for data and logs of the real processes
	IdlePeriod    time.Duration // how long nothing changes while usage is measured
	StartInterval time.Duration // how long after the one before it a hollow node starts
	Real          fleet.Deployment
	// LoadsStores tells that what the stores bear is measured, and not what control does.
	LoadsStores bool
}

// RealProcesses is the deployment beside which hollow nodes are put.
var RealProcesses = fleet.Deployment{Name: "scale", Domains: domains, Fronts: 2, Stores: 3, Controls: 3}

// ProcessUsage is what one real process used a second during the quiet time.
type ProcessUsage struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Leading bool   `json:"leading,omitempty"` // the control group
	Rate
}

// Measurement is what one step cost. Figures are by name; those of a role are means over
// its processes, unless the name says most.
type Measurement struct {
	Step      Step               `json:"step"`
	Figures   map[string]float64 `json:"figures"`
	Processes []ProcessUsage     `json:"processes"`
	// Failed tells why the step did not come to its end; its figures are those before.
	Failed string `json:"failed,omitempty"`
}

// phase is one part of a step.
type phase struct {
	name string
	run  func(context.Context) error
}

// stepRun is one step under way.
type stepRun struct {
	settings    Settings
	step        Step
	fleet       *fleet.Fleet
	caller      *link.Client
	hollow      *HollowNodes
	servers     []*link.Server
	measurement Measurement
	programs    []*program
}

// Run measures one step on a fleet of its own, and ends it.
//
//	measured, err := scale.Run(ctx, settings, step)
func Run(ctx context.Context, settings Settings, step Step) (Measurement, error) {
	folder := filepath.Join(settings.Folder, fmt.Sprintf("nodes-%d-runners-%d-routes-%d-groups-%d", step.Nodes, step.Runners, step.Routes, step.Groups))
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return Measurement{}, err
	}
	reported, err := measure(ctx, settings, step, folder)
	if err != nil {
		return reported, fmt.Errorf("%w (logs are in %s)", err, folder)
	}
	return reported, os.RemoveAll(folder)
}

func measure(ctx context.Context, settings Settings, step Step, folder string) (Measurement, error) {
	deployment := settings.Real
	deployment.Groups = step.Groups
	running, err := fleet.Start(ctx, deployment, settings.Programs, folder, standin.Latencies{}, false)
	if err != nil {
		return Measurement{}, err
	}
	defer running.Stop()
	trial := &stepRun{settings: settings, step: step, fleet: running, caller: link.NewClient(link.TCP{}), hollow: &HollowNodes{}, measurement: Measurement{Step: step, Figures: map[string]float64{}}}
	defer trial.caller.Close()
	defer trial.stop()
	phases := []phase{{"fill", trial.populate}, {"join", trial.startHollowNodes}, {"quiet", trial.measureIdle}}
	if settings.LoadsStores {
		phases = append(phases, phase{"programs", trial.makePrograms}, phase{"turns", trial.turns}, phase{"store restarts", trial.restartStore})
	} else {
		phases = append(phases, phase{"small changes", trial.smallChanges}, phase{"configs", trial.configs}, phase{"runner leaves", trial.runnerLeaves}, phase{"fail-over", trial.failOver}, phase{"zone lost", trial.loseZone})
	}
	for _, phase := range phases {
		if err := phase.run(ctx); err != nil {
			return trial.measurement, fmt.Errorf("%s: %w", phase.name, err)
		}
		if err := trial.withinMemory(ctx); err != nil {
			return trial.measurement, err
		}
	}
	return trial.measurement, nil
}

func (trial *stepRun) stop() {
	trial.hollow.Stop()
	for _, notes := range trial.servers {
		notes.Close()
	}
}

func (trial *stepRun) controls() []string {
	addresses := []string{}
	for _, control := range trial.fleet.ProcessesOf("control") {
		if control.PID() > 0 {
			addresses = append(addresses, control.Address)
		}
	}
	return addresses
}

// status asks a process who it is and what it said so far.
func (trial *stepRun) status(ctx context.Context, address string) (*wire.StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	reply, err := trial.caller.Call(ctx, address, &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{Traffic: true}})
	if err != nil {
		return nil, err
	}
	if reply.Status == nil {
		return nil, errors.New(address + " told no status")
	}
	return reply.Status, nil
}

// populate puts the runners and the routes in force.
func (trial *stepRun) populate(ctx context.Context) error {
	if err := putRunnerList(ctx, trial.fleet.Platform, RunnerList(trial.step.Runners)); err != nil {
		return err
	}
	watch := &HollowNodes{}
	defer watch.Stop()
	if err := watch.Grow(ctx, 1, 0, "127.0.0.1:1", trial.controls(), func(int) link.Network { return link.TCP{} }); err != nil {
		return err
	}
	if err := watch.Await(ctx, "fresh", (*HollowNode).UpToDate); err != nil {
		return err
	}
	change, err := withRouting(watch.Nodes()[0].View(), trial.step.Routes, 1)
	if err != nil {
		return err
	}
	number, err := propose(ctx, trial.caller, trial.controls(), change)
	if err != nil {
		return err
	}
	if err := watch.Await(ctx, "filled", func(node *HollowNode) bool {
		view := node.View()
		return view.Number >= number && len(view.Runners) == trial.step.Runners
	}); err != nil {
		return err
	}
	view := watch.Nodes()[0].View()
	trial.measurement.Figures["view.kib"] = float64(len(wire.MustEncode(schema.View_TypeID, view))) / 1024
	trial.measurement.Figures["view.config_kib"] = float64(len(view.Source)+len(view.Compiled)) / 1024
	return nil
}

// settleTime is how long a fleet is left alone after its nodes have joined; by then its
// runners are no longer new, which is a change of the roster.
const settleTime = 4 * time.Second

// startHollowNodes starts the hollow nodes and waits until all of them know each other.
func (trial *stepRun) startHollowNodes(ctx context.Context) error {
	listener, err := link.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	trial.servers = append(trial.servers, link.Serve(listener, func(context.Context, *wire.Query) *wire.Reply { return &wire.Reply{} }))
	debug.FreeOSMemory() // so that what is resident is what is held
	self, err := UsageOf(os.Getpid())
	if err != nil {
		return err
	}
	began := time.Now()
	over := max(time.Second, time.Duration(trial.step.Nodes)*trial.settings.StartInterval)
	if err := trial.hollow.Grow(ctx, trial.step.Nodes, over, listener.Addr().String(), trial.controls(), func(int) link.Network { return link.TCP{} }); err != nil {
		return err
	}
	if err := trial.hollow.Await(ctx, "fresh", (*HollowNode).UpToDate); err != nil {
		return err
	}
	trial.measurement.Figures["join.after_last_s"] = (time.Since(began) - over).Seconds()
	select {
	case <-time.After(settleTime):
	case <-ctx.Done():
		return ctx.Err()
	}
	debug.FreeOSMemory()
	after, err := UsageOf(os.Getpid())
	trial.measurement.Figures["hollow.memory_mib"] = (after.Memory - self.Memory) / float64(trial.step.Nodes)
	return err
}

// usageSample is what all processes have used up to now.
type usageSample struct {
	processes     map[string]Usage
	hollow        Usage
	written, read int64
	machine       cpuTime
}

func (trial *stepRun) sample(ctx context.Context) (usageSample, error) {
	taken := usageSample{processes: map[string]Usage{}}
	for _, process := range trial.fleet.Processes {
		if process.PID() == 0 || process.Role == "platform" {
			continue
		}
		status, err := trial.status(ctx, process.Address)
		if err != nil {
			return taken, err
		}
		usage, err := UsageOf(process.PID())
		if err != nil {
			return taken, err
		}
		usage.Traffic = status.Traffic
		taken.processes[process.Name] = usage
	}
	var err error
	if taken.hollow, err = UsageOf(os.Getpid()); err != nil {
		return taken, err
	}
	taken.hollow.Traffic = link.Traffic()
	if taken.machine, err = readCPUTime(); err != nil {
		return taken, err
	}
	taken.written, taken.read = trial.hollow.Bytes.Written.Load(), trial.hollow.Bytes.Read.Load()
	return taken, nil
}

func (trial *stepRun) measureIdle(ctx context.Context) error {
	before, err := trial.sample(ctx)
	if err != nil {
		return err
	}
	stale := 0
	for ended := time.Now().Add(trial.settings.IdlePeriod); time.Now().Before(ended); {
		select {
		case <-time.After(100 * time.Millisecond):
			stale = max(stale, trial.hollow.Stale())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	after, err := trial.sample(ctx)
	if err != nil {
		return err
	}
	return trial.reportUsage(ctx, before, after, stale)
}

// reportUsage turns two moments into figures.
func (trial *stepRun) reportUsage(ctx context.Context, before, after usageSample, stale int) error {
	figures := trial.measurement.Figures
	counts := map[string]float64{}
	for _, process := range trial.fleet.Processes {
		used, found := after.processes[process.Name]
		if !found {
			continue
		}
		reported := ProcessUsage{Name: process.Name, Role: process.Role, Rate: RateOf(before.processes[process.Name], used)}
		role := process.Role
		if role == "control" {
			status, err := trial.status(ctx, process.Address)
			if err != nil {
				return err
			}
			if reported.Leading = status.Leader == status.Name; reported.Leading {
				role = "control.leader"
			} else {
				role = "control.other"
			}
			figures["control.most.cores"] = max(figures["control.most.cores"], reported.Cores)
			figures["control.most.memory_mib"] = max(figures["control.most.memory_mib"], reported.Memory)
		}
		counts[role]++
		for name, value := range map[string]float64{"cores": reported.Cores, "memory_mib": reported.Memory, "messages_per_s": reported.Messages, "bytes_out_per_s": reported.BytesOut, "bytes_in_per_s": reported.BytesIn} {
			figures[role+"."+name] += value
		}
		trial.measurement.Processes = append(trial.measurement.Processes, reported)
	}
	for name := range figures {
		for role, count := range counts {
			if strings.HasPrefix(name, role+".") {
				figures[name] /= count
			}
		}
	}
	nodes, seconds := float64(trial.step.Nodes), after.hollow.At.Sub(before.hollow.At).Seconds()
	hollow := RateOf(before.hollow, after.hollow)
	figures["hollow.cores"] = hollow.Cores / nodes
	figures["hollow.messages_per_s"] = hollow.Messages / nodes
	figures["hollow.bytes_out_per_s"] = float64(after.written-before.written) / seconds / nodes
	figures["hollow.bytes_in_per_s"] = float64(after.read-before.read) / seconds / nodes
	figures["machine.busy_share"] = after.machine.busySince(before.machine)
	figures["hollow.most_stale_share"] = float64(stale) / nodes
	return nil
}

// burst takes changes one after another and notes how long each took until it was
// acknowledged and until it was in force at the hollow nodes, and what it cost.
func (trial *stepRun) burst(ctx context.Context, name string, count int, next func(position int) (feed.Change, error)) error {
	before, err := trial.sample(ctx)
	if err != nil {
		return err
	}
	began := time.Now()
	type proposed struct {
		number uint64
		at     time.Time
	}
	taken, slowest := []proposed{}, time.Duration(0)
	for position := range count {
		change, err := next(position)
		if err != nil {
			return err
		}
		sent := time.Now()
		number, err := propose(ctx, trial.caller, trial.controls(), change)
		if err != nil {
			return err
		}
		slowest = max(slowest, time.Since(sent))
		taken = append(taken, proposed{number, sent})
	}
	acknowledged := time.Since(began)
	maximum, medians := time.Duration(0), time.Duration(0)
	for _, change := range taken {
		delays, err := trial.hollow.Delays(ctx, change.number, change.at)
		if err != nil {
			return err
		}
		maximum = max(maximum, delays[len(delays)-1])
		medians += delays[len(delays)/2]
	}
	after, err := trial.sample(ctx)
	if err != nil {
		return err
	}
	figures := trial.measurement.Figures
	figures[name+".acknowledged_most_s"] = slowest.Seconds()
	figures[name+".acknowledged_mean_s"] = acknowledged.Seconds() / float64(count)
	figures[name+".in_force_median_s"] = medians.Seconds() / float64(count)
	figures[name+".in_force_most_s"] = maximum.Seconds()
	figures[name+".bytes_in_per_hollow"] = float64(after.read-before.read) / float64(trial.step.Nodes*count)
	seconds, processes := map[string]float64{}, map[string]float64{}
	for _, process := range trial.fleet.Processes {
		if used, found := after.processes[process.Name]; found {
			seconds[process.Role] += used.Seconds - before.processes[process.Name].Seconds
			processes[process.Role]++
			if process.Role == "control" {
				figures[name+".control_memory_mib"] = max(figures[name+".control_memory_mib"], used.Memory)
			}
		}
	}
	for role, used := range seconds {
		figures[name+"."+role+"_processor_s"] = used / processes[role] / float64(count)
	}
	return nil
}

func (trial *stepRun) smallChanges(ctx context.Context) error {
	return trial.burst(ctx, "small_change", trial.step.Changes, func(position int) (feed.Change, error) { return domainChange(position%2 == 0), nil })
}

// configsInBurst is few: each carries all routes.
const configsInBurst = 5

func (trial *stepRun) configs(ctx context.Context) error {
	return trial.burst(ctx, "config", configsInBurst, func(position int) (feed.Change, error) {
		return withRouting(trial.hollow.Nodes()[0].View(), trial.step.Routes, uint64(position+2))
	})
}

// runnerLeaves has the platform list one runner as leaving, and waits until every
// hollow node has it so. The platform's lag and the poll of its list are in it.
func (trial *stepRun) runnerLeaves(ctx context.Context) error {
	list := RunnerList(trial.step.Runners)
	list[0].State = feed.StateDraining
	sent := time.Now()
	if err := putRunnerList(ctx, trial.fleet.Platform, list); err != nil {
		return err
	}
	err := trial.hollow.Await(ctx, "told of the runner", func(node *HollowNode) bool {
		for _, runner := range node.View().Runners {
			if runner.Address == list[0].Address {
				return runner.State == feed.StateDraining
			}
		}
		return false
	})
	trial.measurement.Figures["runner_leaves.in_force_most_s"] = time.Since(sent).Seconds()
	return err
}

// failOver kills the control leader, waits until a change is in force everywhere
// under another one, and starts the killed process again.
func (trial *stepRun) failOver(ctx context.Context) error {
	var leader *fleet.Process
	for _, control := range trial.fleet.ProcessesOf("control") {
		if status, err := trial.status(ctx, control.Address); err == nil && status.Leader == status.Name {
			leader = control
		}
	}
	if leader == nil {
		return errors.New("no control node leads")
	}
	figures := trial.measurement.Figures
	leader.Kill()
	killed := time.Now()
	staleNow, staleAt := 0, time.Now()
	staleSeconds, maximumStale, lastStale := 0.0, 0, time.Duration(0)
	sample := func() {
		now := time.Now()
		staleSeconds += float64(staleNow) * now.Sub(staleAt).Seconds()
		if staleNow, staleAt = trial.hollow.Stale(), now; staleNow > 0 {
			lastStale = now.Sub(killed)
		}
		maximumStale = max(maximumStale, staleNow)
	}
	type outcome struct {
		number uint64
		err    error
	}
	changed := make(chan outcome, 1)
	go func() {
		number, err := propose(ctx, trial.caller, trial.controls(), domainChange(true))
		changed <- outcome{number, err}
	}()
	var got outcome
	for waiting := true; waiting; {
		select {
		case got = <-changed:
			waiting = false
		case <-time.After(20 * time.Millisecond):
			sample()
		}
	}
	if got.err != nil {
		return got.err
	}
	figures["failover.acknowledged_s"] = time.Since(killed).Seconds()
	delays, err := trial.hollow.Delays(ctx, got.number, killed)
	if err != nil {
		return err
	}
	figures["failover.in_force_most_s"] = delays[len(delays)-1].Seconds()
	figures["failover.in_force_median_s"] = delays[len(delays)/2].Seconds()
	for settled := time.Now().Add(time.Second); time.Now().Before(settled); {
		select {
		case <-time.After(20 * time.Millisecond):
			sample()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	figures["failover.stale_seconds_per_hollow"] = staleSeconds / float64(trial.step.Nodes)
	figures["failover.most_stale_share"] = float64(maximumStale) / float64(trial.step.Nodes)
	figures["failover.last_stale_s"] = lastStale.Seconds()
	return trial.restart(ctx, leader, got.number)
}

// loseZone kills all real processes of one domain at once, waits until a change is in
// force at the hollow nodes, and starts them again.
func (trial *stepRun) loseZone(ctx context.Context) error {
	lost := []*fleet.Process{}
	for _, role := range []string{"control", "store", "front"} {
		for _, process := range trial.fleet.ProcessesOf(role) {
			if process.Domain == domains[0] {
				lost = append(lost, process)
			}
		}
	}
	for _, process := range lost {
		process.Kill()
	}
	killed := time.Now()
	number, err := propose(ctx, trial.caller, trial.controls(), domainChange(false))
	if err != nil {
		return err
	}
	figures := trial.measurement.Figures
	figures["zone_lost.acknowledged_s"] = time.Since(killed).Seconds()
	delays, err := trial.hollow.Delays(ctx, number, killed)
	if err != nil {
		return err
	}
	figures["zone_lost.in_force_most_s"] = delays[len(delays)-1].Seconds()
	for _, process := range lost {
		began := time.Now()
		if err := process.Start(); err != nil {
			return err
		}
		if err := fleet.AwaitReady(ctx, process.PublicAddress); err != nil {
			return fmt.Errorf("%s: %w", process.Name, err)
		}
		figures["zone_lost."+process.Role+"_ready_s"] = time.Since(began).Seconds()
	}
	return nil
}

// restart starts a killed control process again and waits until it holds what is in
// force and knows the leader.
func (trial *stepRun) restart(ctx context.Context, process *fleet.Process, number uint64) error {
	began := time.Now()
	if err := process.Start(); err != nil {
		return err
	}
	for {
		status, err := trial.status(ctx, process.Address)
		if err == nil && status.ViewNumber >= number && status.Leader != "" {
			trial.measurement.Figures["restart.control_s"] = time.Since(began).Seconds()
			return nil
		}
		if err != nil {
			trial.caller.Drop(process.Address)
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("%s did not come back: %w", process.Name, ctx.Err())
		}
	}
}

// withinMemory refuses to go on past half of the machine's memory.
func (trial *stepRun) withinMemory(context.Context) error {
	complete, err := machineMemory()
	if err != nil {
		return err
	}
	ids := []int{os.Getpid()}
	for _, process := range trial.fleet.Processes {
		if process.PID() > 0 {
			ids = append(ids, process.PID())
		}
	}
	taken := 0.0
	for _, id := range ids {
		usage, err := UsageOf(id)
		if err != nil {
			return err
		}
		taken += usage.Memory
	}
	if taken > complete*memoryShare {
		return &StepError{fmt.Sprintf("the step %+v takes %.0f MiB, more than half of the machine's %.0f", trial.step, taken, complete), "measure smaller steps and stretch the slope"}
	}
	return nil
}
