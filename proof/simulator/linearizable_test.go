package simulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/feedclient"
	"yardrock.example/system/link"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/storeclient"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

type sessionInput struct {
	line     string
	read     bool
	word     string
	expects  bool
	expected uint64
}

type sessionOutput struct {
	unknown bool
	refused bool
	seq     uint64
	words   string
}

// sessionModel is what one line must look like to all: appends in one order, each
// with the next seq, and reads that show all appends before them.
var sessionModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byLine := map[string][]porcupine.Operation{}
		for _, operation := range history {
			name := operation.Input.(sessionInput).line
			byLine[name] = append(byLine[name], operation)
		}
		parts := [][]porcupine.Operation{}
		for _, part := range byLine {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		words, sent, reported := state.(string), input.(sessionInput), output.(sessionOutput)
		head := uint64(strings.Count(words, ","))
		if sent.read {
			return reported.unknown || reported.words == words, words
		}
		matches := !sent.expects || sent.expected == head
		switch {
		case reported.unknown && !matches:
			return true, words
		case reported.unknown:
			return true, words + sent.word + ","
		case reported.refused:
			return !matches, words
		}
		return matches && reported.seq == head+1, words + sent.word + ","
	},
	Equal: func(left, right any) bool { return left.(string) == right.(string) },
}

func TestSessionHistoriesAreLinearizableUnderFaults(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		history, unknown, refused := clients(cluster, cluster.Seed)
		t.Logf("%d operations, %d unknown, %d refused", len(history), unknown, refused)
		if len(history) < 150 || refused == 0 {
			t.Fatalf("too little was done: %d operations, %d refused", len(history), refused)
		}
		if !porcupine.CheckOperations(sessionModel, history) {
			t.Fatal("no order of the operations explains what clients saw")
		}
	})
}

// clients runs four clients against two lines while stores are killed, lose
// power, stall and are cut off.
func clients(cluster *Cluster, seed uint64) ([]porcupine.Operation, int, int) {
	var mutex sync.Mutex
	history, unknown, refused := []porcupine.Operation{}, 0, 0
	began := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	var working sync.WaitGroup
	for number := range 4 {
		working.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(number)))
			host := fmt.Sprintf("10.8.0.%d", number+1)
			caller := link.NewClient(cluster.Network.At(host))
			defer caller.Close()
			following := feedclient.Start(caller, feed.Member{Name: host, Role: "client", Address: host + ":1"}, cluster.seeds, nil, func(*feed.View) error { return nil })
			defer following.Stop()
			for following.View().Groups == 0 {
				<-time.After(50 * time.Millisecond)
			}
			client := storeclient.New(caller, following.View)
			seen := map[string]uint64{}
			for position := 0; ctx.Err() == nil; position++ {
				input := sessionInput{line: fmt.Sprintf("depot/line-%d", random.IntN(2)), read: random.IntN(3) == 0, word: fmt.Sprintf("%d-%d", number, position), expects: random.IntN(2) == 0}
				input.expected = seen[input.line]
				called := time.Since(began)
				output := operate(client, input, seen)
				mutex.Lock()
				operation := porcupine.Operation{ClientId: number, Input: input, Output: output, Call: int64(called), Return: int64(time.Since(began))}
				if output.unknown {
					unknown++
					operation.ClientId = 1000 + len(history) // it may still happen at any later time
					operation.Return = int64(time.Hour)
				}
				if output.refused {
					refused++
				}
				history = append(history, operation)
				mutex.Unlock()
				<-time.After(time.Duration(random.IntN(120)) * time.Millisecond)
			}
		})
	}
	random := rand.New(rand.NewPCG(seed, 99))
	for range 8 {
		store := cluster.Stores[random.IntN(3)]
		switch fault := random.IntN(6); fault {
		case 4, 5: // a leader that clients reach, but not its peers
			if leader := cluster.leaderOf(fmt.Sprintf("depot/line-%d", random.IntN(2))); leader != nil {
				store = leader
			}
			cluster.cutFromPeers(store)
		default:
			cluster.injectStoreFault(store, fault)
		}
		<-time.After(1500 * time.Millisecond)
	}
	cancel()
	working.Wait()
	return history, unknown, refused
}

func operate(client *storeclient.Client, input sessionInput, seen map[string]uint64) sessionOutput {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if input.read {
		reply, err := client.Read(ctx, wire.ReadQuery{Session: input.line})
		if apierror.Is(err, apierror.NotFound) {
			return sessionOutput{}
		}
		if err != nil {
			return sessionOutput{unknown: true}
		}
		words := ""
		for _, event := range reply.Events {
			words += event.Text + ","
		}
		seen[input.line] = reply.Session.Head
		return sessionOutput{words: words}
	}
	outcomes, err := client.Command(ctx, input.line,
		sessionlog.Command{Kind: sessionlog.CreateSession, Retention: time.Hour},
		sessionlog.Command{Kind: sessionlog.AppendEvent, Producer: input.word, ProducerSeq: 1, HasExpectedSeq: input.expects, ExpectedSeq: input.expected, Events: []sessionlog.Event{{Kind: sessionlog.HelperStarted, Text: input.word}}})
	if err != nil {
		return sessionOutput{unknown: true}
	}
	seen[input.line] = outcomes[1].Head
	return sessionOutput{refused: outcomes[1].Status == sessionlog.UnexpectedSeq, seq: outcomes[1].Seq}
}

// TestPausedLeaseHolderThatResumesIsFenced isolates the holder of the lease on runner
// discovery; another acquires it under the next fencing token, and what the old one puts is
// rejected.
func TestPausedLeaseHolderThatResumesIsFenced(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		buffered := cluster.Controls[0].Control.View().RoleLeaseOf("roster")
		var owner *Machine
		for _, machine := range cluster.Controls {
			if machine.Control.Name() == buffered.Holder {
				owner = machine
			}
		}
		if owner == nil {
			t.Fatalf("nobody owns the roster assignment: %+v", buffered)
		}
		cluster.Network.Isolate(owner.Host)
		err := cluster.Await(20*time.Second, "new owner", func() error {
			for _, machine := range cluster.Controls {
				if now := machine.Control.View().RoleLeaseOf("roster"); machine != owner && now.FencingToken > buffered.FencingToken && now.Holder != buffered.Holder {
					return nil
				}
			}
			return fmt.Errorf("the assignment stays with %s", buffered.Holder)
		})
		if err != nil {
			t.Fatal(err)
		}
		cluster.Network.Rejoin(owner.Host)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		err = cluster.Await(10*time.Second, "refusal", func() error {
			_, err := owner.Control.Change(ctx, feed.Change{Kind: feed.ChangeRunners, RoleLease: buffered, Runners: []feed.Runner{}})
			if apierror.Is(err, apierror.Conflict) {
				return nil
			}
			if err == nil {
				t.Fatal("a roster under an old fence was taken")
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
		if len(cluster.Controls[0].Control.View().Runners) == 0 {
			t.Fatal("the roster is gone")
		}
	})
}

// TestADeposedLeaderServesNoOldRead parts a store from its peers, but not from a
// reader that asks it alone. What was appended on the other side must not be missing
// from any answer that the reader asked for afterwards.
func TestADeposedLeaderServesNoOldRead(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		random := cluster.Random(31)
		reader, writer := link.NewClient(cluster.Network.At("10.8.1.1")), link.NewClient(cluster.Network.At("10.8.1.2"))
		defer reader.Close()
		defer writer.Close()
		view := cluster.Controls[0].Control.View()
		client := storeclient.New(writer, func() *feed.View { return view })
		reads, served := 0, 0
		for round := range 4 {
			old := cluster.Stores[random.IntN(3)]
			for _, other := range cluster.Stores {
				if other != old {
					cluster.Network.Cut(old.Host, other.Host)
				}
			}
			cluster.Network.Cut(old.Host, "10.8.1.2")
			var working sync.WaitGroup
			var mutex sync.Mutex
			for number := range 16 {
				working.Go(func() {
					name := fmt.Sprintf("depot/deposed-%d", number)
					for until := time.Now().Add(3500 * time.Millisecond); time.Now().Before(until); {
						ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
						outcomes, err := client.Command(ctx, name, sessionlog.Command{Kind: sessionlog.CreateSession, Retention: time.Hour},
							sessionlog.Command{Kind: sessionlog.AppendEvent, Producer: fmt.Sprintf("%d-%d", round, time.Now().UnixNano()), ProducerSeq: 1, Events: []sessionlog.Event{{Kind: sessionlog.HelperStarted}}})
						cancel()
						<-time.After(15 * time.Millisecond)
						if err != nil {
							continue
						}
						ctx, cancel = context.WithTimeout(context.Background(), 50*time.Millisecond)
						reply, err := reader.Call(ctx, old.Host+":7000", &wire.Query{Fleet: view.Fleet, Which: schema.Query_Which_read, Read: &wire.ReadQuery{Session: name}})
						cancel()
						mutex.Lock()
						reads++
						if err == nil {
							served++
							if reply.Read.Session.Head < outcomes[1].Head {
								t.Errorf("%s was read with %d events after %d were appended", name, reply.Read.Session.Head, outcomes[1].Head)
							}
						}
						mutex.Unlock()
					}
				})
			}
			working.Wait()
			for _, other := range cluster.Stores {
				cluster.Network.Heal(old.Host, other.Host)
			}
			cluster.Network.Heal(old.Host, "10.8.1.2")
			<-time.After(3 * time.Second)
		}
		t.Logf("%d reads, %d served", reads, served)
		if reads < 100 {
			t.Fatalf("only %d reads came after an append", reads)
		}
	})
}
