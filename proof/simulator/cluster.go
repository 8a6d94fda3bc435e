package simulator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/config"
	"yardrock.example/system/controlplane"
	"yardrock.example/system/front"
	"yardrock.example/system/httpapi"
	"yardrock.example/system/replica"
	"yardrock.example/system/store"
)

// Tokens of the simulated config.
const (
	RootToken  = "root"
	TeamToken  = "depot-token"
	OtherToken = "other-token"
)

// Shape is how many nodes a cluster has, over three domains.
type Shape struct {
	Controls, Stores, Fronts, Models, Applications int
	// ReplicationFactor of each group of lines; 0 means three.
	Replicas uint32
	// Groups of lines; 0 means 8.
	Groups uint32
	// Engines and Tools answer forwarded queries; with any, the control nodes are given
	// the list of runners.
	Engines, Tools int
	// AutoEnrol has the control nodes keep the store list by themselves.
	AutoEnrol bool
	// Adjust changes the settings of each control node that starts.
	Adjust func(cluster *Cluster, settings *controlplane.Settings)
	// MaxBufferedBytes bounds what each front holds of forwarded queries.
	BufferBytes int64
}

// Small is the shape that most tests need.
var Small = Shape{Controls: 3, Stores: 3, Fronts: 2, Models: 2, Applications: 2}

// Machine is one host of the cluster with the node on it.
type Machine struct {
	Host    string
	Domain  string
	Disk    *Disk
	Archive *Disk
	Control *controlplane.Node
	Store   *store.Node
	Front   *front.Node
	// ClockOffset is how far the machine's wall clock is ahead of the time.
	ClockOffset time.Duration
	admin       *httpapi.Server
	start       func() error
}

// RunnerMachine is one host with a stand-in runner.
type RunnerMachine struct {
	Host   string
	Domain string
	Runner *standin.Runner
	server *http.Server
}

// Cluster is a whole fleet in one process.
type Cluster struct {
	Network     *Network
	Controls    []*Machine
	Stores      []*Machine
	Fronts      []*Machine
	Runners     []*RunnerMachine
	Engines     []*EngineMachine
	RunnerList  *RunnerList
	Platform    *standin.Platform
	seeds       []string
	platform    *http.Server
	Seed        uint64
	groups      uint32
	replicas    uint32
	autoEnrol   bool
	caller      *Host
	adjust      func(cluster *Cluster, settings *controlplane.Settings)
	bufferBytes int64
	// adjustReplica, if set, changes the settings of the groups of each node that starts.
	adjustReplica func(settings *replica.Settings)
}

func domain(index int) string { return []string{"east", "middle", "west"}[index%3] }

// Start starts a cluster and waits until it serves.
//
//	cluster, err := simulator.Start(7, simulator.Small, configSource)
//	defer cluster.Stop()
func Start(seed uint64, shape Shape, rules string) (*Cluster, error) {
	cluster, err := assemble(seed, shape)
	if err != nil {
		return cluster, err
	}
	return cluster, cluster.found(rules)
}

// found starts all nodes on their empty disks, and waits until they serve.
func (cluster *Cluster) found(rules string) error {
	for _, machine := range cluster.Machines() {
		if err := machine.Start(); err != nil {
			return err
		}
	}
	if err := cluster.PutConfig(rules); err != nil {
		return err
	}
	return cluster.AwaitServing(20 * time.Second)
}

// assemble makes a cluster whose runners are started and whose nodes are not, on empty
// disks.
func assemble(seed uint64, shape Shape) (*Cluster, error) {
	cluster := &Cluster{Network: NewNetwork(seed), Seed: seed, groups: max(shape.Groups, 8), replicas: shape.Replicas, autoEnrol: shape.AutoEnrol, Platform: &standin.Platform{}, adjust: shape.Adjust, bufferBytes: shape.BufferBytes}
	if shape.Engines+shape.Tools > 0 {
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

// Random draws from the cluster's seed, for what a test does to it.
//
//	victim := cluster.Stores[cluster.Random(3).IntN(len(cluster.Stores))]
func (cluster *Cluster) Random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(cluster.Seed, stream))
}

// Machines lists all machines with nodes.
//
//	for _, machine := range cluster.Machines() { machine.Kill() }
func (cluster *Cluster) Machines() []*Machine {
	return slices.Concat(cluster.Controls, cluster.Stores, cluster.Fronts)
}

func (cluster *Cluster) replicaSettings(index int) replica.Settings {
	settings := replica.DefaultSettings(cluster.Seed*1000 + uint64(index))
	if cluster.Seed%2 == 1 {
		settings.SnapshotEntries = 48 // so that checkpoints are made and sent within a test
	}
	if cluster.adjustReplica != nil {
		cluster.adjustReplica(&settings)
	}
	return settings
}

// AddControl makes a control machine, not yet started nor counted.
//
//	machine := cluster.AddControl(5)
func (cluster *Cluster) AddControl(index int) *Machine {
	machine := &Machine{Host: fmt.Sprintf("10.0.0.%d", index+1), Domain: domain(index), Disk: NewDisk(cluster.Seed + uint64(index))}
	machine.start = func() (err error) {
		settings := controlplane.Settings{
			Address: machine.Host + ":7000", Administration: machine.Host + ":7200", Domain: machine.Domain, Seeds: cluster.seeds,
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

// AddStore makes a store machine, not yet started nor counted.
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
		machine.Front, err = front.Start(front.Settings{Address: machine.Host + ":7000", PublicAddress: machine.Host + ":7100", Domain: machine.Domain, Seeds: cluster.seeds, Dialect: standin.Dialect, MaxBufferedBytes: cluster.bufferBytes}, cluster.Network.At(machine.Host))
		return err
	}
	return machine
}

func (machine *Machine) wallClock() time.Time { return time.Now().Add(machine.ClockOffset) }

// Start starts the machine's node, on what its disk holds.
//
//	err := machine.Start()
func (machine *Machine) Start() error { return machine.start() }

// Kill ends the machine's node as kill -9 does: what was written stays.
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

// LosePower kills the node and loses what its disks had not synced.
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

// Stop ends the runner's process, Return starts it again; what it did is remembered.
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
	go machine.server.Serve(listener)
	return nil
}

func (cluster *Cluster) startRunners(shape Shape) error {
	pace := standin.Latencies{FirstPiece: 20 * time.Millisecond, NextPiece: 10 * time.Millisecond, PlainAnswer: 10 * time.Millisecond}
	listed := []standin.ListedRunner{}
	add := func(host, group string, index int) error {
		runner := standin.NewRunner(pace)
		machine := &RunnerMachine{Host: host, Domain: domain(index), Runner: runner}
		if err := machine.Start(cluster); err != nil {
			return err
		}
		cluster.Runners = append(cluster.Runners, machine)
		listed = append(listed, standin.ListedRunner{Address: host + ":8000", Group: group, Domain: domain(index), State: "serving"})
		return nil
	}
	var failed error
	for index := range shape.Models {
		failed = errors.Join(failed, add(fmt.Sprintf("10.0.3.%d", index+1), "small", index))
	}
	for index := range shape.Applications {
		failed = errors.Join(failed, add(fmt.Sprintf("10.0.4.%d", index+1), "application", index))
	}
	cluster.Platform.Put(listed)
	listener, err := cluster.Network.At("10.0.5.1").Listen("10.0.5.1:9000")
	if err != nil {
		return err
	}
	cluster.platform = &http.Server{Handler: cluster.Platform}
	go cluster.platform.Serve(listener)
	return failed
}

// Stop ends everything.
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
	cluster.platform.Close()
}

// BasicConfig is the config that most tests use.
const BasicConfig = `
operators: {}
teams: {
	depot: token_hashes: ["DEPOT"]
	other: token_hashes: ["OTHER"]
}
programs: {
	dialogue: {team: "depot", allowance: 1000000, turn_limit: 200}
	tight: {team: "depot", allowance: 60, turn_limit: 25}
	short: {team: "depot", allowance: 1000000, turn_limit: 5}
	foreign: {team: "other", allowance: 1000000, turn_limit: 200}
}
groups: {
	small: {concurrency: 16, cold_concurrency: 2, ramp: "1s"}
	application: {concurrency: 16, cold_concurrency: 2, ramp: "1s"}
}
tables: {
	talk: small: 1
	plain: application: 1
}
kinds: {
	talk: {serves: "turn", table: "talk", path: "/turn", patience: "5s"}
	lookup: {serves: "plain", table: "plain", path: "/plain", patience: "5s"}
	receipt: {serves: "plain", table: "plain", path: "/plain", repeatable: false, patience: "5s"}
}
platform: {runner_list: "http://10.0.5.1:9000/runners", poll: "500ms"}
`

// Config fills the tokens into config source.
//
//	source := simulator.Config(simulator.BasicConfig)
func Config(rules string) string {
	return strings.NewReplacer("DEPOT", config.HashToken(TeamToken), "OTHER", config.HashToken(OtherToken)).Replace(rules)
}

// Client is an HTTP client on the cluster's network, one connection a query.
//
//	answer, err := cluster.Client().Do(query)
func (cluster *Cluster) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, target string) (net.Conn, error) {
		return cluster.caller.Dial(ctx, target)
	}}}
}

// Answer is what a query got.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Error  httpapi.Error
}

// String shows an answer in a test's message.
//
//	t.Fatalf("%s", answer)
func (answer *Answer) String() string {
	if answer == nil {
		return "no answer"
	}
	return fmt.Sprintf("%d %.300s", answer.Status, answer.Body)
}

// Ask sends a query and reads the whole answer.
//
//	answer, err := cluster.Ask(ctx, "POST", "10.0.2.1:7100", "/v1/lookups", simulator.TeamToken, body)
func (cluster *Cluster) Ask(ctx context.Context, method, address, path, token string, body any) (*Answer, error) {
	data, isText := body.(string)
	if !isText {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		data = string(encoded)
	}
	query, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(data)))
	if err != nil {
		return nil, err
	}
	query.Header.Set("Content-Type", "application/json")
	if token != "" {
		query.Header.Set("Authorization", "Bearer "+token)
	}
	got, err := cluster.Client().Do(query)
	if err != nil {
		return nil, err
	}
	defer got.Body.Close()
	answer := &Answer{Status: got.StatusCode, Header: got.Header}
	if answer.Body, err = io.ReadAll(got.Body); err != nil {
		return answer, err
	}
	if got.StatusCode != http.StatusOK {
		json.Unmarshal(answer.Body, &answer.Error)
	}
	return answer, nil
}

// Administer asks the control nodes in turn until one answers with success.
//
//	answer, err := cluster.Administer("POST", "/v1/domains/east", map[string]string{"state": "emptied"})
func (cluster *Cluster) Administer(method, path string, body any) (*Answer, error) {
	var last *Answer
	var failed error
	for _, machine := range cluster.Controls {
		ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
		answer, err := cluster.Ask(ctx, method, machine.Host+":7200", path, RootToken, body)
		cancel()
		if err == nil && answer.Status == http.StatusOK {
			return answer, nil
		}
		if err == nil {
			last = answer
		}
		failed = err
	}
	if last != nil {
		return last, nil
	}
	return nil, failed
}

// ChangeResult is what a change answers.
type ChangeResult struct {
	Number       uint64 `json:"number"`
	Acknowledged bool   `json:"acknowledged"`
}

// PutConfig puts a config over the one in force, trying until it is
// acknowledged.
//
//	err := cluster.PutConfig(simulator.BasicConfig)
func (cluster *Cluster) PutConfig(rules string) error {
	return cluster.Await(20*time.Second, "a config acknowledged", func() error {
		answer, err := cluster.Administer(http.MethodGet, "/v1/config", nil)
		if err != nil || answer.Status != http.StatusOK {
			return errors.Join(err, fmt.Errorf("read: %+v", answer))
		}
		var reported struct{ Number uint64 }
		if err := json.Unmarshal(answer.Body, &reported); err != nil {
			return err
		}
		answer, err = cluster.Administer(http.MethodPut, "/v1/config", map[string]any{"source": Config(rules), "expected": reported.Number})
		if err != nil || answer.Status != http.StatusOK {
			return errors.Join(err, fmt.Errorf("put: %s", answer.Body))
		}
		var changed ChangeResult
		if err := json.Unmarshal(answer.Body, &changed); err != nil || !changed.Acknowledged {
			return errors.Join(err, errors.New("not acknowledged"))
		}
		return nil
	})
}

// Await tries until there is no error, on the test's clock.
//
//	err := cluster.Await(12*time.Second, "serving", try)
func (cluster *Cluster) Await(timeout time.Duration, what string, try func() error) error {
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

// AwaitServing waits until a lookup and a turn succeed at every running front.
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

// StreamRecord is one line of a streamed answer.
type StreamRecord struct {
	Conversation string `json:"conversation"`
	Turn         uint64 `json:"turn"`
	Seq          uint64 `json:"seq"`
	Event        string `json:"event"`
	Words        string `json:"words"`
	End          string `json:"end"`
	Reason       string `json:"reason"`
	Kind         string `json:"kind"`
	Message      string `json:"message"`
}

// StreamedAnswer is a streamed answer as its caller saw it.
type StreamedAnswer struct {
	Conversation string
	Turn         uint64
	Seqs         []uint64
	Words        string
	End          string
	Reason       string
	Error        string
}

// ReadStream reads an answer to its end mark. Seqs must follow one another.
//
//	said, err := simulator.ReadStream(body)
func ReadStream(body io.Reader) (*StreamedAnswer, error) {
	said := &StreamedAnswer{}
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		var reported StreamRecord
		if err := json.Unmarshal(lines.Bytes(), &reported); err != nil {
			return said, err
		}
		if reported.Conversation != "" {
			said.Conversation, said.Turn = reported.Conversation, reported.Turn
		}
		if reported.Event == "piece" {
			said.Words += reported.Words
			said.Seqs = append(said.Seqs, reported.Seq)
		}
		if reported.End != "" {
			said.End, said.Reason, said.Error = reported.End, reported.Reason, reported.Kind
			return said, nil
		}
	}
	return said, errors.Join(lines.Err(), io.ErrUnexpectedEOF)
}

// Turn starts a conversation, or follows one if the body names conversation and
// follows, and wants a complete answer.
//
//	said, err := cluster.Turn(cluster.Fronts[0], map[string]any{"program": "dialogue", "kind": "talk", "words": "hello"})
func (cluster *Cluster) Turn(machine *Machine, body map[string]any) (*StreamedAnswer, error) {
	path := "/v1/conversations"
	if name, follows := body["conversation"]; follows {
		path += "/" + name.(string) + "/turns"
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	answer, err := cluster.Ask(ctx, http.MethodPost, machine.Host+":7100", path, TeamToken, body)
	if err != nil {
		return nil, err
	}
	if answer.Status != http.StatusOK {
		return nil, &answer.Error
	}
	said, err := ReadStream(bytes.NewReader(answer.Body))
	if err == nil && said.End != "complete" {
		err = fmt.Errorf("the answer ended as %s (%s %s)", said.End, said.Reason, said.Error)
	}
	return said, err
}
