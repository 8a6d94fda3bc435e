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

// seedsFile is the file from which every daemon reads its seeds, at its start and on SIGHUP.
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

// add adds a daemon at an address, without starting it. If faults are to be injected, others reach
// it through the LinkProxy, and its disk loses unsynced data when it is killed.
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

// AwaitReady waits until a process reports that it is ready.
//
//	err := fleet.AwaitReady(ctx, front.PublicAddress)
func AwaitReady(ctx context.Context, address string) error {
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
		if err != nil {
			return err
		}
		got, err := http.DefaultClient.Do(request)
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
