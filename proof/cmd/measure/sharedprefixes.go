package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"yardrock.example/system/sessionlog"
	"yardrock.example/system/storeclient"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

const (
	// prefixBytes is the size of the prefix that the first turns within a scope share;
	// prefixScopes is the number of scopes.
	prefixBytes  = 2560
	prefixScopes = 4
	// turnsPerProgram counts the turns of each program; the first one starts with the prefix.
	turnsPerProgram = 2
	// archivePause is long enough for sessions to become idle and be archived.
	archivePause = 25 * time.Second
)

// armResult has the measurements of one arm of the comparison: prefix sharing on or off.
type armResult struct {
	Turns                        int           `json:"turns"`
	Failed                       int           `json:"failed"`
	HistoryMismatches            int           `json:"wrong_histories"`
	BeginP50                     time.Duration `json:"begin_50_ns"`
	BeginP99                     time.Duration `json:"begin_99_ns"`
	NetworkBytes                 int64         `json:"network_bytes"`
	ArchivedBytes                int64         `json:"cold_bytes"`
	UnarchivedBytes              int64         `json:"hot_data_bytes"`
	SnapshotBytesBeforeArchiving int           `json:"checkpoint_bytes_before_archiving"`
	SnapshotBytesAfterArchiving  int           `json:"checkpoint_bytes_after_archiving"`
	begins                       []time.Duration
}

// measureSharedPrefixes runs programs against three stores with prefix sharing off and on, and prints
// the measurements of both.
func measureSharedPrefixes(turnsPerSecond, count, size int, syncDelay time.Duration) error {
	fleet, err := startStores(syncDelay)
	if fleet != nil {
		defer fleet.stop()
	}
	if err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(1, 2))
	randomWords := func(length int) string {
		text := &strings.Builder{}
		for text.Len() < length {
			fmt.Fprintf(text, "word%d ", random.IntN(100000))
		}
		return text.String()[:length]
	}
	prefixes := []string{}
	for range prefixScopes {
		prefixes = append(prefixes, randomWords(prefixBytes))
	}
	inputs := []string{}
	for range 64 {
		inputs = append(inputs, randomWords(size))
	}
	time.Sleep(3 * time.Second)
	arms := map[string]*armResult{"off": {}, "on": {}}
	// Storage and traffic are measured for one arm at a time; latencies with both arms interleaved,
	// so that they run under the same conditions.
	for _, name := range []string{"off", "on"} {
		arm := arms[name]
		networkBefore, archivedBefore := fleet.network.bytes.Load(), fleet.archivedBytes()
		fleet.runSharedPrefixRound(func(int) (*armResult, string) { return arm, name }, "alone", turnsPerSecond, count, prefixes, inputs)
		arm.NetworkBytes = fleet.network.bytes.Load() - networkBefore
		arm.UnarchivedBytes, arm.SnapshotBytesBeforeArchiving = fleet.stateBytes(name)
		time.Sleep(archivePause)
		_, arm.SnapshotBytesAfterArchiving = fleet.stateBytes(name)
		arm.ArchivedBytes = fleet.archivedBytes() - archivedBefore
		arm.begins = nil
	}
	fleet.runSharedPrefixRound(func(number int) (*armResult, string) {
		name := []string{"off", "on"}[number/prefixScopes%2]
		return arms[name], name
	}, "beside", turnsPerSecond, 2*count, prefixes, inputs)
	for _, arm := range arms {
		slices.Sort(arm.begins)
		arm.BeginP50, arm.BeginP99 = arm.begins[len(arm.begins)/2], arm.begins[len(arm.begins)*99/100]
	}
	data, err := json.MarshalIndent(arms, "", " ")
	fmt.Println(string(data))
	return err
}

// runSharedPrefixRound starts programs at a constant rate and waits for them. The turns of a program
// run one after the other.
func (fleet *loopbackStores) runSharedPrefixRound(armOf func(number int) (*armResult, string), round string, turnsPerSecond, count int, prefixes, inputs []string) {
	var mutex sync.Mutex
	var workers sync.WaitGroup
	ticker := time.NewTicker(time.Second * turnsPerProgram / time.Duration(turnsPerSecond))
	defer ticker.Stop()
	for number := range count / turnsPerProgram {
		<-ticker.C
		workers.Go(func() {
			arm, name := armOf(number)
			program, history, follows := fmt.Sprintf("program/%s-%s-%d", name, round, number), "", ""
			scope, client := number%prefixScopes, fleet.clients[number%len(fleet.clients)]
			for position := range turnsPerProgram {
				turn := storeclient.Turn{SessionName: program, Name: fmt.Sprintf("%s-%d", program, position), Follows: follows, Input: []byte(inputs[(number+position)%len(inputs)]), KeepHistory: true, Retention: time.Minute, DispatchID: "d", Lifetime: time.Minute}
				if position == 0 {
					turn.Input = []byte(prefixes[scope] + string(turn.Input))
				}
				if name == "on" {
					turn.PrefixScope = fmt.Sprint("route-", scope)
				}
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				began := time.Now()
				reply, err := client.BeginTurn(ctx, turn)
				latency := time.Since(began)
				mismatch := err == nil && string(reply.History) != history
				output := inputs[number%len(inputs)]
				if err == nil {
					err = client.EndTurn(ctx, storeclient.TurnEnd{SessionName: program, Name: turn.Name, Seq: reply.Seq, Output: []byte(output), Outcome: sessionlog.OutcomeComplete, KeepHistory: true})
				}
				cancel()
				history, follows = history+string(turn.Input)+output, turn.Name
				mutex.Lock()
				arm.Turns++
				arm.begins = append(arm.begins, latency)
				if mismatch {
					arm.HistoryMismatches++
				}
				if err != nil {
					arm.Failed++
				}
				mutex.Unlock()
				if err != nil {
					return
				}
			}
		})
	}
	workers.Wait()
}

// stateBytes returns the size of an arm's unarchived events and of the snapshots of its sessions,
// summed over all stores. Both include the shared prefixes that the sessions refer to.
func (fleet *loopbackStores) stateBytes(name string) (data int64, snapshotBytes int) {
	for _, node := range fleet.nodes {
		for group := range uint32(32) {
			machine := node.StateMachine(group)
			if machine == nil {
				continue
			}
			snapshot, needed := machine.View().Snapshot(), map[string]bool{}
			snapshot.Sessions = slices.DeleteFunc(snapshot.Sessions, func(session sessionlog.Session) bool { return !strings.HasPrefix(session.Name, "program/"+name+"-") })
			snapshot.Turns = slices.DeleteFunc(snapshot.Turns, func(turn sessionlog.TurnRecord) bool { return !strings.HasPrefix(turn.Session, "program/"+name+"-") })
			for _, session := range snapshot.Sessions {
				for _, prefix := range session.Prefixes {
					needed[prefix] = true
				}
				for _, event := range session.Unarchived {
					data += int64(len(event.Data))
				}
			}
			snapshot.Prefixes = slices.DeleteFunc(snapshot.Prefixes, func(prefix sessionlog.SharedPrefixRecord) bool { return !needed[prefix.Name] })
			for _, prefix := range snapshot.Prefixes {
				data += int64(len(prefix.Data))
			}
			snapshotBytes += len(wire.MustEncode(schema.LineImage_TypeID, &snapshot))
		}
	}
	return data, snapshotBytes
}

// archivedBytes returns the total size of the files in all archive directories.
func (fleet *loopbackStores) archivedBytes() int64 {
	total := int64(0)
	folders, _ := filepath.Glob(filepath.Join(fleet.folder, "cold*"))
	for _, folder := range folders {
		_ = filepath.WalkDir(folder, func(_ string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() {
				return nil // the file was removed concurrently
			}
			if info, err := entry.Info(); err == nil {
				total += info.Size()
			}
			return nil
		})
	}
	return total
}
