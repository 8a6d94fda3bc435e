package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/config"
)

// freeAddress returns an address of the host with a port that is currently free.
func freeAddress(host string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// addressAllocator returns free addresses and collects the errors.
type addressAllocator struct{ err error }

func (addresses *addressAllocator) next(host string) string {
	address, err := freeAddress(host)
	addresses.err = errors.Join(addresses.err, err)
	return address
}

// createProcesses adds all processes of the deployment without starting them, and writes the seeds
// and the runner list. Each process has a loopback IP address of its own, by which the LinkProxy
// identifies it; the process ID in it separates concurrent fleets.
func (fleet *Fleet) createProcesses(latencies standin.Latencies) error {
	deployment, addresses := fleet.Deployment, &addressAllocator{}
	host := func(subnet, index int) string {
		return fmt.Sprintf("127.%d.%d.%d", 20+subnet, os.Getpid()%250, index+1)
	}
	domain := func(index int) string { return deployment.Domains[index%len(deployment.Domains)] }
	controls := []string{}
	for index := range deployment.Controls {
		controls = append(controls, addresses.next(host(0, index)))
	}
	fleet.PlatformAddress = addresses.next(host(1, 0))
	runnerListFile := filepath.Join(fleet.Folder, "runners.json")
	if err := fleet.setSeeds(controls[:3]); err != nil {
		return err
	}
	add := func(name, role string, index int, address string) {
		_, err := fleet.add(name, role, domain(index), address)
		addresses.err = errors.Join(addresses.err, err)
	}
	for index := range deployment.Controls {
		add(fmt.Sprintf("control-%d", index+1), "control", index, controls[index])
	}
	for index := range deployment.Stores {
		add(fmt.Sprintf("store-%d", index+1), "store", index, addresses.next(host(2, index)))
	}
	for index := range deployment.Fronts {
		add(fmt.Sprintf("front-%d", index+1), "front", index, addresses.next(host(3, index)))
	}
	addRunner := func(name, group string, subnet, index int) {
		address := addresses.next(host(subnet, index))
		fleet.Runners = append(fleet.Runners, standin.ListedRunner{Address: address, Group: group, Domain: domain(index), State: "serving"})
		fleet.Processes = append(fleet.Processes, &Process{Name: name, Role: "runner", Domain: domain(index), Address: address, binary: filepath.Join(fleet.programFolder, "standin"), logFile: filepath.Join(fleet.Folder, name+".log"),
			arguments: []string{"--address", address, "--first", latencies.FirstPiece.String(), "--piece", latencies.NextPiece.String(), "--plain", latencies.PlainAnswer.String(), "--record", filepath.Join(fleet.Folder, name+".executions")}})
	}
	for index := range deployment.Models {
		group := "large"
		if index%3 != 0 {
			group = "small"
		}
		addRunner(fmt.Sprintf("model-%d", index+1), group, 4, index)
	}
	for index := range deployment.Applications {
		addRunner(fmt.Sprintf("application-%d", index+1), "application", 5, index)
	}
	fleet.Processes = append(fleet.Processes, &Process{Name: "platform", Role: "platform", Address: fleet.PlatformAddress, binary: filepath.Join(fleet.programFolder, "standin"), logFile: filepath.Join(fleet.Folder, "platform.log"),
		arguments: []string{"--serve", "platform", "--address", fleet.PlatformAddress, "--runners", runnerListFile}})
	list, err := json.Marshal(fleet.Runners)
	return errors.Join(err, addresses.err, os.WriteFile(runnerListFile, list, 0o600))
}

// seedsFile returns the settings file from which every daemon reads its seeds at its start and on
// SIGHUP.
func (fleet *Fleet) seedsFile() string { return filepath.Join(fleet.Folder, "seeds.json") }

func (fleet *Fleet) setSeeds(seeds []string) error {
	fleet.seeds = slices.Clone(seeds)
	data, err := json.Marshal(map[string]any{"seeds": seeds})
	return errors.Join(err, os.WriteFile(fleet.seedsFile(), data, 0o600))
}

// roleArguments returns the arguments that are specific to a role.
var roleArguments = map[string]func(fleet *Fleet, publicAddress string) []string{
	"control": func(fleet *Fleet, publicAddress string) []string {
		arguments := []string{"--administration", publicAddress, "--root-token-hash", config.HashToken(RootToken), "--founding-stores", strconv.Itoa(fleet.Deployment.Stores)}
		if fleet.Deployment.Groups > 0 {
			arguments = append(arguments, "--groups", strconv.Itoa(fleet.Deployment.Groups))
		}
		return arguments
	},
	"store": func(_ *Fleet, publicAddress string) []string {
		return []string{"--role", "store", "--health", publicAddress}
	},
	"front": func(_ *Fleet, publicAddress string) []string {
		return []string{"--role", "front", "--public", publicAddress}
	},
}

// add adds a daemon at an address without starting it. With fault injection, other daemons reach it
// through the LinkProxy, and its disk loses unsynced data when it is killed.
func (fleet *Fleet) add(name, role, domain, address string) (*Process, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	addresses := &addressAllocator{}
	process := &Process{Name: name, Role: role, Domain: domain, Address: address, PublicAddress: addresses.next(host), binary: filepath.Join(fleet.programFolder, "yardrock-data-plane"), logFile: filepath.Join(fleet.Folder, name+".log")}
	if role == "control" {
		process.binary = filepath.Join(fleet.programFolder, "yardrock-control-plane")
	}
	process.arguments = append([]string{"--settings", fleet.seedsFile(), "--address", address, "--domain", domain}, roleArguments[role](fleet, process.PublicAddress)...)
	if role != "front" {
		process.Folder = filepath.Join(fleet.Folder, name)
		process.arguments = append(process.arguments, "--folder", process.Folder)
	}
	if fleet.Links != nil {
		listenAddress := addresses.next(host)
		process.arguments = append(process.arguments, "--listen", listenAddress)
		addresses.err = errors.Join(addresses.err, fleet.Links.Serve(address, listenAddress))
		if role != "front" {
			process.DiskFaultsFile = process.Folder + ".faults"
			process.arguments = append(process.arguments, "--trial-disk", process.DiskFaultsFile)
		}
	}
	fleet.mutex.Lock()
	fleet.Processes = append(fleet.Processes, process)
	fleet.mutex.Unlock()
	return process, addresses.err
}

// AwaitReady polls a process's /readyz until it reports that it is ready.
//
//	err := fleet.AwaitReady(ctx, front.PublicAddress)
func AwaitReady(ctx context.Context, address string) error {
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
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
