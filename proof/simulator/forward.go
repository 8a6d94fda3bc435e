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
	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/forwarding"
)

// Host of the simulated routes.
const RoutedHost = "talk.example"

// RoutedConfig is a config with routes to engines: talk that is kept, chat that may be
// resumed and is not kept, lookups that may be repeated and orders that may not.
const RoutedConfig = BasicConfig + `
routing: {
	revision: 1
	services: [
		{name: "engines", health_path: "/health", most_connections: 60, cold_for: "3s", cold_rate: 20, engine: {slots: 32, cache_tokens: 190000, tokens_per_event: 4}},
		{name: "tools", health_path: "/health", most_connections: 60, cold_for: "0s", cold_rate: 0},
	]
	routes: [
		{name: "kept", host: "talk.example", prefix: "/talk/kept/", kind: "streaming", patience: "4s", target: "250ms", gap: "400ms", urgency: 0, shares: [{service: "engines", weight: 1}], tries: 2, keeps_history: true, keep: "60s", sticky: true},
		{name: "chat", host: "talk.example", prefix: "/talk/chat/", kind: "streaming", patience: "4s", target: "250ms", gap: "400ms", urgency: 1, shares: [{service: "engines", weight: 1}], tries: 2, keep: "60s", sticky: true, resumable: true},
		{name: "lookup", host: "talk.example", prefix: "/lookup/", kind: "repeatable", patience: "2s", target: "150ms", urgency: 2, shares: [{service: "tools", weight: 1}], tries: 3},
		{name: "order", host: "talk.example", prefix: "/order/", kind: "once", patience: "3s", target: "500ms", urgency: 2, shares: [{service: "tools", weight: 1}], tries: 2},
	]
	bounds: {header_bytes: 16384, body_bytes: 4194304, header_wait: "3s", idle: "15s"}
}
`

// EngineMachine is one host with a stand-in engine.
type EngineMachine struct {
	Host   string
	Domain string
	Group  string
	Engine *standin.Engine
	server *http.Server
}

// RunnerList is the platform's list of engines, as control nodes ask it.
type RunnerList struct {
	mutex   sync.Mutex
	runners []feed.Runner
	put     time.Time
	failing error
	polls   int
}

// List gives the list, or the failure that was put. For how long runners stay cold counts
// down.
//
//	runners, err := cluster.RunnerList.List(ctx)
func (runnerList *RunnerList) List(context.Context) ([]feed.Runner, error) {
	runnerList.mutex.Lock()
	defer runnerList.mutex.Unlock()
	runnerList.polls++
	runners := append([]feed.Runner{}, runnerList.runners...)
	for position, runner := range runners {
		if left := runner.WarmUpLeft - time.Since(runnerList.put); runner.WarmUpLeft > 0 && left > 0 {
			runners[position].WarmUpLeft = left
		} else if runner.WarmUpLeft > 0 {
			runners[position].State, runners[position].WarmUpLeft = feed.StateServing, 0
		}
	}
	return runners, runnerList.failing
}

// Polls tells how often the list was asked for.
//
//	asks := cluster.RunnerList.Polls()
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
	runnerList.runners, runnerList.put = append([]feed.Runner{}, runners...), time.Now()
	runnerList.mutex.Unlock()
}

// Fail makes asking for the list fail, until it is nil.
//
//	cluster.RunnerList.Fail(errors.New("throttled"))
func (runnerList *RunnerList) Fail(err error) {
	runnerList.mutex.Lock()
	runnerList.failing = err
	runnerList.mutex.Unlock()
}

// Runner is the engine as the platform's list names it.
//
//	cluster.RunnerList.Put([]feed.Runner{machine.Runner()})
func (machine *EngineMachine) Runner() feed.Runner {
	return feed.Runner{Life: machine.Engine.Life, Address: machine.Host + ":8000", Group: machine.Group, Domain: machine.Domain, State: feed.StateServing, Slots: 32}
}

// Stop ends the engine's process.
//
//	machine.Stop()
func (machine *EngineMachine) Stop() { machine.server.Close() }

// Start starts the engine again, in a new life.
//
//	err := machine.Start(cluster)
func (machine *EngineMachine) Start(cluster *Cluster, life string) error {
	listener, err := cluster.Network.At(machine.Host).Listen(machine.Host + ":8000")
	if err != nil {
		return err
	}
	machine.Engine = standin.NewEngine(life, standin.Latencies{FirstPiece: 20 * time.Millisecond, NextPiece: 10 * time.Millisecond, PlainAnswer: 10 * time.Millisecond})
	machine.server = &http.Server{Handler: machine.Engine}
	go machine.server.Serve(listener)
	return nil
}

func (cluster *Cluster) startEngines(shape Shape) error {
	var failed error
	for group, count := range map[string]int{"engines": shape.Engines, "tools": shape.Tools} {
		for index := range count {
			machine := &EngineMachine{Host: fmt.Sprintf("10.0.6.%d", len(cluster.Engines)+1), Domain: domain(index), Group: group}
			failed = errors.Join(failed, machine.Start(cluster, fmt.Sprintf("life-%d", len(cluster.Engines)+1)))
			cluster.Engines = append(cluster.Engines, machine)
		}
	}
	if cluster.RunnerList != nil {
		cluster.ListEngines()
	}
	return failed
}

// ListEngines puts all runners on the list that control nodes are given.
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

// ForwardedAnswer is what a caller of a forwarded query got.
type ForwardedAnswer struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error
}

// Begin takes the head of an answer.
func (answer *ForwardedAnswer) Begin(status int, header http.Header) error {
	if answer.Status != 0 {
		return errors.New("an answer began twice")
	}
	answer.Status, answer.Header = status, header.Clone()
	return nil
}

// Write takes a part of the body.
func (answer *ForwardedAnswer) Write(data []byte) error {
	answer.Body = append(answer.Body, data...)
	return nil
}

// Rejected tells whether the answer promises that the query did not run.
//
//	if answer.Rejected() { ... }
func (answer *ForwardedAnswer) Rejected() bool {
	return answer.Status == 0 && apierror.Is(answer.Err, apierror.NotRun)
}

// Complete tells whether the answer is whole and a success.
//
//	if answer.Complete() { ... }
func (answer *ForwardedAnswer) Complete() bool {
	return answer.Err == nil && answer.Status == http.StatusOK
}

// Text is what the events of a stream said, as the next turn's prompt holds it.
//
//	prompt += words + answer.Text()
func (answer *ForwardedAnswer) Text() string {
	said := &strings.Builder{}
	for text := range strings.Lines(string(answer.Body)) {
		if data, found := strings.CutPrefix(text, "data: "); found {
			said.WriteString(data)
		}
	}
	return said.String()
}

// Forward sends a query through a front's filters, as a face would. Path, name and
// deadline are filled in if they are missing.
//
//	answer := cluster.Forward(cluster.Fronts[0], forwarding.Request{Name: "q-1", Path: "/lookup/1"})
func (cluster *Cluster) Forward(machine *Machine, query forwarding.Request) *ForwardedAnswer {
	if query.Method == "" {
		query.Method = http.MethodPost
	}
	if query.Deadline.IsZero() {
		query.Deadline = time.Now().Add(4 * time.Second)
	}
	query.Host, query.Target, query.ReceivedAt = RoutedHost, query.Path, time.Now()
	query.Header = http.Header{standin.Dialect.RequestID: {query.Name}}
	answer := &ForwardedAnswer{}
	ctx, cancel := context.WithDeadline(context.Background(), query.Deadline)
	defer cancel()
	node := machine.Front
	if node == nil {
		answer.Err = apierror.New(apierror.Unavailable, "the front is not there", "ask another")
		return answer
	}
	answer.Err = node.Forward(ctx, &query, answer)
	return answer
}

// AwaitForwarding waits until a lookup and a turn are forwarded by every running front.
//
//	err := cluster.AwaitForwarding(12 * time.Second)
func (cluster *Cluster) AwaitForwarding(timeout time.Duration) error {
	began := time.Now()
	attempts := 0
	for _, machine := range cluster.Fronts {
		if machine.Front == nil {
			continue
		}
		for _, path := range []string{"/lookup/ready", "/talk/kept/ready"} {
			if err := cluster.Await(timeout-time.Since(began), path+" at "+machine.Host, func() error {
				attempts++
				name := fmt.Sprintf("ready-%s-%d-%d", machine.Host, began.UnixNano(), attempts)
				answer := cluster.Forward(machine, forwarding.Request{Name: name, Path: path, Program: name, HasOutputBudget: true, OutputBudget: 1000, MaxOutputTokens: 40})
				if !answer.Complete() {
					return fmt.Errorf("%d: %w", answer.Status, answer.Err)
				}
				return nil
			}); err != nil {
				return err
			}
		}
	}
	return nil
}

// Sleep lets time go by, on the test's clock.
//
//	cluster.Sleep(time.Second)
func (cluster *Cluster) Sleep(duration time.Duration) { <-time.After(duration) }
