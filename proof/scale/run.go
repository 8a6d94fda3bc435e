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

// Settings are those of all steps of a run.
type Settings struct {
	Programs      string        // folder of the built programs
	Folder        string        // for data and logs of the real processes
	IdlePeriod    time.Duration // how long nothing changes while usage is measured
	StartInterval time.Duration // how long after the one before it a hollow node starts
	Real          fleet.Deployment
	// LoadsStores selects the measurement of the stores instead of the control plane.
	LoadsStores bool
}

// RealProcesses is the deployment of real processes beside the hollow nodes.
var RealProcesses = fleet.Deployment{Name: "scale", Domains: domains, Fronts: 2, Stores: 3, Controls: 3}

// ProcessUsage is what one real process used in a second of the idle period.
type ProcessUsage struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Leading bool   `json:"leading,omitempty"` // it leads the control group
	Rate
}

// Measurement is what one step cost. Figures are by name; those of a role are means over
// its processes, unless the name says most.
type Measurement struct {
	Step      Step               `json:"step"`
	Figures   map[string]float64 `json:"figures"`
	Processes []ProcessUsage     `json:"processes"`
	// Failed says why the step did not end; its figures are those measured before.
	Failed string `json:"failed,omitempty"`
}

// phase is one part of a step.
type phase struct {
	name string
	run  func(context.Context) error
}

// stepRun is one step while it runs.
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

// Run measures one step on a new fleet, and stops the fleet.
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

// status reads a process's status and its traffic counters.
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

// populate puts the step's runners and routes in force.
func (trial *stepRun) populate(ctx context.Context) error {
	if err := putRunnerList(ctx, trial.fleet.PlatformAddress, RunnerList(trial.step.Runners)); err != nil {
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

// settleTime is how long a run waits after the nodes have joined. By then the slow start of the
// runners, whose end is a change of the runner list, is over.
const settleTime = 4 * time.Second

// startHollowNodes starts the hollow nodes and waits until all of them know each other.
func (trial *stepRun) startHollowNodes(ctx context.Context) error {
	listener, err := link.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	trial.servers = append(trial.servers, link.Serve(listener, func(context.Context, *wire.Query) *wire.Reply { return &wire.Reply{} }))
	debug.FreeOSMemory() // so that resident memory is memory in use
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

// withinMemory returns an error if the run uses more than memoryShare of the machine's memory.
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
