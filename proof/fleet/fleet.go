// Package fleet starts whole deployments as real processes on loopback, with
// stand-ins for the world outside, and brings faults about on demand.
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"yardrock.example/proof/loadgen"
	"yardrock.example/proof/standin"
	"yardrock.example/system/config"
)

// Deployment is how many of what there are.
type Deployment struct {
	Name         string
	Domains      []string
	Fronts       int
	Stores       int
	Controls     int
	Models       int
	Applications int
	// Groups of lines; 0 means the daemons' own default.
	Groups int
}

// Deployments are those of the brief, and a small one for trials.
var Deployments = map[string]Deployment{
	"trial":     {Name: "trial", Domains: []string{"east", "west", "north"}, Fronts: 2, Stores: 3, Controls: 3, Models: 2, Applications: 2},
	"agency":    {Name: "agency", Domains: []string{"harbour", "centre", "hill"}, Fronts: 7, Stores: 3, Controls: 3, Models: 18, Applications: 7},
	"logistics": {Name: "logistics", Domains: []string{"north", "middle", "south"}, Fronts: 6, Stores: 3, Controls: 5, Models: 18, Applications: 8},
}

// Tokens of the trial config.
const (
	RootToken = "trial-root"
	TeamToken = "trial-team"
)

// Terms of the program whose allowance runs out.
const (
	tightQuota = 200
	tightTurn  = 30
)

// Process is one process of a fleet. Its arguments stay the same over restarts.
type Process struct {
	Name          string
	Role          string
	Domain        string
	Address       string
	PublicAddress string // public, administration or health address
	Folder        string
	Faults        string // the file that names disk faults, if the process has a disk
	binary        string
	arguments     []string
	log           string
	command       *exec.Cmd
	started       time.Time
	exited        chan struct{}
}

// Fleet is a running deployment.
type Fleet struct {
	Deployment Deployment
	Folder     string
	Processes  []*Process
	Runners    []standin.ListedRunner
	Platform   string
	Links      *LinkProxy // nil unless the fleet is to be struck by faults
	Checks     *RuleChecks

	programs string
	mutex    sync.Mutex
	seeds    []string
	added    int // how many daemons were added
	// acknowledged is the newest config number that was; unclear tells that a later
	// change may have been taken.
	acknowledged uint64
	unclear      bool
}

// freeAddress finds a free port on a loopback address of its own.
func freeAddress(host string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

type addressAllocator struct{ failed error }

func (addresses *addressAllocator) next(host string) string {
	address, err := freeAddress(host)
	addresses.failed = errors.Join(addresses.failed, err)
	return address
}

// Launch starts a deployment by name, with the programs beside this one and a new
// folder unless others are named.
//
//	running, err := fleet.Launch(ctx, "trial", "", "", false)
//	defer running.Stop()
func Launch(ctx context.Context, name, programs, folder string, faulty bool) (*Fleet, error) {
	deployment, found := Deployments[name]
	if !found {
		return nil, fmt.Errorf("no deployment is named %q: use trial, agency or logistics", name)
	}
	if programs == "" {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		programs = filepath.Dir(self)
	}
	var failed error
	if folder == "" {
		folder, failed = os.MkdirTemp("", "yardrock-")
	} else {
		failed = os.MkdirAll(folder, 0o750)
	}
	if failed != nil {
		return nil, failed
	}
	fleet, err := Start(ctx, deployment, programs, folder, standin.Latencies{FirstPiece: 20 * time.Millisecond, NextPiece: 5 * time.Millisecond, PlainAnswer: 10 * time.Millisecond}, faulty)
	if err != nil {
		return nil, fmt.Errorf("%w (logs are in %s)", err, folder)
	}
	return fleet, nil
}

// CheckReport ends a run: broken rules are an error that names the logs' folder;
// without any, the processes are stopped and the folder goes.
//
//	return running.CheckReport(report)
func (fleet *Fleet) CheckReport(report *loadgen.Report) error {
	if len(report.Violations) > 0 {
		return fmt.Errorf("%d rules were broken (logs are in %s)", len(report.Violations), fleet.Folder)
	}
	fleet.Stop()
	return os.RemoveAll(fleet.Folder)
}

// Start starts a deployment with the programs in a folder, and returns once every
// front is ready. One that is to be struck by faults has its links and disks in our hands.
//
//	running, err := fleet.Start(ctx, fleet.Deployments["trial"], "bin", folder, pace, false)
//	defer running.Stop()
func Start(ctx context.Context, deployment Deployment, programs, folder string, pace standin.Latencies, faulty bool) (*Fleet, error) {
	fleet := &Fleet{Deployment: deployment, Folder: folder, programs: programs, Checks: NewRuleChecks()}
	if faulty {
		fleet.Links = NewLinkProxy()
	}
	if err := fleet.plan(pace); err != nil {
		return nil, err
	}
	for _, process := range fleet.Processes {
		if err := process.Start(); err != nil {
			fleet.Stop()
			return nil, err
		}
	}
	if err := fleet.putFirstConfig(ctx); err != nil {
		fleet.Stop()
		return nil, err
	}
	for _, front := range fleet.ProcessesOf("front") {
		if err := AwaitReady(ctx, front.PublicAddress); err != nil {
			fleet.Stop()
			return nil, fmt.Errorf("%s: %w", front.Name, err)
		}
	}
	return fleet, nil
}

func (fleet *Fleet) plan(pace standin.Latencies) error {
	deployment, found := fleet.Deployment, &addressAllocator{}
	host := func(kind, index int) string { return fmt.Sprintf("127.%d.%d.%d", 20+kind, os.Getpid()%250, index+1) }
	domain := func(index int) string { return deployment.Domains[index%len(deployment.Domains)] }
	controls := []string{}
	for index := range deployment.Controls {
		controls = append(controls, found.next(host(0, index)))
	}
	fleet.Platform = found.next(host(1, 0))
	listFile := filepath.Join(fleet.Folder, "runners.json")
	if err := fleet.setSeeds(controls[:3]); err != nil {
		return err
	}
	add := func(name, role string, index int, address string) {
		_, err := fleet.add(name, role, domain(index), address)
		found.failed = errors.Join(found.failed, err)
	}
	for index := range deployment.Controls {
		add(fmt.Sprintf("control-%d", index+1), "control", index, controls[index])
	}
	for index := range deployment.Stores {
		add(fmt.Sprintf("store-%d", index+1), "store", index, found.next(host(2, index)))
	}
	for index := range deployment.Fronts {
		add(fmt.Sprintf("front-%d", index+1), "front", index, found.next(host(3, index)))
	}
	runner := func(name, group string, kind, index int) {
		address := found.next(host(kind, index))
		fleet.Runners = append(fleet.Runners, standin.ListedRunner{Address: address, Group: group, Domain: domain(index), State: "serving"})
		fleet.Processes = append(fleet.Processes, &Process{Name: name, Role: "runner", Domain: domain(index), Address: address, binary: filepath.Join(fleet.programs, "standin"), log: filepath.Join(fleet.Folder, name+".log"),
			arguments: []string{"--address", address, "--first", pace.FirstPiece.String(), "--piece", pace.NextPiece.String(), "--plain", pace.PlainAnswer.String(), "--record", filepath.Join(fleet.Folder, name+".executions")}})
	}
	for index := range deployment.Models {
		group := "large"
		if index%3 != 0 {
			group = "small"
		}
		runner(fmt.Sprintf("model-%d", index+1), group, 4, index)
	}
	for index := range deployment.Applications {
		runner(fmt.Sprintf("application-%d", index+1), "application", 5, index)
	}
	fleet.Processes = append(fleet.Processes, &Process{Name: "platform", Role: "platform", Address: fleet.Platform, binary: filepath.Join(fleet.programs, "standin"), log: filepath.Join(fleet.Folder, "platform.log"),
		arguments: []string{"--serve", "platform", "--address", fleet.Platform, "--runners", listFile}})
	list, err := json.Marshal(fleet.Runners)
	return errors.Join(err, found.failed, os.WriteFile(listFile, list, 0o600))
}

// seedsFile is what every daemon reads its seeds from, at its start and on SIGHUP.
func (fleet *Fleet) seedsFile() string { return filepath.Join(fleet.Folder, "seeds.json") }

func (fleet *Fleet) setSeeds(seeds []string) error {
	fleet.seeds = slices.Clone(seeds)
	data, err := json.Marshal(map[string]any{"seeds": seeds})
	return errors.Join(err, os.WriteFile(fleet.seedsFile(), data, 0o600))
}

var roleArguments = map[string]func(fleet *Fleet, outside string) []string{
	"control": func(fleet *Fleet, outside string) []string {
		arguments := []string{"--administration", outside, "--root-token-hash", config.HashToken(RootToken), "--founding-stores", strconv.Itoa(fleet.Deployment.Stores)}
		if fleet.Deployment.Groups > 0 {
			arguments = append(arguments, "--groups", strconv.Itoa(fleet.Deployment.Groups))
		}
		return arguments
	},
	"store": func(_ *Fleet, outside string) []string { return []string{"--role", "store", "--health", outside} },
	"front": func(_ *Fleet, outside string) []string { return []string{"--role", "front", "--public", outside} },
}

// add plans a daemon at an address. In a fleet that is to be struck by faults, what others send
// it goes through a link of ours, and its disk loses what it had not synced.
func (fleet *Fleet) add(name, role, domain, address string) (*Process, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	found := &addressAllocator{}
	process := &Process{Name: name, Role: role, Domain: domain, Address: address, PublicAddress: found.next(host), binary: filepath.Join(fleet.programs, "yardrock-data-plane"), log: filepath.Join(fleet.Folder, name+".log")}
	if role == "control" {
		process.binary = filepath.Join(fleet.programs, "yardrock-control-plane")
	}
	process.arguments = append([]string{"--settings", fleet.seedsFile(), "--address", address, "--domain", domain}, roleArguments[role](fleet, process.PublicAddress)...)
	if role != "front" {
		process.Folder = filepath.Join(fleet.Folder, name)
		process.arguments = append(process.arguments, "--folder", process.Folder)
	}
	if fleet.Links != nil {
		listen := found.next(host)
		process.arguments = append(process.arguments, "--listen", listen)
		found.failed = errors.Join(found.failed, fleet.Links.Serve(address, listen))
		if role != "front" {
			process.Faults = process.Folder + ".faults"
			process.arguments = append(process.arguments, "--trial-disk", process.Faults)
		}
	}
	fleet.mutex.Lock()
	fleet.Processes = append(fleet.Processes, process)
	fleet.mutex.Unlock()
	return process, found.failed
}

// Config is the config that a deployment starts with.
//
//	source := running.Config()
func (fleet *Fleet) Config() string {
	return fmt.Sprintf(`operators: root: token_hashes: [%q]
teams: depot: token_hashes: [%q]
programs: {
	dialogue: {team: "depot", allowance: 100000000, turn_limit: 400}
	permits: {team: "depot", allowance: 100000000, turn_limit: 400}
	counter: {team: "depot", allowance: 100000000, turn_limit: 400}
	tight: {team: "depot", allowance: %d, turn_limit: %d}
}
groups: {
	small: {concurrency: 24, cold_concurrency: 4, ramp: "3s"}
	large: {concurrency: 24, cold_concurrency: 4, ramp: "3s"}
	application: {concurrency: 32, cold_concurrency: 8, ramp: "3s"}
}
tables: {
	talk: {small: 2, large: 1}
	plain: application: 1
}
kinds: {
	talk: {serves: "turn", table: "talk", path: "/turn"}
	lookup: {serves: "plain", table: "plain", path: "/lookup-0"}
	receipt: {serves: "plain", table: "plain", path: "/plain", repeatable: false}
	invoice: {serves: "plain", table: "plain", path: "/plain", repeatable: false, urgency: "bulk"}
	activation: {serves: "plain", table: "plain", path: "/plain", repeatable: false, urgency: "urgent"}
}
platform: runner_list: "http://%s/runners"
`, config.HashToken(RootToken), config.HashToken(TeamToken), tightQuota, tightTurn, fleet.Platform)
}

func (fleet *Fleet) putFirstConfig(ctx context.Context) error {
	for {
		number, _, err := fleet.ReadConfig(ctx)
		if err == nil {
			if _, err = fleet.changeConfig(ctx, http.MethodPut, map[string]any{"source": fleet.Config(), "expected": number}); err == nil {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the control plane took no config: %w", err)
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// Administer sends one administration query to the first control node that
// answers it with success, and decodes the answer.
//
//	err := running.Administer(ctx, http.MethodGet, "/v1/fleet", nil, &told)
func (fleet *Fleet) Administer(ctx context.Context, method, path string, body, answer any) error {
	var failed error
	for _, control := range fleet.ProcessesOf("control") {
		if failed = Administer(ctx, control.PublicAddress, method, path, body, answer); failed == nil {
			return nil
		}
	}
	return failed
}

// Administer sends one administration query to one control node.
//
//	err := fleet.Administer(ctx, control.PublicAddress, http.MethodGet, "/v1/fleet", nil, &told)
func Administer(ctx context.Context, address, method, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	query, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	query.Header.Set("Authorization", "Bearer "+RootToken)
	query.Header.Set("Content-Type", "application/json")
	got, err := (&http.Client{Timeout: 8 * time.Second}).Do(query)
	if err != nil {
		return err
	}
	defer got.Body.Close()
	reported, err := io.ReadAll(got.Body)
	if err != nil {
		return err
	}
	if got.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", got.Status, strings.TrimSpace(string(reported)))
	}
	if answer == nil {
		return nil
	}
	return json.Unmarshal(reported, answer)
}

// ReadConfig reads the newest config back.
//
//	number, source, err := running.ReadConfig(ctx)
func (fleet *Fleet) ReadConfig(ctx context.Context) (uint64, string, error) {
	var reported struct {
		Number uint64 `json:"number"`
		Source string `json:"source"`
	}
	err := fleet.Administer(ctx, http.MethodGet, "/v1/config", nil, &reported)
	return reported.Number, reported.Source, err
}

// ChangeResult is what a change answers.
type ChangeResult struct {
	Number       uint64 `json:"number"`
	Acknowledged bool   `json:"acknowledged"`
}

// AwaitReady waits until a process says that it can take work.
//
//	err := fleet.AwaitReady(ctx, front.PublicAddress)
func AwaitReady(ctx context.Context, address string) error {
	for {
		query, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
		if err != nil {
			return err
		}
		got, err := http.DefaultClient.Do(query)
		if err == nil {
			got.Body.Close()
			if got.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("not ready: %w", ctx.Err())
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// ProcessesOf lists the processes of a role.
//
//	for _, front := range running.ProcessesOf("front") { ... }
func (fleet *Fleet) ProcessesOf(role string) []*Process {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(fleet.Processes), func(process *Process) bool { return process.Role != role })
}

// Find gives a process by name.
//
//	store := running.Find("store-1")
func (fleet *Fleet) Find(name string) *Process {
	for _, process := range fleet.Processes {
		if process.Name == name {
			return process
		}
	}
	return nil
}

// Fronts lists the addresses for callers.
//
//	addresses := running.Fronts()
func (fleet *Fleet) Fronts() []string {
	found := []string{}
	for _, front := range fleet.ProcessesOf("front") {
		found = append(found, front.PublicAddress)
	}
	return found
}

// Target is the fleet as the load generator sees it.
//
//	report := loadgen.Run(ctx, running.Target(), mix, duration, seed)
func (fleet *Fleet) Target() loadgen.Target {
	target := loadgen.Target{Fronts: fleet.Fronts(), Token: TeamToken, Quota: tightQuota, TurnLimit: tightTurn + 2}
	for _, runner := range fleet.Runners {
		target.Runners = append(target.Runners, runner.Address)
	}
	return target
}

// Stop kills every process that is left.
//
//	defer running.Stop()
func (fleet *Fleet) Stop() {
	for _, process := range fleet.Processes {
		process.Kill()
	}
}

// Start starts the process, or starts it again with the same arguments.
//
//	err := process.Start()
func (process *Process) Start() error {
	output, err := os.OpenFile(process.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	process.command = exec.Command(process.binary, process.arguments...)
	process.command.Stdout, process.command.Stderr = output, output
	process.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.command.Start(); err != nil {
		process.command = nil // nothing runs that could be ended
		return err
	}
	process.started, process.exited = time.Now(), make(chan struct{})
	command, waited := process.command, process.exited
	go func() {
		command.Wait()
		close(waited)
	}()
	return nil
}

func (process *Process) signal(signal syscall.Signal) {
	if process.command != nil {
		process.command.Process.Signal(signal)
	}
}

// PID is the number that the system gave the process; 0 while it does not run.
//
//	usage, err := scale.UsageOf(process.PID())
func (process *Process) PID() int {
	if process.command == nil {
		return 0
	}
	return process.command.Process.Pid
}

// Kill ends the process at once.
//
//	process.Kill()
func (process *Process) Kill() {
	if process.command == nil {
		return
	}
	process.signal(syscall.SIGKILL)
	<-process.exited
	process.command = nil
}

// Terminate asks the process to drain and waits until it has gone.
//
//	err := process.Terminate(ctx)
func (process *Process) Terminate(ctx context.Context) error {
	process.signal(syscall.SIGTERM)
	select {
	case <-process.exited:
		process.command = nil
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Pause stops the process where it is; Wake lets it go on.
//
//	process.Pause()
func (process *Process) Pause() { process.signal(syscall.SIGSTOP) }

// Resume lets a frozen process go on.
//
//	process.Resume()
func (process *Process) Resume() { process.signal(syscall.SIGCONT) }

// Wipe empties the data folder of a process that is not running.
//
//	err := process.Wipe()
func (process *Process) Wipe() error { return os.RemoveAll(process.Folder) }
