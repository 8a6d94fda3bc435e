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

// sharingConfig is RoutedConfig with prefix sharing.
const sharingConfig = RoutedConfig + "openings: share: true\n"

// sharing sums up what a group's leader holds once.
func (cluster *Cluster) sharing(t *testing.T, group uint32) (lines, saved uint64, state string) {
	t.Helper()
	_, rows := cluster.show(t, "show openings where group = "+strconv.Itoa(int(group)))
	for _, row := range rows {
		lines += mustNumber(row[5])
		saved += mustNumber(row[6])
		state = row[7]
	}
	return lines, saved, state
}

func mustNumber(text string) uint64 {
	number, _ := strconv.ParseUint(text, 10, 64)
	return number
}

// storeFaults hit the store that leads a group, and end.
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

// during lets a fault hit the store that leads an agent's line while work is done.
func (cluster *Cluster) during(t *testing.T, fault func(*testing.T, *Cluster, *Machine) func(), one *agent, work func()) {
	t.Helper()
	leader := cluster.leaderOf("program/" + one.program)
	if leader == nil {
		t.Fatal("nobody leads the group")
	}
	end := fault(t, cluster, leader)
	work()
	end()
}

// awaitMerged waits until so many lines of a group refer to a shared prefix, and gives the agents
// that began meanwhile: a merge that fails with its store is proposed again as
// conversations begin.
func (cluster *Cluster) awaitMerged(t *testing.T, group uint32, least uint64, prefix string) []*agent {
	t.Helper()
	late, begun := programsOf(group, "late", 60), []*agent{}
	if err := cluster.Await(45*time.Second, "a merged opening", func() error {
		if lines, _, _ := cluster.sharing(t, group); lines >= least {
			return nil
		}
		one := &agent{cluster: cluster, program: late[len(begun)], prefix: prefix}
		begun = append(begun, one)
		one.turn(t, 0)
		cluster.Sleep(time.Second)
		return fmt.Errorf("less than %d lines refer to it", least)
	}); err != nil {
		t.Fatal(err)
	}
	return begun
}

func mustStart(t *testing.T, machine *Machine) {
	t.Helper()
	if err := machine.Start(); err != nil {
		t.Fatal(err)
	}
}

// TestAgentsContinueWhileAStoreWithASharedPrefixFails lets the store that leads a
// merged shared prefix fail mid-conversation at each step: as it is merged, once it is held, once
// what refers to it is archived, and as it is freed.
func TestAgentsContinueWhileAStoreWithASharedPrefixFails(t *testing.T) {
	for name, fault := range storeFaults {
		t.Run(name, func(t *testing.T) {
			simulateRouted(t, func(t *testing.T, cluster *Cluster) {
				if err := cluster.PutConfig(sharingConfig); err != nil {
					t.Fatal(err)
				}
				const group = 3
				prefix, agents := prose(7, 2560), []*agent{}
				join := func(prefix string, count int) {
					for _, program := range programsOf(group, prefix, count) {
						agents = append(agents, &agent{cluster: cluster, program: program, prefix: prefix})
					}
				}
				round := func() {
					for position, one := range agents {
						one.turn(t, position)
					}
				}
				during := func(work func()) { cluster.during(t, fault, agents[0], work) }
				wantBuffered := func(least uint64) {
					t.Helper()
					agents = append(agents, cluster.awaitMerged(t, group, least, prefix)...)
				}
				join("first", 3)
				agents[0].turn(t, 0)
				agents[1].turn(t, 1)
				merging := make(chan struct{})
				go func() { // as it is merged: the third shared prefix is what makes it worth it
					defer close(merging)
					agents[2].turn(t, 0)
				}()
				cluster.Sleep(time.Duration(cluster.Random(9).IntN(12)) * time.Millisecond)
				during(func() { <-merging })
				join("second", 5)
				round()
				wantBuffered(3)
				during(round)                   // while it is held
				cluster.Sleep(25 * time.Second) // quiet lines are archived
				during(round)                   // and archived
				lines, saved, _ := cluster.sharing(t, group)
				if lines < 3 || saved < (lines-1)*2000*3 {
					t.Fatalf("%d lines refer to it, %d bytes are saved", lines, saved)
				}
				for _, one := range agents {
					one.check(t)
				}
			})
		})
	}
}

// TestAgentsStartWhileASharedPrefixIsFreed lets a merged shared prefix's lines be forgotten, and
// its store fail around the time at which it is freed, while others begin with it.
func TestAgentsStartWhileASharedPrefixIsFreed(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		if err := cluster.PutConfig(sharingConfig); err != nil {
			t.Fatal(err)
		}
		const group = 3
		random, all := cluster.Random(11), []*agent{}
		join := func(prefix string, count int) {
			for _, program := range programsOf(group, prefix, count) {
				one := &agent{cluster: cluster, program: program, prefix: prose(7, 2560)}
				one.turn(t, random.IntN(2))
				all = append(all, one)
			}
		}
		join("first", 5)
		all = append(all, cluster.awaitMerged(t, group, 3, prose(7, 2560))...)
		cluster.Sleep(2 * time.Minute) // longer than a shared prefix is held without any line
		for _, one := range all {
			one.turn(t, random.IntN(2))
		}
		cluster.Sleep(11*time.Minute + time.Duration(random.IntN(40))*time.Second)
		names := slices.Sorted(maps.Keys(storeFaults))
		fault := names[random.IntN(len(names))]
		t.Log(fault)
		cluster.during(t, storeFaults[fault], all[0], func() {
			for step := range 4 {
				cluster.Sleep(time.Duration(random.IntN(20)) * time.Second)
				join(fmt.Sprintf("step%d", step), 2)
			}
		})
		join("last", 3)
		for _, one := range all {
			if one.follows != "" && !strings.HasPrefix(one.program, "first") && !strings.HasPrefix(one.program, "late") {
				one.turn(t, random.IntN(2))
			}
			one.check(t)
		}
	})
}

// TestPrefixSharingIsSwitchedWhileTurnsRun switches prefix sharing off and on; what was
// merged stays readable, and new turns are stored in full while it is off.
func TestPrefixSharingIsSwitchedWhileTurnsRun(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		const group = 5
		agents := []*agent{}
		join := func(prefix string) {
			for _, program := range programsOf(group, prefix, 4) {
				agents = append(agents, &agent{cluster: cluster, program: program, prefix: prose(8, 2560)})
			}
		}
		for position, step := range []struct {
			rules   string
			share   bool
			maximum uint64
		}{{RoutedConfig, false, 0}, {sharingConfig, true, 8}, {RoutedConfig, false, 8}, {sharingConfig, true, 16}} {
			if err := cluster.PutConfig(step.rules); err != nil {
				t.Fatal(err)
			}
			cluster.Sleep(3 * time.Second) // no front obeys an old config for longer
			before, _, _ := cluster.sharing(t, group)
			join(fmt.Sprintf("step%d", position))
			for range 2 {
				for front, one := range agents {
					one.turn(t, front)
				}
			}
			after, _, state := cluster.sharing(t, group)
			if grew := after > before; grew != step.share || after > step.maximum {
				t.Fatalf("step %d: %d lines referred to openings, now %d", position, before, after)
			}
			if _, rows := cluster.show(t, "show openings where group = all"); len(rows) != 1 || (rows[0][7] == "on") != step.share || state == "damaged" {
				t.Fatalf("step %d: %v", position, rows)
			}
		}
		for _, one := range agents {
			one.check(t)
		}
	})
}

// TestScopesNeverSharePrefixes lets two scopes bring the same shared prefix.
func TestScopesNeverSharePrefixes(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		client, end := cluster.storeClient("10.8.0.1")
		defer end()
		const group = 2
		prefix := prose(9, 2560)
		for position, name := range programsOf(group, "p", 8) {
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

// damagePrefixes changes a byte in each shared prefix that a machine's replica stores.
func damagePrefixes(t *testing.T, machine *Machine, group uint32) {
	t.Helper()
	buffered := machine.Store.StateMachine(group)
	snapshot := buffered.View().Snapshot()
	for position := range snapshot.Prefixes {
		snapshot.Prefixes[position].Data[100] ^= 1
	}
	if err := buffered.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
}

// beginPrefixed begins the first turn of a program, whose input begins with the prefix.
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

// TestDamagedSharedPrefixIsRepairedFromAPeer gives the leader a snapshot in which a shared
// prefix has not the content that its name stands for.
func TestDamagedSharedPrefixIsRepairedFromAPeer(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		client, end := cluster.storeClient("10.8.0.1")
		defer end()
		const group = 2
		prefix, names := prose(9, 2560), programsOf(group, "p", 5)
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
		if _, _, state := cluster.sharing(t, group); state != "damaged" {
			t.Fatalf("the opening is %s", state)
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
		if _, _, state := cluster.sharing(t, group); state != "held" {
			t.Fatalf("the opening is %s", state)
		}
		cluster.Sleep(time.Second) // followers have applied the repair too
		// No replica has a sound copy: rejected as not run, and no shorter history is used.
		for _, machine := range cluster.Stores {
			damagePrefixes(t, machine, group)
		}
		begun, err = turn("last", names[3])
		if !apierror.Is(err, apierror.NotRun) || apierror.Of(err).RetryAfter <= 0 {
			t.Fatalf("%.200q, %v", fmt.Sprint(begun), err)
		}
		short, over := context.WithTimeout(ctx, 4*time.Second)
		defer over()
		if _, err := client.Read(short, wire.ReadQuery{Session: "program/" + names[3]}); !apierror.Is(err, apierror.Gap) && !apierror.Is(err, apierror.NoQuorum) {
			t.Fatalf("%v", err)
		}
		// The same prefix, sent again, repairs it.
		for _, name := range programsOf(group, "q", 3) {
			beginPrefixed(ctx, t, client, name, prefix)
			cluster.Sleep(5 * time.Second)
		}
		begun, err = turn("later", names[2])
		if err != nil || string(begun.History) != complete(names[2]) {
			t.Fatalf("%.200q, %v", fmt.Sprint(begun), err)
		}
	})
}

// TestTurnWaitsForNoMoreWithSharedPrefixes alternates turns with and without shared
// prefixes, on one fleet; the network's delays are the same for both.
func TestTurnWaitsForNoMoreWithSharedPrefixes(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		client, end := cluster.storeClient("10.8.0.1")
		defer end()
		prefix, waited := prose(9, 2560), map[string][]time.Duration{}
		take := func(turn storeclient.Turn, arm, want string) {
			began := time.Now()
			begun, err := client.BeginTurn(context.Background(), turn)
			if err != nil || string(begun.History) != want {
				t.Fatalf("%s: %v", turn.Name, err)
			}
			waited[arm] = append(waited[arm], time.Since(began))
			ended := storeclient.TurnEnd{SessionName: turn.SessionName, Name: turn.Name, Seq: begun.Seq, Output: []byte("out"), Outcome: sessionlog.OutcomeComplete, KeepHistory: true}
			if err := client.EndTurn(context.Background(), ended); err != nil {
				t.Fatal(err)
			}
		}
		for number := range 150 {
			for arm, scope := range map[string]string{"off": "", "on": "identity"} {
				name := fmt.Sprintf("%s-%d", arm, number)
				first := programTurn(name, name, "")
				first.PrefixScope, first.Input, first.HasTokenQuota = scope, []byte(prefix+name), false
				take(first, arm, "")
				second := programTurn(name, name+"-second", name)
				second.PrefixScope, second.HasTokenQuota = scope, false
				take(second, arm, prefix+name+"out")
			}
		}
		for _, part := range []int{50, 99} {
			at := func(arm string) time.Duration {
				slices.Sort(waited[arm])
				return waited[arm][len(waited[arm])*part/100]
			}
			off, on := at("off"), at("on")
			t.Logf("of 100 begins, %d took up to %s without and %s with shared openings", part, off, on)
			if on > off+off/4 {
				t.Errorf("of 100 begins, %d took up to %s without and %s with shared openings", part, off, on)
			}
		}
	})
}
