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
	// prefixBytes are those that first turns of one scope have in common, prefixScopes
	// how many scopes there are.
	prefixBytes  = 2560
	prefixScopes = 4
	// turnsOfAProgram are those of each program; the first brings the opening.
	turnsOfAProgram = 2
	// archivePause is long enough for lines to be quiet and then archived.
	archivePause = 25 * time.Second
)

// sharingArm is what was measured with prefixes shared, or not.
type sharingArm struct {
	Turns        int           `json:"turns"`
	Failed       int           `json:"failed"`
	Wrong        int           `json:"wrong_histories"`
	BeginHalf    time.Duration `json:"begin_50_ns"`
	Begin99      time.Duration `json:"begin_99_ns"`
	NetworkBytes int64         `json:"network_bytes"`
	ColdBytes    int64         `json:"cold_bytes"`
	HotBytes     int64         `json:"hot_data_bytes"`
	SnapshotHot  int           `json:"checkpoint_bytes_before_archiving"`
	Snapshot     int           `json:"checkpoint_bytes_after_archiving"`
	begins       []time.Duration
}

// sharedPrefixCosts runs programs at a pace against three stores, alternately with their
// prefixes shared and not, and returns what each way cost.
func sharedPrefixCosts(pace, count, size int, takes time.Duration) error {
	fleet, err := startStores(takes)
	if fleet != nil {
		defer fleet.end()
	}
	if err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(1, 2))
	words := func(length int) string {
		made := &strings.Builder{}
		for made.Len() < length {
			fmt.Fprintf(made, "word%d ", random.IntN(100000))
		}
		return made.String()[:length]
	}
	prefixes := []string{}
	for range prefixScopes {
		prefixes = append(prefixes, words(prefixBytes))
	}
	inputs := []string{}
	for range 64 {
		inputs = append(inputs, words(size))
	}
	time.Sleep(3 * time.Second)
	arms := map[string]*sharingArm{"off": {}, "on": {}}
	// What is held and sent is seen one way after the other, delays both ways at once.
	for _, name := range []string{"off", "on"} {
		arm := arms[name]
		network, cold := fleet.network.bytes.Load(), fleet.archivedBytes()
		fleet.sharedPrefixRound(func(int) (*sharingArm, string) { return arm, name }, "alone", pace, count, prefixes, inputs)
		arm.NetworkBytes = fleet.network.bytes.Load() - network
		arm.HotBytes, arm.SnapshotHot = fleet.stateBytes(name)
		time.Sleep(archivePause)
		_, arm.Snapshot = fleet.stateBytes(name)
		arm.ColdBytes = fleet.archivedBytes() - cold
		arm.begins = nil
	}
	fleet.sharedPrefixRound(func(number int) (*sharingArm, string) {
		name := []string{"off", "on"}[number/prefixScopes%2]
		return arms[name], name
	}, "beside", pace, 2*count, prefixes, inputs)
	for _, arm := range arms {
		slices.Sort(arm.begins)
		arm.BeginHalf, arm.Begin99 = arm.begins[len(arm.begins)/2], arm.begins[len(arm.begins)*99/100]
	}
	data, err := json.MarshalIndent(arms, "", " ")
	fmt.Println(string(data))
	return err
}

// sharedPrefixRound runs programs, each turn once the one before it has ended.
func (fleet *storesOnLoopback) sharedPrefixRound(armOf func(number int) (*sharingArm, string), round string, pace, count int, prefixes, inputs []string) {
	var mutex sync.Mutex
	var working sync.WaitGroup
	tick := time.NewTicker(time.Second * turnsOfAProgram / time.Duration(pace))
	defer tick.Stop()
	for number := range count / turnsOfAProgram {
		<-tick.C
		working.Go(func() {
			arm, name := armOf(number)
			program, said, follows := fmt.Sprintf("program/%s-%s-%d", name, round, number), "", ""
			scope, client := number%prefixScopes, fleet.clients[number%len(fleet.clients)]
			for position := range turnsOfAProgram {
				turn := storeclient.Turn{SessionName: program, Name: fmt.Sprintf("%s-%d", program, position), Follows: follows, Input: []byte(inputs[(number+position)%len(inputs)]), KeepHistory: true, Retention: time.Minute, DispatchID: "d", Lifetime: time.Minute}
				if position == 0 {
					turn.Input = []byte(prefixes[scope] + string(turn.Input))
				}
				if name == "on" {
					turn.PrefixScope = fmt.Sprint("route-", scope)
				}
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				began := time.Now()
				begun, err := client.BeginTurn(ctx, turn)
				took := time.Since(began)
				wrong := err == nil && string(begun.History) != said
				output := inputs[number%len(inputs)]
				if err == nil {
					err = client.EndTurn(ctx, storeclient.TurnEnd{SessionName: program, Name: turn.Name, Seq: begun.Seq, Output: []byte(output), Outcome: sessionlog.OutcomeComplete, KeepHistory: true})
				}
				cancel()
				said, follows = said+string(turn.Input)+output, turn.Name
				mutex.Lock()
				arm.Turns++
				arm.begins = append(arm.begins, took)
				if wrong {
					arm.Wrong++
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
	working.Wait()
}

// stateBytes sums, over all stores, the data of an arm's events that are not archived and the
// size of snapshots of its sessions, both with the shared prefixes that they refer to.
func (fleet *storesOnLoopback) stateBytes(name string) (data int64, snapshotBytes int) {
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

// archivedBytes sums the files of all cold stores.
func (fleet *storesOnLoopback) archivedBytes() int64 {
	total := int64(0)
	folders, _ := filepath.Glob(filepath.Join(fleet.folder, "cold*"))
	for _, folder := range folders {
		_ = filepath.WalkDir(folder, func(_ string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() {
				return nil // a file that was removed meanwhile
			}
			if reported, err := entry.Info(); err == nil {
				total += reported.Size()
			}
			return nil
		})
	}
	return total
}
