package simulator

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/controlplane"
	"yardrock.example/system/replica"
)

// The tokens of the root operator and of the two teams of BasicConfig.
const (
	RootToken  = "root"
	TeamToken  = "depot-token"
	OtherToken = "other-token"
)

// Shape is the size and the settings of a cluster, whose nodes are spread over three domains.
type Shape struct {
	Controls, Stores, Fronts, Models, Applications int
	// Replicas is the number of replicas of each group; 0 means three.
	Replicas uint32
	// Groups is the number of groups of sessions; 0 means 8, which is also the minimum.
	Groups uint32
	// Engines and Tools count the runners of forwarded requests. If there are any, the control
	// nodes discover runners through Cluster.RunnerList, else through the stand-in platform.
	Engines, Tools int
	// Records and OtherRecords count the runners of the groups "records" and "other-records". The
	// runners of each group share a table of operations.
	Records, OtherRecords int
	// AutoEnrol lets the control nodes enrol stores by themselves.
	AutoEnrol bool
	// Adjust changes the settings of each control node that starts.
	Adjust func(cluster *Cluster, settings *controlplane.Settings)
	// BufferBytes limits the bytes of forwarded requests that each front buffers; 0 means the
	// front's default.
	BufferBytes int64
}

// Small is the shape that most tests use.
var Small = Shape{Controls: 3, Stores: 3, Fronts: 2, Models: 2, Applications: 2}

// Cluster is a complete cluster in one process. Stop ends its nodes, runners and connections.
type Cluster struct {
	Network        *Network
	Controls       []*Machine
	Stores         []*Machine
	Fronts         []*Machine
	Runners        []*RunnerMachine
	Engines        []*EngineMachine
	RunnerList     *RunnerList
	Platform       *standin.Platform
	seeds          []string
	platformServer *http.Server
	Seed           uint64
	groups         uint32
	replicas       uint32
	autoEnrol      bool
	caller         *Host
	adjust         func(cluster *Cluster, settings *controlplane.Settings)
	bufferBytes    int64
	// adjustReplica, if set, changes the replica settings of each node that starts.
	adjustReplica func(settings *replica.Settings)
}

func domain(index int) string { return []string{"east", "middle", "west"}[index%3] }

// Start starts a cluster with a config and waits until every front serves. After an error, a
// cluster that is not nil must still be stopped.
//
//	cluster, err := simulator.Start(7, simulator.Small, configSource)
//	defer cluster.Stop()
func Start(seed uint64, shape Shape, template string) (*Cluster, error) {
	cluster, err := assemble(seed, shape)
	if err != nil {
		return cluster, err
	}
	return cluster, cluster.bootstrap(template)
}

// bootstrap starts all nodes on their empty disks, stores the first config and waits until every
// front serves.
func (cluster *Cluster) bootstrap(template string) error {
	for _, machine := range cluster.Machines() {
		if err := machine.Start(); err != nil {
			return err
		}
	}
	if err := cluster.PutConfig(template); err != nil {
		return err
	}
	return cluster.AwaitServing(20 * time.Second)
}

// assemble creates a cluster with empty disks. It starts the runners but not the nodes.
func assemble(seed uint64, shape Shape) (*Cluster, error) {
	cluster := &Cluster{Network: NewNetwork(seed), Seed: seed, groups: max(shape.Groups, 8), replicas: shape.Replicas, autoEnrol: shape.AutoEnrol, Platform: &standin.Platform{}, adjust: shape.Adjust, bufferBytes: shape.BufferBytes}
	if shape.Engines+shape.Tools+shape.Records+shape.OtherRecords > 0 {
		cluster.RunnerList = &RunnerList{}
	}
	cluster.caller = cluster.Network.At("10.9.9.9")
	for index := range 3 {
		cluster.seeds = append(cluster.seeds, fmt.Sprintf("10.0.0.%d:7000", index+1))
	}
	if err := cluster.startRunners(shape); err != nil {
		return nil, err
	}
	if err := cluster.startEngines(shape); err != nil {
		return nil, err
	}
	for index := range shape.Controls {
		cluster.Controls = append(cluster.Controls, cluster.AddControl(index))
	}
	for index := range shape.Stores {
		cluster.Stores = append(cluster.Stores, cluster.AddStore(index))
	}
	for index := range shape.Fronts {
		cluster.Fronts = append(cluster.Fronts, cluster.addFront(index))
	}
	return cluster, nil
}

// Random returns a random generator that is seeded with the cluster's seed and the number of a
// stream, so that the streams of a test are independent.
//
//	victim := cluster.Stores[cluster.Random(3).IntN(len(cluster.Stores))]
func (cluster *Cluster) Random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(cluster.Seed, stream))
}

// Machines returns the machines of the control nodes, stores and fronts.
//
//	for _, machine := range cluster.Machines() { machine.Kill() }
func (cluster *Cluster) Machines() []*Machine {
	return slices.Concat(cluster.Controls, cluster.Stores, cluster.Fronts)
}

func (cluster *Cluster) replicaSettings(index int) replica.Settings {
	settings := replica.DefaultSettings(cluster.Seed*1000 + uint64(index))
	if cluster.Seed%2 == 1 {
		settings.SnapshotEntries = 48 // so that snapshots are made and sent within a test
	}
	if cluster.adjustReplica != nil {
		cluster.adjustReplica(&settings)
	}
	return settings
}

// Stop ends all nodes and runners.
//
//	defer cluster.Stop()
func (cluster *Cluster) Stop() {
	for _, machine := range cluster.Machines() {
		machine.Kill()
	}
	for _, runner := range cluster.Runners {
		runner.server.Close()
	}
	for _, engine := range cluster.Engines {
		engine.server.Close()
	}
	cluster.platformServer.Close()
}

// Await calls a function every 50 ms until it returns no error or the timeout has passed.
//
//	err := cluster.Await(12*time.Second, "serving", try)
func (*Cluster) Await(timeout time.Duration, what string, try func() error) error {
	began := time.Now()
	for {
		err := try()
		if err == nil {
			return nil
		}
		if time.Since(began) > timeout {
			return fmt.Errorf("no %s after %s: %w", what, timeout, err)
		}
		<-time.After(50 * time.Millisecond)
	}
}

// AwaitServing waits until a turn succeeds at every running front.
//
//	err := cluster.AwaitServing(12 * time.Second)
func (cluster *Cluster) AwaitServing(timeout time.Duration) error {
	began := time.Now()
	for _, machine := range cluster.Fronts {
		if machine.Front == nil {
			continue
		}
		err := cluster.Await(timeout-time.Since(began), "turn at "+machine.Host, func() error {
			_, err := cluster.Turn(machine, map[string]any{"program": "dialogue", "kind": "talk", "words": "are you there"})
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}
