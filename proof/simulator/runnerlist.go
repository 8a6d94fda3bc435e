package simulator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/feed"
)

// EngineMachine is a host with a stand-in engine.
type EngineMachine struct {
	Host   string
	Domain string
	Group  string
	Engine *standin.Engine
	server *http.Server
	// operations is the table that the engines of its group share; nil if they have none.
	operations *standin.OperationTable
}

// RunnerList is a list of runners that control nodes poll. It is safe for concurrent use.
type RunnerList struct {
	mutex   sync.Mutex
	runners []feed.Runner
	putAt   time.Time
	listErr error
	polls   int
}

// List returns the runners of the last Put and the error that Fail has set. The remaining warm-up
// time of each runner is reduced by the time since Put.
//
//	runners, err := cluster.RunnerList.List(ctx)
func (runnerList *RunnerList) List(context.Context) ([]feed.Runner, error) {
	runnerList.mutex.Lock()
	defer runnerList.mutex.Unlock()
	runnerList.polls++
	runners := append([]feed.Runner{}, runnerList.runners...)
	for index, runner := range runners {
		if remaining := runner.WarmUpLeft - time.Since(runnerList.putAt); runner.WarmUpLeft > 0 && remaining > 0 {
			runners[index].WarmUpLeft = remaining
		} else if runner.WarmUpLeft > 0 {
			runners[index].State, runners[index].WarmUpLeft = feed.StateServing, 0
		}
	}
	return runners, runnerList.listErr
}

// Polls returns the number of calls of List.
//
//	polls := cluster.RunnerList.Polls()
func (runnerList *RunnerList) Polls() int {
	runnerList.mutex.Lock()
	defer runnerList.mutex.Unlock()
	return runnerList.polls
}

// Put replaces the list.
//
//	cluster.RunnerList.Put(runners)
func (runnerList *RunnerList) Put(runners []feed.Runner) {
	runnerList.mutex.Lock()
	runnerList.runners, runnerList.putAt = append([]feed.Runner{}, runners...), time.Now()
	runnerList.mutex.Unlock()
}

// Fail makes List return an error, until it is called with nil.
//
//	cluster.RunnerList.Fail(errors.New("throttled"))
func (runnerList *RunnerList) Fail(err error) {
	runnerList.mutex.Lock()
	runnerList.listErr = err
	runnerList.mutex.Unlock()
}

// Runner returns the engine's entry in the runner list, in state serving.
//
//	cluster.RunnerList.Put([]feed.Runner{machine.Runner()})
func (machine *EngineMachine) Runner() feed.Runner {
	return feed.Runner{Incarnation: machine.Engine.Incarnation, Address: machine.Host + ":8000", Group: machine.Group, Domain: machine.Domain, State: feed.StateServing, Slots: 32}
}

// Stop ends the engine's process.
//
//	machine.Stop()
func (machine *EngineMachine) Stop() { machine.server.Close() }

// Start starts a new engine with its own incarnation and an empty record of executions.
//
//	err := machine.Start(cluster, "life-7")
func (machine *EngineMachine) Start(cluster *Cluster, incarnation string) error {
	listener, err := cluster.Network.At(machine.Host).Listen(machine.Host + ":8000")
	if err != nil {
		return err
	}
	machine.Engine = standin.NewEngine(incarnation, standin.Latencies{FirstPiece: 20 * time.Millisecond, NextPiece: 10 * time.Millisecond, PlainAnswer: 10 * time.Millisecond})
	machine.Engine.Operations = machine.operations
	machine.server = &http.Server{Handler: machine.Engine}
	serve(machine.server, listener)
	return nil
}

// operationTable returns the table that the engines of a group share; nil if they have none.
func operationTable(group string) *standin.OperationTable {
	if group == "records" || group == "other-records" {
		return standin.NewOperationTable()
	}
	return nil
}

func (cluster *Cluster) startEngines(shape Shape) error {
	var errs error
	for group, count := range map[string]int{"engines": shape.Engines, "tools": shape.Tools, "records": shape.Records, "other-records": shape.OtherRecords} {
		operations := operationTable(group)
		for index := range count {
			machine := &EngineMachine{Host: fmt.Sprintf("10.0.6.%d", len(cluster.Engines)+1), Domain: domain(index), Group: group, operations: operations}
			errs = errors.Join(errs, machine.Start(cluster, fmt.Sprintf("life-%d", len(cluster.Engines)+1)))
			cluster.Engines = append(cluster.Engines, machine)
		}
	}
	if cluster.RunnerList != nil {
		cluster.ListEngines()
	}
	return errs
}

// ListEngines puts all engines and runners on the runner list as serving.
//
//	cluster.ListEngines()
func (cluster *Cluster) ListEngines() {
	listed := []feed.Runner{}
	for _, machine := range cluster.Engines {
		listed = append(listed, machine.Runner())
	}
	for _, machine := range cluster.Runners {
		group := "small"
		if strings.HasPrefix(machine.Host, "10.0.4.") {
			group = "application"
		}
		listed = append(listed, feed.Runner{Address: machine.Host + ":8000", Group: group, Domain: machine.Domain, State: feed.StateServing})
	}
	cluster.RunnerList.Put(listed)
}
