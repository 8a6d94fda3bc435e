package simulator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/storeclient"
	"yardrock.example/system/wire"
)

// sharingConfig is RoutedConfig with prefix sharing enabled.
const sharingConfig = RoutedConfig + "openings: share: true\n"

// sharedPrefixUsage returns how many sessions of a group refer to shared prefixes, how many bytes
// that saves and the state of the last listed prefix.
func (cluster *Cluster) sharedPrefixUsage(t *testing.T, group uint32) (sessions, savedBytes uint64, state string) {
	t.Helper()
	_, rows := cluster.show(t, "show openings where group = "+strconv.Itoa(int(group)))
	for _, row := range rows {
		sessions += parseCount(row[5])
		savedBytes += parseCount(row[6])
		state = row[7]
	}
	return sessions, savedBytes, state
}

func parseCount(text string) uint64 {
	number, _ := strconv.ParseUint(text, 10, 64)
	return number
}

// storeFaults are faults of a store; the returned function ends the fault.
var storeFaults = map[string]func(t *testing.T, cluster *Cluster, machine *Machine) (end func()){
	"killed": func(t *testing.T, _ *Cluster, machine *Machine) func() {
		machine.Kill()
		return func() { mustStart(t, machine) }
	},
	"power lost": func(t *testing.T, _ *Cluster, machine *Machine) func() {
		machine.LosePower()
		return func() { mustStart(t, machine) }
	},
	"wiped": func(t *testing.T, cluster *Cluster, machine *Machine) func() {
		machine.Kill()
		machine.Wipe()
		return func() {
			mustStart(t, machine)
			cluster.awaitHealed(t)
		}
	},
	"frozen": func(_ *testing.T, cluster *Cluster, machine *Machine) func() {
		cluster.Network.Freeze(machine.Host)
		return func() { cluster.Network.Thaw(machine.Host) }
	},
	"cut off": func(_ *testing.T, cluster *Cluster, machine *Machine) func() {
		cluster.Network.Isolate(machine.Host)
		return func() { cluster.Network.Rejoin(machine.Host) }
	},
}

// duringLeaderFault injects a fault into the store that leads an agent's session while work runs.
func (cluster *Cluster) duringLeaderFault(t *testing.T, fault func(*testing.T, *Cluster, *Machine) func(), member *agent, work func()) {
	t.Helper()
	leader := cluster.leaderOf("program/" + member.program)
	if leader == nil {
		t.Fatal("the group has no leader")
	}
	end := fault(t, cluster, leader)
	work()
	end()
}

// awaitMergedPrefix waits until at least minimum sessions of a group refer to a shared prefix. Until
// then it starts new agents, which it returns: a merge that failed with its store is proposed again
// only when conversations begin.
func (cluster *Cluster) awaitMergedPrefix(t *testing.T, group uint32, minimum uint64, prefix string) []*agent {
	t.Helper()
	names, agents := programsInGroup(group, "late", 60), []*agent{}
	if err := cluster.Await(45*time.Second, "merged shared prefix", func() error {
		if sessions, _, _ := cluster.sharedPrefixUsage(t, group); sessions >= minimum {
			return nil
		}
		one := &agent{cluster: cluster, program: names[len(agents)], prefix: prefix}
		agents = append(agents, one)
		one.turn(t, 0)
		cluster.Sleep(time.Second)
		return fmt.Errorf("fewer than %d sessions refer to it", minimum)
	}); err != nil {
		t.Fatal(err)
	}
	return agents
}

func mustStart(t *testing.T, machine *Machine) {
	t.Helper()
	if err := machine.Start(); err != nil {
		t.Fatal(err)
	}
}

// TestAgentsContinueWhileAStoreWithASharedPrefixFails makes the store that leads a merged
// prefix's group fail during conversations: while the prefix is merged, while it is in use, and
// after the sessions that refer to it were archived.
func TestAgentsContinueWhileAStoreWithASharedPrefixFails(t *testing.T) {
	for name, fault := range storeFaults {
		t.Run(name, func(t *testing.T) {
			simulateRouted(t, func(t *testing.T, cluster *Cluster) {
				if err := cluster.PutConfig(sharingConfig); err != nil {
					t.Fatal(err)
				}
				const group = 3
				prefix, agents := pseudoRandomText(7, 2560), []*agent{}
				addAgents := func(prefix string, count int) {
					for _, program := range programsInGroup(group, prefix, count) {
						agents = append(agents, &agent{cluster: cluster, program: program, prefix: prefix})
					}
				}
				takeTurns := func() {
					for position, one := range agents {
						one.turn(t, position)
					}
				}
				during := func(work func()) { cluster.duringLeaderFault(t, fault, agents[0], work) }
				awaitSharing := func(minimum uint64) {
					t.Helper()
					agents = append(agents, cluster.awaitMergedPrefix(t, group, minimum, prefix)...)
				}
				addAgents("first", 3)
				agents[0].turn(t, 0)
				agents[1].turn(t, 1)
				merging := make(chan struct{})
				go func() { // the third session with the prefix triggers the merge
					defer close(merging)
					agents[2].turn(t, 0)
				}()
				cluster.Sleep(time.Duration(cluster.Random(9).IntN(12)) * time.Millisecond)
				during(func() { <-merging })
				addAgents("second", 5)
				takeTurns()
				awaitSharing(3)
				during(takeTurns)               // while the prefix is in use
				cluster.Sleep(25 * time.Second) // idle sessions are archived
				during(takeTurns)               // after archiving
				sessions, savedBytes, _ := cluster.sharedPrefixUsage(t, group)
				if sessions < 3 || savedBytes < (sessions-1)*2000*3 {
					t.Fatalf("%d sessions refer to the shared prefix, %d bytes are saved", sessions, savedBytes)
				}
				for _, one := range agents {
					one.check(t)
				}
			})
		})
	}
}

// TestAgentsStartWhileASharedPrefixIsFreed lets the sessions of a merged prefix expire. Around the
// time at which the prefix is freed its store fails, while new agents start with the same prefix.
func TestAgentsStartWhileASharedPrefixIsFreed(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		if err := cluster.PutConfig(sharingConfig); err != nil {
			t.Fatal(err)
		}
		const group = 3
		random, agents := cluster.Random(11), []*agent{}
		addAgents := func(prefix string, count int) {
			for _, program := range programsInGroup(group, prefix, count) {
				one := &agent{cluster: cluster, program: program, prefix: pseudoRandomText(7, 2560)}
				one.turn(t, random.IntN(2))
				agents = append(agents, one)
			}
		}
		addAgents("first", 5)
		agents = append(agents, cluster.awaitMergedPrefix(t, group, 3, pseudoRandomText(7, 2560))...)
		cluster.Sleep(2 * time.Minute) // longer than a shared prefix without sessions is retained
		for _, one := range agents {
			one.turn(t, random.IntN(2))
		}
		cluster.Sleep(11*time.Minute + time.Duration(random.IntN(40))*time.Second)
		names := slices.Sorted(maps.Keys(storeFaults))
		fault := names[random.IntN(len(names))]
		t.Log(fault)
		cluster.duringLeaderFault(t, storeFaults[fault], agents[0], func() {
			for step := range 4 {
				cluster.Sleep(time.Duration(random.IntN(20)) * time.Second)
				addAgents(fmt.Sprintf("step%d", step), 2)
			}
		})
		addAgents("last", 3)
		for _, one := range agents {
			if one.follows != "" && !strings.HasPrefix(one.program, "first") && !strings.HasPrefix(one.program, "late") {
				one.turn(t, random.IntN(2))
			}
			one.check(t)
		}
	})
}

// TestPrefixSharingIsSwitchedWhileTurnsRun switches prefix sharing on and off. Merged prefixes stay
// readable, and new turns are stored in full while sharing is off.
func TestPrefixSharingIsSwitchedWhileTurnsRun(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		const group = 5
		agents := []*agent{}
		addAgents := func(prefix string) {
			for _, program := range programsInGroup(group, prefix, 4) {
				agents = append(agents, &agent{cluster: cluster, program: program, prefix: pseudoRandomText(8, 2560)})
			}
		}
		for position, step := range []struct {
			source      string
			enabled     bool
			maxSessions uint64
		}{{RoutedConfig, false, 0}, {sharingConfig, true, 8}, {RoutedConfig, false, 8}, {sharingConfig, true, 16}} {
			if err := cluster.PutConfig(step.source); err != nil {
				t.Fatal(err)
			}
			cluster.Sleep(3 * time.Second) // longer than a front may use an outdated config
			before, _, _ := cluster.sharedPrefixUsage(t, group)
			addAgents(fmt.Sprintf("step%d", position))
			for range 2 {
				for front, one := range agents {
					one.turn(t, front)
				}
			}
			after, _, state := cluster.sharedPrefixUsage(t, group)
			if grew := after > before; grew != step.enabled || after > step.maxSessions {
				t.Fatalf("step %d: %d sessions referred to shared prefixes, now %d", position, before, after)
			}
			if _, rows := cluster.show(t, "show openings where group = all"); len(rows) != 1 || (rows[0][7] == "on") != step.enabled || state == "damaged" {
				t.Fatalf("step %d: %v", position, rows)
			}
		}
		for _, one := range agents {
			one.check(t)
		}
	})
}

// TestScopesNeverSharePrefixes begins turns with the same prefix under several scopes. Sessions may
// only share it within one scope.
func TestScopesNeverSharePrefixes(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		client, end := cluster.storeClient("10.8.0.1")
		defer end()
		const group = 2
		prefix := pseudoRandomText(9, 2560)
		for position, name := range programsInGroup(group, "p", 8) {
			scope := []string{"identity", "permits", "identity", "permits", "identity", "identity", "", "alone"}[position]
			turn := programTurn(name, name, "")
			turn.PrefixScope, turn.Input = scope, []byte(prefix+name)
			if _, err := client.BeginTurn(context.Background(), turn); err != nil {
				t.Fatal(err)
			}
			cluster.Sleep(200 * time.Millisecond)
		}
		scopes := []string{}
		_, rows := cluster.show(t, "show openings where group = 2")
		for _, row := range rows {
			scopes = append(scopes, row[2]+" "+row[5])
		}
		if len(scopes) != 1 || scopes[0] != "identity 4" {
			t.Fatalf("%v", scopes)
		}
	})
}

// damagePrefixes changes one byte of each shared prefix in a store's replica of a group.
func damagePrefixes(t *testing.T, machine *Machine, group uint32) {
	t.Helper()
	stateMachine := machine.Store.StateMachine(group)
	snapshot := stateMachine.View().Snapshot()
	for position := range snapshot.Prefixes {
		snapshot.Prefixes[position].Data[100] ^= 1
	}
	if err := stateMachine.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
}

// beginPrefixed begins the first turn of a program with an input that starts with the prefix.
func beginPrefixed(ctx context.Context, t *testing.T, client *storeclient.Client, name, prefix string) *storeclient.BegunTurn {
	t.Helper()
	turn := programTurn(name, name, "")
	turn.PrefixScope, turn.Input = "identity", []byte(prefix+"in "+name+"\n")
	begun, err := client.BeginTurn(ctx, turn)
	if err != nil {
		t.Fatal(err)
	}
	return begun
}

// TestDamagedSharedPrefixIsRepairedFromAPeer restores the leader from a snapshot in which the
// content of a shared prefix does not match its digest.
func TestDamagedSharedPrefixIsRepairedFromAPeer(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		client, end := cluster.storeClient("10.8.0.1")
		defer end()
		const group = 2
		prefix, names := pseudoRandomText(9, 2560), programsInGroup(group, "p", 5)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		for _, name := range names {
			begun := beginPrefixed(ctx, t, client, name, prefix)
			if err := client.EndTurn(ctx, programTurnEnd(name, name, sessionlog.OutcomeComplete, begun.Seq, 1)); err != nil {
				t.Fatal(err)
			}
			cluster.Sleep(200 * time.Millisecond)
		}
		leader := cluster.leaderOf("program/" + names[0])
		damagePrefixes(t, leader, group)
		if _, _, state := cluster.sharedPrefixUsage(t, group); state != "damaged" {
			t.Fatalf("the shared prefix is %s", state)
		}
		complete := func(name string) string { return prefix + "in " + name + "\nout " + name + "\n" }
		turn := func(name, follows string) (*storeclient.BegunTurn, error) {
			ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
			defer cancel()
			return client.BeginTurn(ctx, programTurn(follows, name, follows))
		}
		begun, err := turn("next", names[4])
		if err != nil || string(begun.History) != complete(names[4]) {
			t.Fatalf("%.200q, %v", fmt.Sprint(begun), err)
		}
		if _, _, state := cluster.sharedPrefixUsage(t, group); state != "held" {
			t.Fatalf("the shared prefix is %s", state)
		}
		cluster.Sleep(time.Second) // until the followers have applied the repair
		// No replica has an intact copy: the turn must be rejected rather than run on a shorter history.
		for _, machine := range cluster.Stores {
			damagePrefixes(t, machine, group)
		}
		begun, err = turn("last", names[3])
		if !apierror.Is(err, apierror.NotRun) || apierror.Of(err).RetryAfter <= 0 {
			t.Fatalf("%.200q, %v", fmt.Sprint(begun), err)
		}
		readCtx, cancelRead := context.WithTimeout(ctx, 4*time.Second)
		defer cancelRead()
		if _, err := client.Read(readCtx, wire.ReadQuery{Session: "program/" + names[3]}); !apierror.Is(err, apierror.Gap) && !apierror.Is(err, apierror.NoQuorum) {
			t.Fatalf("%v", err)
		}
		// Another turn with the same prefix repairs it.
		for _, name := range programsInGroup(group, "q", 3) {
			beginPrefixed(ctx, t, client, name, prefix)
			cluster.Sleep(5 * time.Second)
		}
		begun, err = turn("later", names[2])
		if err != nil || string(begun.History) != complete(names[2]) {
			t.Fatalf("%.200q, %v", fmt.Sprint(begun), err)
		}
	})
}

// TestSharedPrefixesDoNotSlowTurns alternates turns with and without shared prefixes on one fleet, so that
// both see the same network delays, and compares their latencies.
func TestSharedPrefixesDoNotSlowTurns(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		client, end := cluster.storeClient("10.8.0.1")
		defer end()
		prefix, latencies := pseudoRandomText(9, 2560), map[string][]time.Duration{}
		runTurn := func(turn storeclient.Turn, mode, want string) {
			began := time.Now()
			begun, err := client.BeginTurn(context.Background(), turn)
			if err != nil || string(begun.History) != want {
				t.Fatalf("%s: %v", turn.Name, err)
			}
			latencies[mode] = append(latencies[mode], time.Since(began))
			ended := storeclient.TurnEnd{SessionName: turn.SessionName, Name: turn.Name, Seq: begun.Seq, Output: []byte("out"), Outcome: sessionlog.OutcomeComplete, KeepHistory: true}
			if err := client.EndTurn(context.Background(), ended); err != nil {
				t.Fatal(err)
			}
		}
		for number := range 150 {
			for mode, scope := range map[string]string{"off": "", "on": "identity"} {
				name := fmt.Sprintf("%s-%d", mode, number)
				first := programTurn(name, name, "")
				first.PrefixScope, first.Input, first.HasTokenQuota = scope, []byte(prefix+name), false
				runTurn(first, mode, "")
				second := programTurn(name, name+"-second", name)
				second.PrefixScope, second.HasTokenQuota = scope, false
				runTurn(second, mode, prefix+name+"out")
			}
		}
		for _, percent := range []int{50, 99} {
			percentile := func(mode string) time.Duration {
				slices.Sort(latencies[mode])
				return latencies[mode][len(latencies[mode])*percent/100]
			}
			off, on := percentile("off"), percentile("on")
			t.Logf("percentile %d of the latency: %s without, %s with shared prefixes", percent, off, on)
			if on > off+off/4 {
				t.Errorf("percentile %d of the latency: %s without, %s with shared prefixes", percent, off, on)
			}
		}
	})
}
