package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"runtime/pprof"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"yardrock.example/system/controlplane"
	"yardrock.example/system/feed"
	"yardrock.example/system/feedclient"
	"yardrock.example/system/link"
	"yardrock.example/system/replica"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/store"
	"yardrock.example/system/storeclient"
	"yardrock.example/system/vfs"
)

// counted is the real network, with what is written to it counted.
type counted struct {
	link.TCP
	messages, bytes atomic.Int64
}

type countedStream struct {
	net.Conn
	network *counted
}

// Write counts and writes.
func (stream countedStream) Write(data []byte) (int, error) {
	stream.network.messages.Add(1)
	stream.network.bytes.Add(int64(len(data)))
	return stream.Conn.Write(data)
}

// Dial connects.
func (network *counted) Dial(ctx context.Context, address string) (net.Conn, error) {
	stream, err := network.TCP.Dial(ctx, address)
	return countedStream{stream, network}, err
}

type countedListener struct {
	net.Listener
	network *counted
}

// Accept takes a connection.
func (listener countedListener) Accept() (net.Conn, error) {
	stream, err := listener.Listener.Accept()
	return countedStream{stream, listener.network}, err
}

// Listen opens a port.
func (network *counted) Listen(address string) (net.Listener, error) {
	listener, err := network.TCP.Listen(address)
	return countedListener{listener, network}, err
}

// slowDisk is a real folder whose syncs take as long as those of a slow disk, and
// are counted.
type slowDisk struct {
	vfs.Directory
	syncs *atomic.Int64
	takes time.Duration
}

// Sync syncs.
func (disk slowDisk) Sync(name string) error {
	disk.syncs.Add(1)
	time.Sleep(disk.takes)
	return disk.Directory.Sync(name)
}

// bytesOut are the bytes of messages that all nodes sent so far, by kind of query.
func bytesOut() map[string]uint64 {
	sent := map[string]uint64{}
	for _, kind := range link.Traffic() {
		sent[kind.Kind] = kind.BytesOut
	}
	return sent
}

// freeAddresses returns addresses of this machine on which nobody listens.
func freeAddresses(count int) ([]string, error) {
	found := []string{}
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close() //revive:disable-line:defer all stay open until the addresses are drawn
		found = append(found, listener.Addr().String())
	}
	return found, nil
}

// storesOnLoopback is a small fleet on real files. Clients of the stores take the place of fronts.
type storesOnLoopback struct {
	network *counted
	syncs   *atomic.Int64
	folder  string
	nodes   []*store.Node
	clients []*storeclient.Client
	ends    []func()
}

// end stops the fleet and removes its folder.
func (fleet *storesOnLoopback) end() {
	for _, end := range slices.Backward(fleet.ends) {
		end()
	}
}

// startStores starts three control nodes and three stores whose syncs take a time.
func startStores(syncTime time.Duration) (*storesOnLoopback, error) {
	folder, err := os.MkdirTemp("", "measure")
	if err != nil {
		return nil, err
	}
	fleet := &storesOnLoopback{network: &counted{}, syncs: &atomic.Int64{}, folder: folder, ends: []func(){func() { _ = os.RemoveAll(folder) }}}
	open := func(name string) vfs.Directory {
		made, failed := vfs.Open(filepath.Join(folder, name))
		err = errors.Join(err, failed)
		return slowDisk{made, fleet.syncs, syncTime}
	}
	free, failed := freeAddresses(15)
	if failed != nil {
		return nil, failed
	}
	seeds := free[:3]
	for index, address := range seeds {
		name := []string{"east", "middle", "west"}[index]
		control, failed := controlplane.Start(controlplane.Settings{Address: address, Administration: free[3+index], Domain: name, Seeds: seeds, FoundingStores: 3, Groups: 32, MaxControls: 3, Replica: replica.DefaultSettings(uint64(index))},
			open("control"+name), fleet.network)
		if failed != nil {
			return fleet, failed
		}
		fleet.ends = append(fleet.ends, control.Close)
		node, failed := store.Start(store.Settings{Address: free[6+index], Domain: name, Seeds: seeds, Replica: replica.DefaultSettings(uint64(10 + index))}, open("store"+name), open("cold"+name), fleet.network)
		if failed != nil {
			return fleet, failed
		}
		fleet.nodes, fleet.ends = append(fleet.nodes, node), append(fleet.ends, node.Close)
	}
	if err != nil {
		return fleet, err
	}
	for index := range 6 {
		caller := link.NewClient(fleet.network)
		following := feedclient.Start(caller, feed.Member{Name: fmt.Sprint("front", index), Role: "client", Address: free[9+index]}, seeds, nil, func(*feed.View) error { return nil })
		fleet.ends = append(fleet.ends, caller.Close, following.Stop)
		for len(following.View().Stores) == 0 {
			time.Sleep(50 * time.Millisecond)
		}
		fleet.clients = append(fleet.clients, storeclient.New(caller, following.View))
	}
	return fleet, nil
}

// turnCosts runs turns of programs at a pace against three stores on loopback, with real files, and
// prints what each cost over all processes, the part of the clients included.
func turnCosts(pace, count, size int, syncTime time.Duration, profile string) error {
	fleet, err := startStores(syncTime)
	if fleet != nil {
		defer fleet.end()
	}
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	fleet.runTurns(pace, pace, size)
	figures := map[string]any{}
	fleet.measureIdle(figures)
	if err := fleet.measureTurns(figures, pace, count, size, profile); err != nil {
		return err
	}
	data, err := json.MarshalIndent(figures, "", " ")
	fmt.Println(string(data))
	return err
}

// resources is what this process has used up to a time.
type resources struct {
	cpu                    time.Duration
	messages, bytes, syncs int64
}

// used reads the resources, or none if the system does not say the processor time.
func (fleet *storesOnLoopback) used() resources {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return resources{}
	}
	return resources{time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), fleet.network.messages.Load(), fleet.network.bytes.Load(), fleet.syncs.Load()}
}

// measureIdle adds the figures of an idle fleet.
func (fleet *storesOnLoopback) measureIdle(figures map[string]any) {
	began, before := time.Now(), fleet.used()
	time.Sleep(idleTime)
	seconds, after := time.Since(began).Seconds(), fleet.used()
	figures["idle_cpu_ms_per_second"] = float64((after.cpu - before.cpu).Microseconds()) / 1000 / seconds
	figures["idle_messages_per_second"] = float64(after.messages-before.messages) / seconds
	figures["idle_bytes_per_second"] = float64(after.bytes-before.bytes) / seconds
	figures["idle_syncs_per_second"] = float64(after.syncs-before.syncs) / seconds
}

// measureTurns adds the figures of a number of turns. A profile, if named, gets a file.
func (fleet *storesOnLoopback) measureTurns(figures map[string]any, pace, count, size int, profile string) error {
	if profile != "" {
		file, err := os.Create(profile)
		if err != nil {
			return err
		}
		defer file.Close()
		if err := pprof.StartCPUProfile(file); err != nil {
			return err
		}
	}
	before, began, kinds := fleet.used(), time.Now(), bytesOut()
	commits, failed := fleet.runTurns(count, pace, size)
	pprof.StopCPUProfile()
	seconds, after, turns := time.Since(began).Seconds(), fleet.used(), float64(count)
	figures["turns"], figures["failed"], figures["turns_per_second"] = count, failed, turns/seconds
	figures["cpu_ms_per_turn"] = float64((after.cpu - before.cpu).Microseconds()) / 1000 / turns
	figures["messages_per_turn"] = float64(after.messages-before.messages) / turns
	figures["bytes_per_turn"] = float64(after.bytes-before.bytes) / turns
	for kind, now := range bytesOut() {
		figures["bytes_out_per_turn_"+kind] = float64(now-kinds[kind]) / turns
	}
	figures["syncs_per_turn"] = float64(after.syncs-before.syncs) / turns
	figures["commit_half"], figures["commit_99"] = commits[len(commits)/2].String(), commits[len(commits)*99/100].String()
	return nil
}

// runTurns begins and ends turns, pace of them in a second, and returns the sorted times of all
// their commits. Ten programs at a time take eight turns each.
func (fleet *storesOnLoopback) runTurns(turns, pace, size int) (commits []time.Duration, failed int) {
	var mutex sync.Mutex
	var running sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(pace))
	defer ticker.Stop()
	run := rand.Uint64()
	for number := range turns {
		<-ticker.C
		running.Go(func() {
			program, position := fmt.Sprintf("program/%x-%d-%d", run, number/80, number%10), number%80/10
			begin, end, err := fleet.runTurn(fleet.clients[number%len(fleet.clients)], program, position, size)
			mutex.Lock()
			defer mutex.Unlock()
			commits = append(commits, begin, end)
			if err != nil {
				failed++
			}
		})
	}
	running.Wait()
	slices.Sort(commits)
	return commits, failed
}

// runTurn begins and ends the turn of a program at a position, and returns how long both took. If
// the begin fails, the second time is that of the begin, too.
func (*storesOnLoopback) runTurn(stores *storeclient.Client, program string, position, size int) (begin, end time.Duration, err error) {
	name, follows := fmt.Sprintf("%s-%d", program, position), ""
	if position > 0 {
		follows = fmt.Sprintf("%s-%d", program, position-1)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	began := time.Now()
	begun, err := stores.BeginTurn(ctx, storeclient.Turn{SessionName: program, Name: name, Follows: follows, Input: []byte(strings.Repeat("i", size)), KeepHistory: true, Retention: time.Minute, HasTokenQuota: true, MaxOutputTokens: 100, TokenQuota: 10000, DispatchID: "d", Lifetime: time.Minute})
	begin = time.Since(began)
	if err != nil {
		return begin, time.Since(began), err
	}
	began = time.Now()
	err = stores.EndTurn(ctx, storeclient.TurnEnd{SessionName: program, Name: name, Seq: begun.Seq, Output: []byte(strings.Repeat("o", size)), Tokens: 50, Outcome: sessionlog.OutcomeComplete, KeepHistory: true})
	return begin, time.Since(began), err
}
