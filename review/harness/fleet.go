package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports that all machines of a fleet use. Machines differ by their loopback address.
const (
	clientPort    = 8149
	readinessPort = 8141
	controlPort   = 8144
	firstPort     = 7380
	lastPort      = 7395
	platformPort  = 8142
	runnerPort    = 8080
)

// The bounds that the settings file of each process has.
const (
	applyWithin = 2 * time.Second
	keyWindow   = 60 * time.Second
	graceTime   = 8 * time.Second
)

// zones are the zones of the fleet. Machines are spread over them in turn.
var zones = []string{"hall-1", "hall-2", "hall-3"}

// machine is one machine with one process of the project.
type machine struct {
	name, serves, zone, ip string
	fleet                  *fleet
	command                *exec.Cmd
	exited                 chan struct{}
}

// fleet is a small deployment of the project's own programs, with a stand-in of the platform.
type fleet struct {
	root     string // of the repository
	folder   string // temporary
	network  int    // second byte of all addresses
	record   *record
	platform *platform
	machines []*machine
}

// startFleet starts three control nodes, three stores and two fronts on empty disks.
func startFleet(root, folder string, record *record) (*fleet, error) {
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	fleet := &fleet{root: root, folder: folder, network: network, record: record}
	if fleet.platform, err = startPlatform(fleet); err != nil {
		return fleet, err
	}
	for kind, group := range []struct {
		serves string
		count  int
	}{{"control", 3}, {"storage", 3}, {"edge", 2}} {
		for index := range group.count {
			fleet.machines = append(fleet.machines, &machine{
				name: fmt.Sprintf("%s-%d", group.serves, index+1), serves: group.serves, zone: zones[index%len(zones)],
				ip: fmt.Sprintf("127.%d.%d.%d", network, kind+1, index+1), fleet: fleet,
			})
		}
	}
	for _, machine := range fleet.machines {
		if err := machine.start(true); err != nil {
			return fleet, err
		}
	}
	return fleet, nil
}

// freeNetwork finds a part of the loopback range on which the fleet's ports are free.
func freeNetwork() (int, error) {
	for attempt := range 200 {
		network := 30 + (os.Getpid()+attempt)%200
		free := true
		for _, address := range []string{"0.1:8142", "1.1:8144", "3.1:8149", "10.1:8080"} {
			listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%s", network, address))
			if err != nil {
				free = false
				break
			}
			listener.Close()
		}
		if free {
			return network, nil
		}
	}
	return 0, fmt.Errorf("no part of the loopback range has free ports")
}

// serving returns the machines that serve a role.
func (fleet *fleet) serving(serves string) []*machine {
	found := []*machine{}
	for _, machine := range fleet.machines {
		if machine.serves == serves {
			found = append(found, machine)
		}
	}
	return found
}

// stop ends all processes that the fleet started.
func (fleet *fleet) stop() {
	for _, machine := range fleet.machines {
		machine.signal(syscall.SIGCONT)
		machine.signal(syscall.SIGKILL)
	}
	for _, machine := range fleet.machines {
		if machine.exited != nil {
			<-machine.exited
		}
	}
}

// settings returns the settings file of a machine, as the users' page on deployment shows it.
func (machine *machine) settings(first bool) string {
	seeds := []string{}
	for _, control := range machine.fleet.serving("control") {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", control.ip, controlPort)))
	}
	class := map[string]string{"control": "core", "storage": "storage", "edge": "edge"}[machine.serves]
	listen := map[string]string{
		"control": fmt.Sprintf("control = \"%s:%d\"\n", machine.ip, controlPort),
		"edge":    fmt.Sprintf("front = \"%s:%d\"\nready = \"%s:%d\"\n", machine.ip, clientPort, machine.ip, readinessPort),
	}[machine.serves]
	dataDir := ""
	if machine.serves != "edge" {
		dataDir = fmt.Sprintf("data-dir = %q\n", filepath.Join(machine.fleet.folder, machine.name))
	}
	return fmt.Sprintf(`node-name = %q
role = %q
machine-class = %q
serves = [%q]
ip = %q
zone = %q
region = "region-1"
inner-ports = [%d,%d]
seed-nodes = [%s]
first-start = %t
counted = %t
discovery = "cloud"
entry = "shared_address"
beat-ms = 1200
rule-parts = ["base","drain","config","cost","recover","tenants","keys","quota","agent","stream","engine","places"]
%s[zones]
hall-1 = "region-1"
hall-2 = "region-1"
hall-3 = "region-1"
[listen]
%s[limits]
cpu-share = 1.0
cores = 1
memory-mb = 284
open-files = 4096
link-mbps = 1000.0
disk-mb = 320
[tolerate]
machines = 1
zones = 1
regions = 0
[bounds]
in-touch-ms = 3000
ack-within-ms = 4000
drain-ms = 3000
grace-s = %d
apply-within-ms = %d
key-window-s = %d
quota-window-s = 5
quota-excess = 0.1
quota-slack = 20
recovery-s = 12
settle-ms = 1000
[cloud-api]
address = "127.%d.0.1:%d"
rate-per-s = 40.0
duties = []
lag-ms = 800
`, machine.name, machine.serves, class, machine.serves, machine.ip, machine.zone, firstPort, lastPort, strings.Join(seeds, ","),
		first, machine.serves != "edge", dataDir, listen, int(graceTime.Seconds()), applyWithin.Milliseconds(), int(keyWindow.Seconds()),
		machine.fleet.network, platformPort)
}

// start starts the machine's process with the command of its role in the deploy file.
func (machine *machine) start(first bool) error {
	path := filepath.Join(machine.fleet.folder, machine.name+".toml")
	if err := os.WriteFile(path, []byte(machine.settings(first)), 0o644); err != nil {
		return err
	}
	program := map[string]string{"control": "target/control-plane", "storage": "target/data-plane", "edge": "target/data-plane"}[machine.serves]
	output, err := os.OpenFile(filepath.Join(machine.fleet.folder, machine.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	machine.command = exec.Command(filepath.Join(machine.fleet.root, program))
	machine.command.Dir = machine.fleet.root
	machine.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + machine.fleet.folder, "LANG=C.UTF-8", "YARDROCK_CONFIG=" + path}
	machine.command.Stdout, machine.command.Stderr = output, output
	// The process ends with this one, also if this one is killed.
	machine.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := machine.command.Start(); err != nil {
		return err
	}
	machine.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait() // how it ended does not matter
		output.Close()
		close(exited)
	}(machine.command, machine.exited)
	machine.fleet.record.add("process %s started", machine.name)
	return nil
}

// signal sends a signal to the machine's process.
func (machine *machine) signal(signal syscall.Signal) {
	if machine.command != nil && machine.command.Process != nil {
		_ = machine.command.Process.Signal(signal) // fails only if the process has ended
	}
}

// record is the file that lists what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

// newRecord creates the file.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

// add writes a line with the time since the start.
func (record *record) add(format string, values ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	fmt.Fprintf(record.file, "%8.3f s  %s\n", time.Since(record.began).Seconds(), fmt.Sprintf(format, values...))
}
