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

// countingNetwork is a TCP network that counts the writes and the bytes written.
type countingNetwork struct {
	link.TCP
	messages, bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	network *countingNetwork
}

// Write counts the call and its bytes, and writes to the connection.
func (conn countingConn) Write(data []byte) (int, error) {
	conn.network.messages.Add(1)
	conn.network.bytes.Add(int64(len(data)))
	return conn.Conn.Write(data)
}

// Dial returns a connection whose writes are counted.
func (network *countingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := network.TCP.Dial(ctx, address)
	return countingConn{conn, network}, err
}

type countingListener struct {
	net.Listener
	network *countingNetwork
}

// Accept returns a connection whose writes are counted.
func (listener countingListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	return countingConn{conn, listener.network}, err
}

// Listen returns a listener whose connections count their writes.
func (network *countingNetwork) Listen(address string) (net.Listener, error) {
	listener, err := network.TCP.Listen(address)
	return countingListener{listener, network}, err
}

// slowDisk is a directory that delays its syncs, to imitate a slow disk, and counts them.
type slowDisk struct {
	vfs.Directory
	syncs     *atomic.Int64
	syncDelay time.Duration
}

// Sync counts the call and delays it by syncDelay.
func (disk slowDisk) Sync(name string) error {
	disk.syncs.Add(1)
	time.Sleep(disk.syncDelay)
	return disk.Directory.Sync(name)
}

// bytesOut returns the bytes that all nodes have sent so far, by kind of query.
func bytesOut() map[string]uint64 {
	sent := map[string]uint64{}
	for _, kind := range link.Traffic() {
		sent[kind.Kind] = kind.BytesOut
	}
	return sent
}

// freeAddresses returns unused loopback addresses.
func freeAddresses(count int) ([]string, error) {
	addresses := []string{}
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close() //revive:disable-line:defer all stay open until the addresses are drawn
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// loopbackStores is a fleet of control nodes and stores on loopback with real files. Store clients
// take the place of fronts.
type loopbackStores struct {
	network  *countingNetwork
	syncs    *atomic.Int64
	folder   string
	nodes    []*store.Node
	clients  []*storeclient.Client
	cleanups []func()
}

// stop stops the fleet and removes its directory.
func (fleet *loopbackStores) stop() {
	for _, cleanup := range slices.Backward(fleet.cleanups) {
		cleanup()
	}
}

// startStores starts three control nodes and three stores whose disk syncs are delayed. The returned
// fleet may be non-nil together with an error, and has to be stopped then.
func startStores(syncDelay time.Duration) (*loopbackStores, error) {
	folder, err := os.MkdirTemp("", "measure")
	if err != nil {
		return nil, err
	}
	fleet := &loopbackStores{network: &countingNetwork{}, syncs: &atomic.Int64{}, folder: folder, cleanups: []func(){func() { _ = os.RemoveAll(folder) }}}
	open := func(name string) vfs.Directory {
		directory, openErr := vfs.Open(filepath.Join(folder, name))
		err = errors.Join(err, openErr)
		return slowDisk{directory, fleet.syncs, syncDelay}
	}
	addresses, addressErr := freeAddresses(15)
	if addressErr != nil {
		return nil, addressErr
	}
	seeds := addresses[:3]
	for index, address := range seeds {
		name := []string{"east", "middle", "west"}[index]
		control, startErr := controlplane.Start(controlplane.Settings{Address: address, AdminAddress: addresses[3+index], Domain: name, Seeds: seeds, FoundingStores: 3, Groups: 32, MaxControls: 3, Replica: replica.DefaultSettings(uint64(index))},
			open("control"+name), fleet.network)
		if startErr != nil {
			return fleet, startErr
		}
		fleet.cleanups = append(fleet.cleanups, control.Close)
		node, startErr := store.Start(store.Settings{Address: addresses[6+index], Domain: name, Seeds: seeds, Replica: replica.DefaultSettings(uint64(10 + index))}, open("store"+name), open("cold"+name), fleet.network)
		if startErr != nil {
			return fleet, startErr
		}
		fleet.nodes, fleet.cleanups = append(fleet.nodes, node), append(fleet.cleanups, node.Close)
	}
	if err != nil {
		return fleet, err
	}
	for index := range 6 {
		caller := link.NewClient(fleet.network)
		feedClient := feedclient.Start(caller, feed.Member{Name: fmt.Sprint("front", index), Role: "client", Address: addresses[9+index]}, seeds, nil, func(*feed.View) error { return nil })
		fleet.cleanups = append(fleet.cleanups, caller.Close, feedClient.Stop)
		for len(feedClient.View().Stores) == 0 {
			time.Sleep(50 * time.Millisecond)
		}
		fleet.clients = append(fleet.clients, storeclient.New(caller, feedClient.View))
	}
	return fleet, nil
}

// reportTurnCosts runs turns at a constant rate against three stores, and prints the cost of a turn
// over all nodes, including the clients.
func reportTurnCosts(turnsPerSecond, count, size int, syncDelay time.Duration, profile string) error {
	fleet, err := startStores(syncDelay)
	if fleet != nil {
		defer fleet.stop()
	}
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	fleet.runTurns(turnsPerSecond, turnsPerSecond, size)
	figures := map[string]any{}
	fleet.measureIdle(figures)
	if err := fleet.measureTurns(figures, turnsPerSecond, count, size, profile); err != nil {
		return err
	}
	data, err := json.MarshalIndent(figures, "", " ")
	fmt.Println(string(data))
	return err
}

// resourceUsage is the cumulative resource usage of this process.
type resourceUsage struct {
	cpu                    time.Duration
	messages, bytes, syncs int64
}

// usage returns the resource usage, or zero if the system does not report the CPU time.
func (fleet *loopbackStores) usage() resourceUsage {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return resourceUsage{}
	}
	return resourceUsage{time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), fleet.network.messages.Load(), fleet.network.bytes.Load(), fleet.syncs.Load()}
}

// measureIdle adds the usage of the idle fleet to the figures.
func (fleet *loopbackStores) measureIdle(figures map[string]any) {
	began, before := time.Now(), fleet.usage()
	time.Sleep(idleTime)
	seconds, after := time.Since(began).Seconds(), fleet.usage()
	figures["idle_cpu_ms_per_second"] = float64((after.cpu - before.cpu).Microseconds()) / 1000 / seconds
	figures["idle_messages_per_second"] = float64(after.messages-before.messages) / seconds
	figures["idle_bytes_per_second"] = float64(after.bytes-before.bytes) / seconds
	figures["idle_syncs_per_second"] = float64(after.syncs-before.syncs) / seconds
}

// measureTurns runs turns and adds their cost to the figures. It writes a CPU profile to the file
// profile unless that is empty.
func (fleet *loopbackStores) measureTurns(figures map[string]any, turnsPerSecond, count, size int, profile string) error {
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
	before, began, bytesBefore := fleet.usage(), time.Now(), bytesOut()
	commits, failed := fleet.runTurns(count, turnsPerSecond, size)
	pprof.StopCPUProfile()
	seconds, after, turns := time.Since(began).Seconds(), fleet.usage(), float64(count)
	figures["turns"], figures["failed"], figures["turns_per_second"] = count, failed, turns/seconds
	figures["cpu_ms_per_turn"] = float64((after.cpu - before.cpu).Microseconds()) / 1000 / turns
	figures["messages_per_turn"] = float64(after.messages-before.messages) / turns
	figures["bytes_per_turn"] = float64(after.bytes-before.bytes) / turns
	for kind, now := range bytesOut() {
		figures["bytes_out_per_turn_"+kind] = float64(now-bytesBefore[kind]) / turns
	}
	figures["syncs_per_turn"] = float64(after.syncs-before.syncs) / turns
	figures["commit_half"], figures["commit_99"] = commits[len(commits)/2].String(), commits[len(commits)*99/100].String()
	return nil
}

// runTurns runs turns at a constant rate. It returns the sorted commit latencies, two for each turn,
// and the number of failed turns. Ten programs at a time run eight turns each.
func (fleet *loopbackStores) runTurns(turns, turnsPerSecond, size int) (commits []time.Duration, failed int) {
	var mutex sync.Mutex
	var workers sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(turnsPerSecond))
	defer ticker.Stop()
	runID := rand.Uint64()
	for number := range turns {
		<-ticker.C
		workers.Go(func() {
			program, position := fmt.Sprintf("program/%x-%d-%d", runID, number/80, number%10), number%80/10
			begin, end, err := fleet.runTurn(fleet.clients[number%len(fleet.clients)], program, position, size)
			mutex.Lock()
			defer mutex.Unlock()
			commits = append(commits, begin, end)
			if err != nil {
				failed++
			}
		})
	}
	workers.Wait()
	slices.Sort(commits)
	return commits, failed
}

// runTurn begins and ends the turn of a program at a position, and returns the latency of both calls.
// If the first fails, both latencies are its own.
func (*loopbackStores) runTurn(stores *storeclient.Client, program string, position, size int) (begin, end time.Duration, err error) {
	name, follows := fmt.Sprintf("%s-%d", program, position), ""
	if position > 0 {
		follows = fmt.Sprintf("%s-%d", program, position-1)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	began := time.Now()
	reply, err := stores.BeginTurn(ctx, storeclient.Turn{SessionName: program, Name: name, Follows: follows, Input: []byte(strings.Repeat("i", size)), KeepHistory: true, Retention: time.Minute, HasTokenQuota: true, MaxOutputTokens: 100, TokenQuota: 10000, DispatchID: "d", Lifetime: time.Minute})
	begin = time.Since(began)
	if err != nil {
		return begin, time.Since(began), err
	}
	began = time.Now()
	err = stores.EndTurn(ctx, storeclient.TurnEnd{SessionName: program, Name: name, Seq: reply.Seq, Output: []byte(strings.Repeat("o", size)), Tokens: 50, Outcome: sessionlog.OutcomeComplete, KeepHistory: true})
	return begin, time.Since(began), err
}
