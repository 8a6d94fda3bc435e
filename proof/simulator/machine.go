package simulator

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/config"
	"yardrock.example/system/controlplane"
	"yardrock.example/system/front"
	"yardrock.example/system/httpapi"
	"yardrock.example/system/store"
)

// Machine is a host of the cluster with its disks and, while one runs, its node.
type Machine struct {
	Host    string
	Domain  string
	Disk    *Disk
	Archive *Disk
	Control *controlplane.Node
	Store   *store.Node
	Front   *front.Node
	// ClockOffset is how far the wall clock of a store's machine is ahead of the bubble's clock.
	ClockOffset time.Duration
	admin       *httpapi.Server
	start       func() error
}

// RunnerMachine is a host with a stand-in runner.
type RunnerMachine struct {
	Host   string
	Domain string
	Runner *standin.Runner
	server *http.Server
}

// AddControl returns a new control machine. The caller starts it and adds it to Cluster.Controls.
//
//	machine := cluster.AddControl(5)
func (cluster *Cluster) AddControl(index int) *Machine {
	machine := &Machine{Host: fmt.Sprintf("10.0.0.%d", index+1), Domain: domain(index), Disk: NewDisk(cluster.Seed + uint64(index))}
	machine.start = func() (err error) {
		settings := controlplane.Settings{
			Address: machine.Host + ":7000", AdminAddress: machine.Host + ":7200", Domain: machine.Domain, Seeds: cluster.seeds,
			FoundingStores: 3, Groups: cluster.groups, ReplicationFactor: cluster.replicas, MaxControls: 5, Replica: cluster.replicaSettings(index), AutoEnrol: cluster.autoEnrol,
		}
		if cluster.RunnerList != nil {
			settings.RunnerSource = cluster.RunnerList
		}
		if cluster.adjust != nil {
			cluster.adjust(cluster, &settings)
		}
		machine.Control, err = controlplane.Start(settings, machine.Disk, cluster.Network.At(machine.Host))
		if err != nil {
			return err
		}
		machine.admin, err = controlplane.ServeAdmin(machine.Control, config.HashToken(RootToken))
		return err
	}
	return machine
}

// AddStore returns a new store machine. The caller starts it and adds it to Cluster.Stores.
//
//	machine := cluster.AddStore(3)
func (cluster *Cluster) AddStore(index int) *Machine {
	machine := &Machine{Host: fmt.Sprintf("10.0.1.%d", index+1), Domain: domain(index), Disk: NewDisk(cluster.Seed + 100 + uint64(index)), Archive: NewDisk(cluster.Seed + 200 + uint64(index))}
	machine.start = func() (err error) {
		machine.Store, err = store.Start(store.Settings{Address: machine.Host + ":7000", Domain: machine.Domain, Machine: "storage " + machine.Host, Seeds: cluster.seeds, Replica: cluster.replicaSettings(100 + index), WallClock: machine.wallClock},
			machine.Disk, machine.Archive, cluster.Network.At(machine.Host))
		return err
	}
	return machine
}

func (cluster *Cluster) addFront(index int) *Machine {
	machine := &Machine{Host: fmt.Sprintf("10.0.2.%d", index+1), Domain: domain(index)}
	machine.start = func() (err error) {
		machine.Front, err = front.Start(front.Settings{Address: machine.Host + ":7000", PublicAddress: machine.Host + ":7100", Domain: machine.Domain, Seeds: cluster.seeds, HeaderNames: standin.HeaderNames, MaxBufferedBytes: cluster.bufferBytes}, cluster.Network.At(machine.Host))
		return err
	}
	return machine
}

func (machine *Machine) wallClock() time.Time { return time.Now().Add(machine.ClockOffset) }

// Start starts the machine's node from the content of its disks.
//
//	err := machine.Start()
func (machine *Machine) Start() error { return machine.start() }

// Kill ends the machine's node as SIGKILL does: writes that were not synced are kept.
//
//	machine.Kill()
func (machine *Machine) Kill() {
	for _, disk := range []*Disk{machine.Disk, machine.Archive} {
		if disk != nil {
			disk.Resume()
		}
	}
	if machine.admin != nil {
		machine.admin.Close()
	}
	if machine.Control != nil {
		machine.Control.Close()
	}
	if machine.Store != nil {
		machine.Store.Close()
	}
	if machine.Front != nil {
		machine.Front.Close()
	}
	machine.admin, machine.Control, machine.Store, machine.Front = nil, nil, nil, nil
}

// LosePower kills the node and calls LosePower of its disks.
//
//	machine.LosePower()
func (machine *Machine) LosePower() {
	machine.Kill()
	for _, disk := range []*Disk{machine.Disk, machine.Archive} {
		if disk != nil {
			disk.LosePower()
		}
	}
}

// Wipe empties the disks of a machine whose node was killed.
//
//	machine.Wipe()
func (machine *Machine) Wipe() {
	for _, disk := range []*Disk{machine.Disk, machine.Archive} {
		if disk != nil {
			disk.Wipe()
		}
	}
}

// Stop ends the runner's process. Start starts it again and keeps the record of what it ran.
//
//	machine.Stop()
func (machine *RunnerMachine) Stop() { machine.server.Close() }

// Start starts the runner again.
//
//	err := machine.Start(cluster)
func (machine *RunnerMachine) Start(cluster *Cluster) error {
	listener, err := cluster.Network.At(machine.Host).Listen(machine.Host + ":8000")
	if err != nil {
		return err
	}
	machine.server = &http.Server{Handler: machine.Runner}
	serve(machine.server, listener)
	return nil
}

// serve serves a listener until the server is closed. The error of Serve is ignored, as a
// simulated listener fails only after it was closed.
func serve(server *http.Server, listener net.Listener) {
	go func() { _ = server.Serve(listener) }()
}

func (cluster *Cluster) startRunners(shape Shape) error {
	latencies := standin.Latencies{FirstPiece: 20 * time.Millisecond, NextPiece: 10 * time.Millisecond, PlainAnswer: 10 * time.Millisecond}
	listed := []standin.ListedRunner{}
	add := func(host, group string, index int) error {
		runner := standin.NewRunner(latencies)
		machine := &RunnerMachine{Host: host, Domain: domain(index), Runner: runner}
		if err := machine.Start(cluster); err != nil {
			return err
		}
		cluster.Runners = append(cluster.Runners, machine)
		listed = append(listed, standin.ListedRunner{Address: host + ":8000", Group: group, Domain: domain(index), State: "serving"})
		return nil
	}
	var errs error
	for index := range shape.Models {
		errs = errors.Join(errs, add(fmt.Sprintf("10.0.3.%d", index+1), "small", index))
	}
	for index := range shape.Applications {
		errs = errors.Join(errs, add(fmt.Sprintf("10.0.4.%d", index+1), "application", index))
	}
	cluster.Platform.Put(listed)
	listener, err := cluster.Network.At("10.0.5.1").Listen("10.0.5.1:9000")
	if err != nil {
		return err
	}
	cluster.platformServer = &http.Server{Handler: cluster.Platform}
	serve(cluster.platformServer, listener)
	return errs
}
