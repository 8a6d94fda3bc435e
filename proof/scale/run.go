package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"yardrock.example/proof/fleet"
	"yardrock.example/proof/standin"
	"yardrock.example/system/link"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// Settings are common to all steps of a run.
type Settings struct {
	Binaries      string        // directory of the built binaries
	Folder        string        // directory for data and logs of the real processes
	IdlePeriod    time.Duration // how long idle usage is measured
	StartInterval time.Duration // time between the starts of hollow nodes
	Deployment    fleet.Deployment
	// LoadsStores measures the stores instead of the control plane.
	LoadsStores bool
}

// RealProcesses is the deployment of real processes that the hollow nodes connect to.
var RealProcesses = fleet.Deployment{Name: "scale", Domains: domains, Fronts: 2, Stores: 3, Controls: 3}

// ProcessUsage is the usage rate of one real process in the idle period.
type ProcessUsage struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Leading bool   `json:"leading,omitempty"` // leader of the control group
	Rate
}

// Measurement is the result of one step. Figures are keyed by name; the figure of a role is the mean
// over its processes, or the maximum if its name contains "most".
type Measurement struct {
	Step      Step               `json:"step"`
	Figures   map[string]float64 `json:"figures"`
	Processes []ProcessUsage     `json:"processes"`
	// Failed is the error that stopped the step; Figures then has those measured before.
	Failed string `json:"failed,omitempty"`
}

// phase is one stage of a step; its name prefixes its errors.
type phase struct {
	name string
	run  func(context.Context) error
}

// stepRun is the state of a running step.
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

// Run starts a fleet, measures one step on it and stops it. The logs of a failed step are kept.
//
//	measurement, err := scale.Run(ctx, settings, step)
func Run(ctx context.Context, settings Settings, step Step) (Measurement, error) {
	folder := filepath.Join(settings.Folder, fmt.Sprintf("nodes-%d-runners-%d-routes-%d-groups-%d", step.Nodes, step.Runners, step.Routes, step.Groups))
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return Measurement{}, err
	}
	measurement, err := measure(ctx, settings, step, folder)
	if err != nil {
		return measurement, fmt.Errorf("%w (logs are in %s)", err, folder)
	}
	return measurement, os.RemoveAll(folder)
}

func measure(ctx context.Context, settings Settings, step Step, folder string) (Measurement, error) {
	deployment := settings.Deployment
	deployment.Groups = step.Groups
	started, err := fleet.Start(ctx, deployment, settings.Binaries, folder, standin.Latencies{}, false)
	if err != nil {
		return Measurement{}, err
	}
	defer started.Stop()
	run := &stepRun{settings: settings, step: step, fleet: started, caller: link.NewClient(link.TCP{}), hollow: &HollowNodes{}, measurement: Measurement{Step: step, Figures: map[string]float64{}}}
	defer run.caller.Close()
	defer run.stop()
	phases := []phase{{"fill", run.populate}, {"join", run.startHollowNodes}, {"quiet", run.measureIdle}}
	if settings.LoadsStores {
		phases = append(phases, phase{"programs", run.createPrograms}, phase{"turns", run.measureTurns}, phase{"store restarts", run.restartStore})
	} else {
		phases = append(phases, phase{"small changes", run.measureSmallChanges}, phase{"configs", run.measureConfigs}, phase{"runner leaves", run.measureRunnerDrain}, phase{"fail-over", run.measureFailover}, phase{"zone lost", run.measureZoneLoss})
	}
	for _, phase := range phases {
		if err := phase.run(ctx); err != nil {
			return run.measurement, fmt.Errorf("%s: %w", phase.name, err)
		}
		if err := run.checkMemory(ctx); err != nil {
			return run.measurement, err
		}
	}
	return run.measurement, nil
}

func (run *stepRun) stop() {
	run.hollow.Stop()
	for _, server := range run.servers {
		server.Close()
	}
}

func (run *stepRun) controlAddresses() []string {
	addresses := []string{}
	for _, control := range run.fleet.ProcessesOf("control") {
		if control.PID() > 0 {
			addresses = append(addresses, control.Address)
		}
	}
	return addresses
}

// status queries a process for its status and traffic counters.
func (run *stepRun) status(ctx context.Context, address string) (*wire.StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	reply, err := run.caller.Call(ctx, address, &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{Traffic: true}})
	if err != nil {
		return nil, err
	}
	if reply.Status == nil {
		return nil, errors.New(address + " replied without a status")
	}
	return reply.Status, nil
}

// populate lists the step's runners, proposes its routes and waits until both are in force.
func (run *stepRun) populate(ctx context.Context) error {
	if err := putRunnerList(ctx, run.fleet.PlatformAddress, RunnerList(run.step.Runners)); err != nil {
		return err
	}
	observer := &HollowNodes{}
	defer observer.Stop()
	if err := observer.Grow(ctx, 1, 0, "127.0.0.1:1", run.controlAddresses(), func(int) link.Network { return link.TCP{} }); err != nil {
		return err
	}
	if err := observer.Await(ctx, "fresh", (*HollowNode).UpToDate); err != nil {
		return err
	}
	change, err := withRouting(observer.Nodes()[0].View(), run.step.Routes, 1)
	if err != nil {
		return err
	}
	number, err := propose(ctx, run.caller, run.controlAddresses(), change)
	if err != nil {
		return err
	}
	if err := observer.Await(ctx, "populated", func(node *HollowNode) bool {
		view := node.View()
		return view.Number >= number && len(view.Runners) == run.step.Runners
	}); err != nil {
		return err
	}
	view := observer.Nodes()[0].View()
	run.measurement.Figures["view.kib"] = float64(len(wire.MustEncode(schema.View_TypeID, view))) / 1024
	run.measurement.Figures["view.config_kib"] = float64(len(view.Source)+len(view.Compiled)) / 1024
	return nil
}

// settleTime is how long a run waits after the nodes have joined: longer than the slow start of the
// runners, whose end changes the runner list.
const settleTime = 4 * time.Second

// startHollowNodes starts the hollow nodes and waits until the view of each is fresh and the runners
// have settled.
func (run *stepRun) startHollowNodes(ctx context.Context) error {
	listener, err := link.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	run.servers = append(run.servers, link.Serve(listener, func(context.Context, *wire.Query) *wire.Reply { return &wire.Reply{} }))
	debug.FreeOSMemory() // makes resident memory reflect memory in use
	before, err := UsageOf(os.Getpid())
	if err != nil {
		return err
	}
	began := time.Now()
	rampUp := max(time.Second, time.Duration(run.step.Nodes)*run.settings.StartInterval)
	if err := run.hollow.Grow(ctx, run.step.Nodes, rampUp, listener.Addr().String(), run.controlAddresses(), func(int) link.Network { return link.TCP{} }); err != nil {
		return err
	}
	if err := run.hollow.Await(ctx, "fresh", (*HollowNode).UpToDate); err != nil {
		return err
	}
	run.measurement.Figures["join.after_last_s"] = (time.Since(began) - rampUp).Seconds()
	select {
	case <-time.After(settleTime):
	case <-ctx.Done():
		return ctx.Err()
	}
	debug.FreeOSMemory()
	after, err := UsageOf(os.Getpid())
	run.measurement.Figures["hollow.memory_mib"] = (after.Memory - before.Memory) / float64(run.step.Nodes)
	return err
}

// checkMemory returns an error if the run uses more than maxMemoryShare of the machine's memory.
func (run *stepRun) checkMemory(context.Context) error {
	total, err := machineMemory()
	if err != nil {
		return err
	}
	ids := []int{os.Getpid()}
	for _, process := range run.fleet.Processes {
		if process.PID() > 0 {
			ids = append(ids, process.PID())
		}
	}
	used := 0.0
	for _, id := range ids {
		usage, err := UsageOf(id)
		if err != nil {
			return err
		}
		used += usage.Memory
	}
	if used > total*maxMemoryShare {
		return &StepError{fmt.Sprintf("the step %+v uses %.0f MiB, more than half of the machine's %.0f MiB", run.step, used, total), "measure smaller steps and extrapolate the slope"}
	}
	return nil
}
