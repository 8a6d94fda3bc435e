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
	// openingBytes are those that first turns of one scope have in common, openingScopes
	// how many scopes there are.
	openingBytes  = 2560
	openingScopes = 4
	// turnsOfAProgram are those of each program; the first brings the opening.
	turnsOfAProgram = 2
	// archivePause is long enough for lines to be quiet and then archived.
	archivePause = 25 * time.Second
)

// sharingArm is what was seen with openings shared, or not.
type sharingArm struct {
	Turns         int           `json:"turns"`
	Failed        int           `json:"failed"`
	Wrong         int           `json:"wrong_histories"`
	BeginHalf     time.Duration `json:"begin_50_ns"`
	Begin99       time.Duration `json:"begin_99_ns"`
	NetworkBytes  int64         `json:"network_bytes"`
	ColdBytes     int64         `json:"cold_bytes"`
	HotBytes      int64         `json:"hot_data_bytes"`
	CheckpointHot int           `json:"checkpoint_bytes_before_archiving"`
	Checkpoint    int           `json:"checkpoint_bytes_after_archiving"`
	begins        []time.Duration
}

// sharedPrefixCosts runs programs at a pace against three stores, in turn with their openings
// shared and not, and tells what each way cost.
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
	openings := []string{}
	for range openingScopes {
		openings = append(openings, words(openingBytes))
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
		fleet.sharedPrefixRound(func(int) (*sharingArm, string) { return arm, name }, "alone", pace, count, openings, inputs)
		arm.NetworkBytes = fleet.network.bytes.Load() - network
		arm.HotBytes, arm.CheckpointHot = fleet.held(name)
		time.Sleep(archivePause)
		_, arm.Checkpoint = fleet.held(name)
		arm.ColdBytes = fleet.archivedBytes() - cold
		arm.begins = nil
	}
	fleet.sharedPrefixRound(func(number int) (*sharingArm, string) {
		name := []string{"off", "on"}[number/openingScopes%2]
		return arms[name], name
	}, "beside", pace, 2*count, openings, inputs)
	for _, arm := range arms {
		slices.Sort(arm.begins)
		arm.BeginHalf, arm.Begin99 = arm.begins[len(arm.begins)/2], arm.begins[len(arm.begins)*99/100]
	}
	data, err := json.MarshalIndent(arms, "", " ")
	fmt.Println(string(data))
	return err
}

// sharedPrefixRound runs programs, each turn once the one before it has ended.
func (fleet *storesOnLoopback) sharedPrefixRound(armOf func(number int) (*sharingArm, string), round string, pace, count int, openings, inputs []string) {
	var mutex sync.Mutex
	var working sync.WaitGroup
	tick := time.NewTicker(time.Second * turnsOfAProgram / time.Duration(pace))
	defer tick.Stop()
	for number := range count / turnsOfAProgram {
		<-tick.C
		working.Go(func() {
			arm, name := armOf(number)
			program, said, follows := fmt.Sprintf("program/%s-%s-%d", name, round, number), "", ""
			scope, origin := number%openingScopes, fleet.origins[number%len(fleet.origins)]
			for position := range turnsOfAProgram {
				turn := storeclient.Turn{SessionName: program, Name: fmt.Sprintf("%s-%d", program, position), Follows: follows, Input: []byte(inputs[(number+position)%len(inputs)]), KeepHistory: true, Retention: time.Minute, DispatchID: "d", Lifetime: time.Minute}
				if position == 0 {
					turn.Input = []byte(openings[scope] + string(turn.Input))
				}
				if name == "on" {
					turn.PrefixScope = fmt.Sprint("route-", scope)
				}
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				began := time.Now()
				begun, err := origin.BeginTurn(ctx, turn)
				took := time.Since(began)
				wrong := err == nil && string(begun.History) != said
				output := inputs[number%len(inputs)]
				if err == nil {
					err = origin.EndTurn(ctx, storeclient.TurnEnd{SessionName: program, Name: turn.Name, Seq: begun.Seq, Output: []byte(output), Outcome: sessionlog.OutcomeComplete, KeepHistory: true})
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

// held sums, over all stores, the data of an arm's events that are not archived, and what
// checkpoints of its lines would take, the openings that they refer to included.
func (fleet *storesOnLoopback) held(name string) (data int64, checkpoint int) {
	for _, node := range fleet.nodes {
		for group := range uint32(32) {
			machine := node.StateMachine(group)
			if machine == nil {
				continue
			}
			image, needed := machine.View().Snapshot(), map[string]bool{}
			image.Sessions = slices.DeleteFunc(image.Sessions, func(session sessionlog.Session) bool { return !strings.HasPrefix(session.Name, "program/"+name+"-") })
			image.Turns = slices.DeleteFunc(image.Turns, func(turn sessionlog.TurnRecord) bool { return !strings.HasPrefix(turn.Session, "program/"+name+"-") })
			for _, session := range image.Sessions {
				for _, opening := range session.Prefixes {
					needed[opening] = true
				}
				for _, event := range session.Unarchived {
					data += int64(len(event.Data))
				}
			}
			image.Prefixes = slices.DeleteFunc(image.Prefixes, func(opening sessionlog.SharedPrefixRecord) bool { return !needed[opening.Name] })
			for _, opening := range image.Prefixes {
				data += int64(len(opening.Data))
			}
			checkpoint += len(wire.MustEncode(schema.LineImage_TypeID, &image))
		}
	}
	return data, checkpoint
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
			if told, err := entry.Info(); err == nil {
				total += told.Size()
			}
			return nil
		})
	}
	return total
}
