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
		defer listener.Close()
		found = append(found, listener.Addr().String())
	}
	return found, nil
}

// storesOnLoopback is a small fleet without fronts, on real files; origins stand for
// fronts.
type storesOnLoopback struct {
	network *counted
	syncs   *atomic.Int64
	folder  string
	nodes   []*store.Node
	origins []*storeclient.Client
	ends    []func()
}

// end stops the fleet and removes its folder.
func (fleet *storesOnLoopback) end() {
	for _, end := range slices.Backward(fleet.ends) {
		end()
	}
}

// startStores starts three control nodes and three stores whose syncs take a time.
func startStores(takes time.Duration) (*storesOnLoopback, error) {
	folder, err := os.MkdirTemp("", "measure")
	if err != nil {
		return nil, err
	}
	fleet := &storesOnLoopback{network: &counted{}, syncs: &atomic.Int64{}, folder: folder, ends: []func(){func() { os.RemoveAll(folder) }}}
	open := func(name string) vfs.Directory {
		made, failed := vfs.Open(filepath.Join(folder, name))
		err = errors.Join(err, failed)
		return slowDisk{made, fleet.syncs, takes}
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
		fleet.origins = append(fleet.origins, storeclient.New(caller, following.View))
	}
	return fleet, nil
}

// turnCosts runs turns of programs at a pace against three stores on loopback, with
// real files, and returns what each cost over all processes, fronts' part included.
func turnCosts(pace, count, size int, takes time.Duration, profile string) error {
	fleet, err := startStores(takes)
	if fleet != nil {
		defer fleet.end()
	}
	if err != nil {
		return err
	}
	network, syncs, origins := fleet.network, fleet.syncs, fleet.origins
	run := func(turns int) (slowest []time.Duration, failed int) {
		var mutex sync.Mutex
		var working sync.WaitGroup
		tick := time.NewTicker(time.Second / time.Duration(pace))
		defer tick.Stop()
		run := rand.Uint64()
		for number := range turns {
			<-tick.C
			working.Go(func() {
				// Ten programs run beside each other, of eight turns each.
				program, position := fmt.Sprintf("program/%x-%d-%d", run, number/80, number%10), number%80/10
				name, follows := fmt.Sprintf("%s-%d", program, position), ""
				if position > 0 {
					follows = fmt.Sprintf("%s-%d", program, position-1)
				}
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				began := time.Now()
				begun, err := origins[number%len(origins)].BeginTurn(ctx, storeclient.Turn{SessionName: program, Name: name, Follows: follows, Input: []byte(strings.Repeat("i", size)), KeepHistory: true, Retention: time.Minute, HasTokenQuota: true, MaxOutputTokens: 100, TokenQuota: 10000, DispatchID: "d", Lifetime: time.Minute})
				took := time.Since(began)
				if err == nil {
					began = time.Now()
					err = origins[number%len(origins)].EndTurn(ctx, storeclient.TurnEnd{SessionName: program, Name: name, Seq: begun.Seq, Output: []byte(strings.Repeat("o", size)), Tokens: 50, Outcome: sessionlog.OutcomeComplete, KeepHistory: true})
				}
				mutex.Lock()
				defer mutex.Unlock()
				slowest = append(slowest, took, time.Since(began))
				if err != nil {
					failed++
				}
			})
		}
		working.Wait()
		slices.Sort(slowest)
		return slowest, failed
	}
	time.Sleep(3 * time.Second)
	run(pace)
	taken := func() (cpu time.Duration, messages, bytes, synced int64) {
		var usage syscall.Rusage
		if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
			return 0, 0, 0, 0
		}
		return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), network.messages.Load(), network.bytes.Load(), syncs.Load()
	}
	idleBegan := time.Now()
	idleCPU, idleMessages, idleBytes, idleSyncs := taken()
	time.Sleep(idleTime)
	idle := time.Since(idleBegan).Seconds()
	cpu, messages, bytes, synced := taken()
	perSecond := func(now, before int64) float64 { return float64(now-before) / idle }
	reported := map[string]any{"idle_cpu_ms_per_second": float64((cpu - idleCPU).Microseconds()) / 1000 / idle, "idle_messages_per_second": perSecond(messages, idleMessages), "idle_bytes_per_second": perSecond(bytes, idleBytes), "idle_syncs_per_second": perSecond(synced, idleSyncs)}
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
	began, kinds := time.Now(), bytesOut()
	commits, failed := run(count)
	pprof.StopCPUProfile()
	spent := time.Since(began).Seconds()
	afterCPU, afterMessages, afterBytes, afterSyncs := taken()
	turns := float64(count)
	reported["turns"], reported["failed"], reported["turns_per_second"] = count, failed, turns/spent
	reported["cpu_ms_per_turn"] = float64((afterCPU - cpu).Microseconds()) / 1000 / turns
	reported["messages_per_turn"] = float64(afterMessages-messages) / turns
	reported["bytes_per_turn"] = float64(afterBytes-bytes) / turns
	for kind, now := range bytesOut() {
		reported["bytes_out_per_turn_"+kind] = float64(now-kinds[kind]) / turns
	}
	reported["syncs_per_turn"] = float64(afterSyncs-synced) / turns
	reported["commit_half"], reported["commit_99"] = commits[len(commits)/2].String(), commits[len(commits)*99/100].String()
	data, err := json.MarshalIndent(reported, "", " ")
	fmt.Println(string(data))
	return err
}
