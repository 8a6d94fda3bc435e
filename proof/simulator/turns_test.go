package simulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/feedclient"
	"yardrock.example/system/link"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/storeclient"
)

// storeClient returns a client of the stores at the given host, and a function that closes it.
func (cluster *Cluster) storeClient(host string) (client *storeclient.Client, closeClient func()) {
	caller := link.NewClient(cluster.Network.At(host))
	feedClient := feedclient.Start(caller, feed.Member{Name: host, Role: "client", Address: host + ":1"}, cluster.seeds, nil, func(*feed.View) error { return nil })
	for feedClient.View().Groups == 0 || len(feedClient.View().Stores) == 0 {
		<-time.After(50 * time.Millisecond)
	}
	return storeclient.New(caller, feedClient.View), func() {
		feedClient.Stop()
		caller.Close()
	}
}

const (
	turnLimit = 20
	turnQuota = 400
)

func programTurn(program, name, follows string) storeclient.Turn {
	return storeclient.Turn{SessionName: "program/" + program, Name: name, Follows: follows, Input: []byte("in " + name + "\n"), KeepHistory: true, Retention: 5 * time.Minute,
		HasTokenQuota: true, MaxOutputTokens: turnLimit, TokenQuota: turnQuota, DispatchID: "here/" + name, Lifetime: time.Minute}
}

func programTurnEnd(program, name, outcome string, seq, tokens uint64) storeclient.TurnEnd {
	return storeclient.TurnEnd{SessionName: "program/" + program, Name: name, Seq: seq, Output: []byte("out " + name + "\n"), Tokens: tokens, Outcome: outcome, KeepHistory: true}
}

// completeTurnText returns what a complete turn adds to a history.
func completeTurnText(name string) string { return "in " + name + "\nout " + name + "\n" }

func TestTurnsReceiveTheHistoryThatTheyFollow(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		client, closeClient := cluster.storeClient("10.8.0.1")
		defer closeClient()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
		defer cancel()
		trial := &turnTrial{t: t, cluster: cluster, client: client, ctx: ctx}
		trial.runTurn("p", "a", "", "")
		trial.runTurn("p", "b", "a", completeTurnText("a"))
		trial.runTurn("p", "c", "a", completeTurnText("a"))
		trial.runTurn("p", "d", "b", completeTurnText("a")+completeTurnText("b"))
		// The history is also read after it was archived, and in sessions of other groups.
		for round := range 2 {
			trial.followInOtherSessions(round)
			<-time.After(25 * time.Second)
			if names, err := cluster.Stores[0].Archive.List(); err != nil || len(names) == 0 {
				t.Fatalf("nothing was archived: %v", err)
			}
		}
		trial.expectError(apierror.NotFound, "p", "g", "none")
		trial.expectError(apierror.NotFound, "new", "g", "none")
		trial.followOpenTurn()
		large := programTurn("p", "i", "d")
		large.MaxOutputTokens = turnQuota
		if _, err := client.BeginTurn(ctx, large); !apierror.Is(err, apierror.QuotaExhausted) {
			t.Fatalf("beyond the quota: %v", err)
		}
		// With one store unreachable, a turn of another session is found in time, or reported as unknown.
		cluster.Network.Isolate(cluster.Stores[2].Host)
		<-time.After(3 * time.Second)
		for number := range 4 {
			trial.followWithAStoreDown(number)
		}
		cluster.Network.Rejoin(cluster.Stores[2].Host)
		// While a group has no quorum, no turn is reported as unknown.
		cluster.Network.Isolate(cluster.Stores[0].Host)
		cluster.Network.Isolate(cluster.Stores[1].Host)
		shortCtx, cancelShort := context.WithTimeout(ctx, 3*time.Second)
		defer cancelShort()
		if _, err := client.BeginTurn(shortCtx, programTurn("p", "j", "none")); !apierror.Is(err, apierror.NotRun) {
			t.Fatalf("without a quorum: %v", err)
		}
	})
}

// turnTrial runs turns at the stores with one client and a common deadline.
type turnTrial struct {
	t       *testing.T
	cluster *Cluster
	client  *storeclient.Client
	ctx     context.Context
}

// runTurn begins a turn twice and ends it twice; both begins must return the history.
func (trial *turnTrial) runTurn(program, name, follows, history string) {
	t, client, ctx := trial.t, trial.client, trial.ctx
	t.Helper()
	begun, err := client.BeginTurn(ctx, programTurn(program, name, follows))
	if err != nil || string(begun.History) != history {
		t.Fatalf("%s: %+v, %v; want the history %q", name, begun, err, history)
	}
	repeated, err := client.BeginTurn(ctx, programTurn(program, name, follows))
	if err != nil || repeated.Seq != begun.Seq || string(repeated.History) != history {
		t.Fatalf("%s repeated: %+v, %v; want the history %q", name, repeated, err, history)
	}
	for range 2 {
		if err := client.EndTurn(ctx, programTurnEnd(program, name, sessionlog.OutcomeComplete, begun.Seq, 10)); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
	}
}

// expectError begins a turn that must be rejected with an error of the given kind.
func (trial *turnTrial) expectError(kind apierror.Kind, program, name, follows string) {
	trial.t.Helper()
	if _, err := trial.client.BeginTurn(trial.ctx, programTurn(program, name, follows)); !apierror.Is(err, kind) {
		trial.t.Fatalf("%s: %v, want %s", name, err, kind)
	}
}

func (trial *turnTrial) followInOtherSessions(round int) {
	trial.t.Helper()
	trial.runTurn("p", fmt.Sprint("e", round), "d", completeTurnText("a")+completeTurnText("b")+completeTurnText("d"))
	for number := range 4 {
		program, name := fmt.Sprintf("q%d-%d", round, number), fmt.Sprintf("f%d-%d", round, number)
		trial.runTurn(program, name, "c", completeTurnText("a")+completeTurnText("c"))
		trial.runTurn(program, name+"-on", name, completeTurnText("a")+completeTurnText("c")+completeTurnText(name))
		trial.runTurn(program, name+"-beside", "a", completeTurnText("a"))
	}
}

// followOpenTurn checks that turns that follow an open turn are rejected, also after it was cut.
func (trial *turnTrial) followOpenTurn() {
	t, client, ctx := trial.t, trial.client, trial.ctx
	t.Helper()
	begun, err := client.BeginTurn(ctx, programTurn("p", "open", "d"))
	if err != nil {
		t.Fatal(err)
	}
	trial.expectError(apierror.NotRun, "p", "h", "open")
	trial.expectError(apierror.NotRun, "new", "h", "open")
	other := programTurn("p", "open", "d")
	other.DispatchID = "elsewhere"
	if _, err := client.BeginTurn(ctx, other); !apierror.Is(err, apierror.Conflict) {
		t.Fatalf("a second dispatch of the open turn: %v", err)
	}
	if err := client.EndTurn(ctx, programTurnEnd("p", "open", sessionlog.OutcomeInterrupted, begun.Seq, 3)); err != nil {
		t.Fatal(err)
	}
	trial.expectError(apierror.NotFound, "p", "h", "open")
	trial.expectError(apierror.NotFound, "new", "h", "open")
}

func (trial *turnTrial) followWithAStoreDown(number int) {
	t, client := trial.t, trial.client
	t.Helper()
	ctx, cancel := context.WithTimeout(trial.ctx, 2500*time.Millisecond)
	defer cancel()
	began := time.Now()
	program, name := fmt.Sprintf("less%d", number), fmt.Sprintf("less%d", number)
	if begun, err := client.BeginTurn(ctx, programTurn(program, name, "d")); err != nil || string(begun.History) != completeTurnText("a")+completeTurnText("b")+completeTurnText("d") {
		t.Fatalf("with a store down: %+v, %v", begun, err)
	}
	if _, err := client.BeginTurn(ctx, programTurn(program, name+"-not", "none")); !apierror.Is(err, apierror.NotFound) {
		t.Fatalf("with a store down: %v", err)
	}
	t.Logf("with a store down: %s", time.Since(began))
}

// completedTurn is a turn that was answered completely.
type completedTurn struct {
	name, program, history string
}

// turnLoad runs programs against the stores. Each turn follows a complete turn of its own or of
// another program, or starts a new history.
type turnLoad struct {
	mutex    sync.Mutex
	complete []completedTurn
	tokens   map[string]uint64
	begun    int
	failures []string
}

func (load *turnLoad) fail(format string, values ...any) {
	load.mutex.Lock()
	load.failures = append(load.failures, fmt.Sprintf(format, values...))
	load.mutex.Unlock()
}

func (load *turnLoad) run(stop context.Context, client *storeclient.Client, random *rand.Rand, number int) {
	for position := 0; stop.Err() == nil; position++ {
		name, program := fmt.Sprintf("t%d-%d", number, position), fmt.Sprintf("p%d", random.IntN(6)+6*(position/40))
		followed := completedTurn{}
		load.mutex.Lock()
		if count := len(load.complete); count > 0 && random.IntN(5) > 0 {
			followed = load.complete[max(0, count-1-random.IntN(30))]
		}
		load.mutex.Unlock()
		if random.IntN(8) > 0 && followed.program != "" {
			program = followed.program
		}
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		begun, err := client.BeginTurn(ctx, programTurn(program, name, followed.name))
		cancel()
		if err == nil {
			load.runTurn(client, random, program, name, followed, begun)
		} else if apierror.Is(err, apierror.NotFound) {
			load.fail("%s was answered completely but is unknown: %v", followed.name, err)
		} else if !apierror.Is(err, apierror.NotRun) && !apierror.Is(err, apierror.QuotaExhausted) {
			load.fail("%s: %v", name, err)
		}
		<-time.After(time.Duration(random.IntN(150)) * time.Millisecond)
	}
}

func (load *turnLoad) runTurn(client *storeclient.Client, random *rand.Rand, program, name string, followed completedTurn, begun *storeclient.BegunTurn) {
	if string(begun.History) != followed.history {
		load.fail("%s has the history %q, want %q", name, begun.History, followed.history)
	}
	load.mutex.Lock()
	load.begun++
	tokens := uint64(random.IntN(turnLimit + 1))
	load.tokens[program] += tokens
	if load.tokens[program] > turnQuota+turnLimit {
		load.failures = append(load.failures, fmt.Sprintf("%s generated %d tokens", program, load.tokens[program]))
	}
	load.mutex.Unlock()
	<-time.After(time.Duration(random.IntN(80)) * time.Millisecond)
	outcome := sessionlog.OutcomeComplete
	switch random.IntN(8) {
	case 0:
		outcome = sessionlog.OutcomeInterrupted
	case 1:
		return // its front failed
	}
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	err := client.EndTurn(ctx, programTurnEnd(program, name, outcome, begun.Seq, tokens))
	if err == nil && outcome == sessionlog.OutcomeComplete {
		load.mutex.Lock()
		load.complete = append(load.complete, completedTurn{name: name, program: program, history: followed.history + completeTurnText(name)})
		load.mutex.Unlock()
	}
	if err != nil && !apierror.Is(err, apierror.OutcomeUnknown) && !apierror.Is(err, apierror.NoQuorum) {
		load.fail("ending %s: %v", name, err)
	}
}

// TestEveryCompleteTurnStaysKnownUnderFaults guards against complete turns reported as unknown, wrong
// histories, and programs that exceed their quota by more than one turn, while stores are killed,
// wiped, stalled and partitioned.
func TestEveryCompleteTurnStaysKnownUnderFaults(t *testing.T) {
	simulate(t, Shape{Controls: 3, Stores: 4, Fronts: 1, Models: 1, Applications: 1}, func(t *testing.T, cluster *Cluster) {
		load := &turnLoad{tokens: map[string]uint64{}}
		stop, cancel := context.WithCancel(context.Background())
		var workers sync.WaitGroup
		for number := range 4 {
			client, closeClient := cluster.storeClient(fmt.Sprintf("10.8.0.%d", number+1))
			workers.Go(func() {
				defer closeClient()
				load.run(stop, client, cluster.Random(uint64(50+number)), number)
			})
		}
		random := cluster.Random(49)
		for range 10 {
			store := cluster.Stores[random.IntN(len(cluster.Stores))]
			switch fault := random.IntN(6); fault {
			case 4: // a leader that clients reach but its peers do not
				cluster.cutFromPeers(store)
			case 5:
				store.Kill()
				store.Wipe()
				store.Start()
				cluster.awaitHealed(t)
			default:
				cluster.injectStoreFault(store, fault)
			}
			<-time.After(1500 * time.Millisecond)
		}
		cancel()
		workers.Wait()
		t.Logf("%d turns begun, %d complete", load.begun, len(load.complete))
		if load.begun < 200 {
			t.Errorf("only %d turns were begun", load.begun)
		}
		for _, failure := range load.failures {
			t.Error(failure)
		}
		// After a power loss of all stores, new programs can follow any complete turn.
		for _, store := range cluster.Stores {
			store.LosePower()
		}
		for _, store := range cluster.Stores {
			store.Start()
		}
		client, closeClient := cluster.storeClient("10.8.0.9")
		defer closeClient()
		for position, turn := range load.complete {
			if position%7 != 0 {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			begun, err := client.BeginTurn(ctx, programTurn(fmt.Sprintf("after-%d", position), fmt.Sprintf("after-%d", position), turn.name))
			cancel()
			if err != nil || string(begun.History) != turn.history {
				t.Fatalf("after the outage %s: %+v, %v; want %q", turn.name, begun, err, turn.history)
			}
		}
	})
}

// TestAnotherStoreTakesOverTurnsOfAFailedStore guards against turns that wait too long after a store
// is killed or partitioned, with concurrent turns over all groups.
func TestAnotherStoreTakesOverTurnsOfAFailedStore(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		client, closeClient := cluster.storeClient("10.8.0.1")
		defer closeClient()
		slowest := func(round string) time.Duration {
			var mutex sync.Mutex
			var senders sync.WaitGroup
			longest := time.Duration(0)
			for number := range 24 {
				senders.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
					defer cancel()
					began, name := time.Now(), fmt.Sprintf("%s-%d", round, number)
					_, err := client.BeginTurn(ctx, programTurn(name, name, ""))
					mutex.Lock()
					defer mutex.Unlock()
					longest = max(longest, time.Since(began))
					if err != nil {
						t.Errorf("%s: %v", name, err)
					}
				})
			}
			senders.Wait()
			return longest
		}
		slowest("warm")
		for round := range 3 {
			store := cluster.Stores[round]
			store.Kill()
			if took := slowest(fmt.Sprint("killed", round)); took > time.Second {
				t.Errorf("turns of a killed store took %s", took)
			} else {
				t.Logf("killed: %s", took)
			}
			store.Start()
			<-time.After(5 * time.Second)
			slowest(fmt.Sprint("between", round))
			store = cluster.leaderOf(fmt.Sprintf("program/isolated%d-0", round))
			cluster.Network.Isolate(store.Host)
			if took := slowest(fmt.Sprint("isolated", round)); took > 2500*time.Millisecond {
				t.Errorf("turns of a partitioned store took %s", took)
			} else {
				t.Logf("partitioned: %s", took)
			}
			cluster.Network.Rejoin(store.Host)
			<-time.After(5 * time.Second)
		}
	})
}

// TestHistoryIsCompleteOrWithheld guards against incomplete histories when archived copies of a turn
// are corrupted: one good copy suffices, and without one the next turn is rejected.
func TestHistoryIsCompleteOrWithheld(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		client, closeClient := cluster.storeClient("10.8.0.1")
		defer closeClient()
		begin := func(program, name, follows string) (*storeclient.BegunTurn, error) {
			ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
			defer cancel()
			return client.BeginTurn(ctx, programTurn(program, name, follows))
		}
		begun, err := begin("p", "a", "")
		if err != nil {
			t.Fatal(err)
		}
		if err := client.EndTurn(t.Context(), programTurnEnd("p", "a", sessionlog.OutcomeComplete, begun.Seq, 1)); err != nil {
			t.Fatal(err)
		}
		<-time.After(25 * time.Second)
		corrupt := func(stores []*Machine) {
			for _, store := range stores {
				names, err := store.Archive.List()
				if err != nil || len(names) == 0 {
					t.Fatalf("nothing was archived: %v", err)
				}
				for _, name := range names {
					store.Archive.FlipBit(name, -30)
				}
			}
		}
		corrupt(cluster.Stores[:2])
		if begun, err = begin("p", "b", "a"); err != nil || string(begun.History) != completeTurnText("a") {
			t.Fatalf("with one good copy: %+v, %v", begun, err)
		}
		corrupt(cluster.Stores[2:])
		for _, program := range []string{"p", "q"} {
			if begun, err := begin(program, "c"+program, "a"); !apierror.Is(err, apierror.NotRun) {
				t.Fatalf("%s without a good copy: %+v, %v", program, begun, err)
			}
		}
	})
}
