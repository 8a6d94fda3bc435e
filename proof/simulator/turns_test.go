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

// storeClient asks the stores from a host of its own, until closed.
func (cluster *Cluster) storeClient(host string) (client *storeclient.Client, end func()) {
	caller := link.NewClient(cluster.Network.At(host))
	following := feedclient.Start(caller, feed.Member{Name: host, Role: "client", Address: host + ":1"}, cluster.seeds, nil, func(*feed.View) error { return nil })
	for following.View().Groups == 0 || len(following.View().Stores) == 0 {
		<-time.After(50 * time.Millisecond)
	}
	return storeclient.New(caller, following.View), func() {
		following.Stop()
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

// complete is what a turn answered whole adds to a history.
func complete(name string) string { return "in " + name + "\nout " + name + "\n" }

func TestTurnsOfProgramsFollowEachOther(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		client, end := cluster.storeClient("10.8.0.1")
		defer end()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
		defer cancel()
		trial := &turnTrial{t: t, cluster: cluster, client: client, ctx: ctx}
		trial.take("p", "a", "", "")
		trial.take("p", "b", "a", complete("a"))
		trial.take("p", "c", "a", complete("a"))
		trial.take("p", "d", "b", complete("a")+complete("b"))
		// Also once what was said is archived, and in another line, whose group may be another.
		for round := range 2 {
			trial.takeInOtherSessions(round)
			<-time.After(25 * time.Second)
			if names, err := cluster.Stores[0].Archive.List(); err != nil || len(names) == 0 {
				t.Fatalf("nothing was archived: %v", err)
			}
		}
		trial.refused(apierror.NotFound, "p", "g", "none")
		trial.refused(apierror.NotFound, "new", "g", "none")
		trial.followOpenTurn()
		large := programTurn("p", "i", "d")
		large.MaxOutputTokens = turnQuota
		if _, err := client.BeginTurn(ctx, large); !apierror.Is(err, apierror.QuotaExhausted) {
			t.Fatalf("beyond the allowance: %v", err)
		}
		// One store less, and a turn of another line is found in time, or proven unknown.
		cluster.Network.Isolate(cluster.Stores[2].Host)
		<-time.After(3 * time.Second)
		for number := range 4 {
			trial.takeWithAStoreLess(number)
		}
		cluster.Network.Rejoin(cluster.Stores[2].Host)
		// While a group has no quorum, nothing is said to be unknown.
		cluster.Network.Isolate(cluster.Stores[0].Host)
		cluster.Network.Isolate(cluster.Stores[1].Host)
		short, give := context.WithTimeout(ctx, 3*time.Second)
		defer give()
		if _, err := client.BeginTurn(short, programTurn("p", "j", "none")); !apierror.Is(err, apierror.NotRun) {
			t.Fatalf("without a quorum: %v", err)
		}
	})
}

// turnTrial takes turns at the stores, by one client and within one deadline.
type turnTrial struct {
	t       *testing.T
	cluster *Cluster
	client  *storeclient.Client
	ctx     context.Context
}

// take begins a turn twice and ends it twice; both begins must give the history.
func (trial *turnTrial) take(program, name, follows, history string) {
	t, client, ctx := trial.t, trial.client, trial.ctx
	t.Helper()
	begun, err := client.BeginTurn(ctx, programTurn(program, name, follows))
	if err != nil || string(begun.History) != history {
		t.Fatalf("%s: %+v, %v; want the history %q", name, begun, err, history)
	}
	again, err := client.BeginTurn(ctx, programTurn(program, name, follows))
	if err != nil || again.Seq != begun.Seq || string(again.History) != history {
		t.Fatalf("%s repeated: %+v, %v; want the history %q", name, again, err, history)
	}
	for range 2 {
		if err := client.EndTurn(ctx, programTurnEnd(program, name, sessionlog.OutcomeComplete, begun.Seq, 10)); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
	}
}

// refused begins a turn that must be refused with an error of that kind.
func (trial *turnTrial) refused(kind apierror.Kind, program, name, follows string) {
	trial.t.Helper()
	if _, err := trial.client.BeginTurn(trial.ctx, programTurn(program, name, follows)); !apierror.Is(err, kind) {
		trial.t.Fatalf("%s: %v, want %s", name, err, kind)
	}
}

func (trial *turnTrial) takeInOtherSessions(round int) {
	trial.t.Helper()
	trial.take("p", fmt.Sprint("e", round), "d", complete("a")+complete("b")+complete("d"))
	for number := range 4 {
		program, name := fmt.Sprintf("q%d-%d", round, number), fmt.Sprintf("f%d-%d", round, number)
		trial.take(program, name, "c", complete("a")+complete("c"))
		trial.take(program, name+"-on", name, complete("a")+complete("c")+complete(name))
		trial.take(program, name+"-beside", "a", complete("a"))
	}
}

// followOpenTurn has turns refused that follow an open one, and once it was cut.
func (trial *turnTrial) followOpenTurn() {
	t, client, ctx := trial.t, trial.client, trial.ctx
	t.Helper()
	begun, err := client.BeginTurn(ctx, programTurn("p", "open", "d"))
	if err != nil {
		t.Fatal(err)
	}
	trial.refused(apierror.NotRun, "p", "h", "open")
	trial.refused(apierror.NotRun, "new", "h", "open")
	other := programTurn("p", "open", "d")
	other.DispatchID = "elsewhere"
	if _, err := client.BeginTurn(ctx, other); !apierror.Is(err, apierror.Conflict) {
		t.Fatalf("a second dispatch began the turn: %v", err)
	}
	if err := client.EndTurn(ctx, programTurnEnd("p", "open", sessionlog.OutcomeCut, begun.Seq, 3)); err != nil {
		t.Fatal(err)
	}
	trial.refused(apierror.NotFound, "p", "h", "open")
	trial.refused(apierror.NotFound, "new", "h", "open")
}

func (trial *turnTrial) takeWithAStoreLess(number int) {
	t, client := trial.t, trial.client
	t.Helper()
	soon, give := context.WithTimeout(trial.ctx, 2500*time.Millisecond)
	defer give()
	began := time.Now()
	program, name := fmt.Sprintf("less%d", number), fmt.Sprintf("less%d", number)
	if begun, err := client.BeginTurn(soon, programTurn(program, name, "d")); err != nil || string(begun.History) != complete("a")+complete("b")+complete("d") {
		t.Fatalf("with a store less: %+v, %v", begun, err)
	}
	if _, err := client.BeginTurn(soon, programTurn(program, name+"-not", "none")); !apierror.Is(err, apierror.NotFound) {
		t.Fatalf("with a store less: %v", err)
	}
	t.Logf("with a store less: %s", time.Since(began))
}

// completedTurn is a turn that was answered whole.
type completedTurn struct {
	name, program, history string
}

// turnHistory runs programs against the stores: each turn goes on from one that was
// answered whole, of this program or of another.
type turnHistory struct {
	mutex    sync.Mutex
	complete []completedTurn
	handed   map[string]uint64
	begun    int
	failed   []string
}

func (reported *turnHistory) fail(text string, values ...any) {
	reported.mutex.Lock()
	reported.failed = append(reported.failed, fmt.Sprintf(text, values...))
	reported.mutex.Unlock()
}

func (reported *turnHistory) run(stop context.Context, client *storeclient.Client, random *rand.Rand, number int) {
	for position := 0; stop.Err() == nil; position++ {
		name, program := fmt.Sprintf("t%d-%d", number, position), fmt.Sprintf("p%d", random.IntN(6)+6*(position/40))
		followed := completedTurn{}
		reported.mutex.Lock()
		if count := len(reported.complete); count > 0 && random.IntN(5) > 0 {
			followed = reported.complete[max(0, count-1-random.IntN(30))]
		}
		reported.mutex.Unlock()
		if random.IntN(8) > 0 && followed.program != "" {
			program = followed.program
		}
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		begun, err := client.BeginTurn(ctx, programTurn(program, name, followed.name))
		cancel()
		if err == nil {
			reported.take(client, random, program, name, followed, begun)
		} else if apierror.Is(err, apierror.NotFound) {
			reported.fail("%s was answered whole and is not known: %v", followed.name, err)
		} else if !apierror.Is(err, apierror.NotRun) && !apierror.Is(err, apierror.QuotaExhausted) {
			reported.fail("%s: %v", name, err)
		}
		<-time.After(time.Duration(random.IntN(150)) * time.Millisecond)
	}
}

func (reported *turnHistory) take(client *storeclient.Client, random *rand.Rand, program, name string, followed completedTurn, begun *storeclient.BegunTurn) {
	if string(begun.History) != followed.history {
		reported.fail("%s goes on from %q, want %q", name, begun.History, followed.history)
	}
	reported.mutex.Lock()
	reported.begun++
	tokens := uint64(random.IntN(turnLimit + 1))
	reported.handed[program] += tokens
	if reported.handed[program] > turnQuota+turnLimit {
		reported.failed = append(reported.failed, fmt.Sprintf("%s handed out %d", program, reported.handed[program]))
	}
	reported.mutex.Unlock()
	<-time.After(time.Duration(random.IntN(80)) * time.Millisecond)
	outcome := sessionlog.OutcomeComplete
	switch random.IntN(8) {
	case 0:
		outcome = sessionlog.OutcomeCut
	case 1:
		return // its front is gone
	}
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	err := client.EndTurn(ctx, programTurnEnd(program, name, outcome, begun.Seq, tokens))
	if err == nil && outcome == sessionlog.OutcomeComplete {
		reported.mutex.Lock()
		reported.complete = append(reported.complete, completedTurn{name: name, program: program, history: followed.history + complete(name)})
		reported.mutex.Unlock()
	}
	if err != nil && !apierror.Is(err, apierror.OutcomeUnknown) && !apierror.Is(err, apierror.NoQuorum) {
		reported.fail("the end of %s: %v", name, err)
	}
}

// TestEveryCompleteTurnStaysKnownUnderFaults kills, wipes, stalls and cuts off
// stores while programs run. No complete turn may be reported as unknown, all
// histories are exact, and no program puts out more than its quota and one turn.
func TestEveryCompleteTurnStaysKnownUnderFaults(t *testing.T) {
	simulate(t, Shape{Controls: 3, Stores: 4, Fronts: 1, Models: 1, Applications: 1}, func(t *testing.T, cluster *Cluster) {
		reported := &turnHistory{handed: map[string]uint64{}}
		stop, cancel := context.WithCancel(context.Background())
		var working sync.WaitGroup
		for number := range 4 {
			client, end := cluster.storeClient(fmt.Sprintf("10.8.0.%d", number+1))
			working.Go(func() {
				defer end()
				reported.run(stop, client, cluster.Random(uint64(50+number)), number)
			})
		}
		random := cluster.Random(49)
		for range 10 {
			store := cluster.Stores[random.IntN(len(cluster.Stores))]
			switch fault := random.IntN(6); fault {
			case 4: // a leader that callers reach, but not its peers
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
		working.Wait()
		t.Logf("%d turns begun, %d answered whole", reported.begun, len(reported.complete))
		if reported.begun < 200 {
			t.Errorf("only %d turns were begun", reported.begun)
		}
		for _, failure := range reported.failed {
			t.Error(failure)
		}
		// After an outage of all, programs with new names go on from any of them.
		for _, store := range cluster.Stores {
			store.LosePower()
		}
		for _, store := range cluster.Stores {
			store.Start()
		}
		client, end := cluster.storeClient("10.8.0.9")
		defer end()
		for position, one := range reported.complete {
			if position%7 != 0 {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			begun, err := client.BeginTurn(ctx, programTurn(fmt.Sprintf("after-%d", position), fmt.Sprintf("after-%d", position), one.name))
			cancel()
			if err != nil || string(begun.History) != one.history {
				t.Fatalf("after the outage %s: %+v, %v; want %q", one.name, begun, err, one.history)
			}
		}
	})
}

// TestAnotherStoreTakesOverTurnsOfALostOne kills a store, or cuts it off, and
// asks for a turn in each group all the while.
func TestAnotherStoreTakesOverTurnsOfALostOne(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		client, end := cluster.storeClient("10.8.0.1")
		defer end()
		slowest := func(round string) time.Duration {
			var mutex sync.Mutex
			var asking sync.WaitGroup
			longest := time.Duration(0)
			for number := range 24 {
				asking.Go(func() {
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
			asking.Wait()
			return longest
		}
		slowest("warm")
		for round := range 3 {
			store := cluster.Stores[round]
			store.Kill()
			if took := slowest(fmt.Sprint("killed", round)); took > time.Second {
				t.Errorf("the turns of a killed store waited %s", took)
			} else {
				t.Logf("killed: %s", took)
			}
			store.Start()
			<-time.After(5 * time.Second)
			slowest(fmt.Sprint("between", round))
			store = cluster.leaderOf(fmt.Sprintf("program/isolated%d-0", round))
			cluster.Network.Isolate(store.Host)
			if took := slowest(fmt.Sprint("isolated", round)); took > 2500*time.Millisecond {
				t.Errorf("the turns of a store that was cut off waited %s", took)
			} else {
				t.Logf("cut off: %s", took)
			}
			cluster.Network.Rejoin(store.Host)
			<-time.After(5 * time.Second)
		}
	})
}

// TestHistoryIsCompleteOrWithheld lets the archived copies of a turn rot at every store.
func TestHistoryIsCompleteOrWithheld(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		client, end := cluster.storeClient("10.8.0.1")
		defer end()
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
		rot := func(stores []*Machine) {
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
		rot(cluster.Stores[:2])
		if begun, err = begin("p", "b", "a"); err != nil || string(begun.History) != complete("a") {
			t.Fatalf("with one good copy: %+v, %v", begun, err)
		}
		rot(cluster.Stores[2:])
		for _, program := range []string{"p", "q"} {
			if begun, err := begin(program, "c"+program, "a"); !apierror.Is(err, apierror.NotRun) {
				t.Fatalf("%s without a good copy: %+v, %v", program, begun, err)
			}
		}
	})
}
