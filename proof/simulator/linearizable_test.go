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
	session        string
	read           bool
	text           string
	hasExpectedSeq bool
	expectedSeq    uint64
}

type sessionOutput struct {
	unknown  bool
	rejected bool
	seq      uint64
	texts    string
}

// sessionModel is the sequential model of one session: each append gets the next sequence number,
// and a read returns all appends before it.
var sessionModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		bySession := map[string][]porcupine.Operation{}
		for _, operation := range history {
			name := operation.Input.(sessionInput).session
			bySession[name] = append(bySession[name], operation)
		}
		partitions := [][]porcupine.Operation{}
		for _, part := range bySession {
			partitions = append(partitions, part)
		}
		return partitions
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		texts, request, result := state.(string), input.(sessionInput), output.(sessionOutput)
		head := uint64(strings.Count(texts, ","))
		if request.read {
			return result.unknown || result.texts == texts, texts
		}
		matches := !request.hasExpectedSeq || request.expectedSeq == head
		switch {
		case result.unknown && !matches:
			return true, texts
		case result.unknown:
			return true, texts + request.text + ","
		case result.rejected:
			return !matches, texts
		}
		return matches && result.seq == head+1, texts + request.text + ","
	},
	Equal: func(left, right any) bool { return left.(string) == right.(string) },
}

func TestSessionHistoriesAreLinearizableUnderFaults(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		history, unknown, rejected := runClients(cluster, cluster.Seed)
		t.Logf("%d operations, %d unknown, %d rejected", len(history), unknown, rejected)
		if len(history) < 150 || rejected == 0 {
			t.Fatalf("too few operations for the test: %d, of which %d rejected", len(history), rejected)
		}
		if !porcupine.CheckOperations(sessionModel, history) {
			t.Fatal("the history is not linearizable")
		}
	})
}

// runClients runs four clients on two sessions while stores are killed, lose power, stall or are
// partitioned. It returns the history and the numbers of unknown and rejected operations.
func runClients(cluster *Cluster, seed uint64) ([]porcupine.Operation, int, int) {
	var mutex sync.Mutex
	history, unknown, rejected := []porcupine.Operation{}, 0, 0
	began := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for number := range 4 {
		running.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(number)))
			host := fmt.Sprintf("10.8.0.%d", number+1)
			caller := link.NewClient(cluster.Network.At(host))
			defer caller.Close()
			feedClient := feedclient.Start(caller, feed.Member{Name: host, Role: "client", Address: host + ":1"}, cluster.seeds, nil, func(*feed.View) error { return nil })
			defer feedClient.Stop()
			for feedClient.View().Groups == 0 {
				<-time.After(50 * time.Millisecond)
			}
			client := storeclient.New(caller, feedClient.View)
			seen := map[string]uint64{}
			for position := 0; ctx.Err() == nil; position++ {
				input := sessionInput{session: fmt.Sprintf("depot/line-%d", random.IntN(2)), read: random.IntN(3) == 0, text: fmt.Sprintf("%d-%d", number, position), hasExpectedSeq: random.IntN(2) == 0}
				input.expectedSeq = seen[input.session]
				called := time.Since(began)
				output := runOperation(client, input, seen)
				mutex.Lock()
				operation := porcupine.Operation{ClientId: number, Input: input, Output: output, Call: int64(called), Return: int64(time.Since(began))}
				if output.unknown {
					unknown++
					operation.ClientId = 1000 + len(history) // may still take effect at any later time
					operation.Return = int64(time.Hour)
				}
				if output.rejected {
					rejected++
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
		case 4, 5: // a leader that is reachable for clients, but not for its peers
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
	running.Wait()
	return history, unknown, rejected
}

func runOperation(client *storeclient.Client, input sessionInput, seen map[string]uint64) sessionOutput {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if input.read {
		reply, err := client.Read(ctx, wire.ReadQuery{Session: input.session})
		if apierror.Is(err, apierror.NotFound) {
			return sessionOutput{}
		}
		if err != nil {
			return sessionOutput{unknown: true}
		}
		texts := ""
		for _, event := range reply.Events {
			texts += event.Text + ","
		}
		seen[input.session] = reply.Session.Head
		return sessionOutput{texts: texts}
	}
	outcomes, err := client.Command(ctx, input.session,
		sessionlog.Command{Kind: sessionlog.CreateSession, Retention: time.Hour},
		sessionlog.Command{Kind: sessionlog.AppendEvent, Producer: input.text, ProducerSeq: 1, HasExpectedSeq: input.hasExpectedSeq, ExpectedSeq: input.expectedSeq, Events: []sessionlog.Event{{Kind: sessionlog.HelperStarted, Text: input.text}}})
	if err != nil {
		return sessionOutput{unknown: true}
	}
	seen[input.session] = outcomes[1].Head
	return sessionOutput{rejected: outcomes[1].Status == sessionlog.UnexpectedSeq, seq: outcomes[1].Seq}
}

// TestPausedLeaseHolderThatResumesIsFenced isolates the holder of the runner discovery lease until
// another control node has acquired it. Writes under the old fencing token must be rejected.
func TestPausedLeaseHolderThatResumesIsFenced(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		lease := cluster.Controls[0].Control.View().RoleLeaseOf("roster")
		var holder *Machine
		for _, machine := range cluster.Controls {
			if machine.Control.Name() == lease.Holder {
				holder = machine
			}
		}
		if holder == nil {
			t.Fatalf("no control node holds the runner discovery lease: %+v", lease)
		}
		cluster.Network.Isolate(holder.Host)
		err := cluster.Await(20*time.Second, "new lease holder", func() error {
			for _, machine := range cluster.Controls {
				if current := machine.Control.View().RoleLeaseOf("roster"); machine != holder && current.FencingToken > lease.FencingToken && current.Holder != lease.Holder {
					return nil
				}
			}
			return fmt.Errorf("the lease stays with %s", lease.Holder)
		})
		if err != nil {
			t.Fatal(err)
		}
		cluster.Network.Rejoin(holder.Host)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		err = cluster.Await(10*time.Second, "rejection of the old fencing token", func() error {
			_, err := holder.Control.Change(ctx, feed.Change{Kind: feed.ChangeRunners, RoleLease: lease, Runners: []feed.Runner{}})
			if apierror.Is(err, apierror.Conflict) {
				return nil
			}
			if err == nil {
				t.Fatal("a runner list under an old fencing token was accepted")
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
		if len(cluster.Controls[0].Control.View().Runners) == 0 {
			t.Fatal("the runner list is empty")
		}
	})
}

// TestDeposedLeaderServesNoStaleReads partitions a store from its peers, but not from a reader that
// queries only this store. A read must include every append that the majority acknowledged before
// it.
func TestDeposedLeaderServesNoStaleReads(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		random := cluster.Random(31)
		reader, writer := link.NewClient(cluster.Network.At("10.8.1.1")), link.NewClient(cluster.Network.At("10.8.1.2"))
		defer reader.Close()
		defer writer.Close()
		view := cluster.Controls[0].Control.View()
		client := storeclient.New(writer, func() *feed.View { return view })
		reads, served := 0, 0
		for round := range 4 {
			deposed := cluster.Stores[random.IntN(3)]
			for _, other := range cluster.Stores {
				if other != deposed {
					cluster.Network.Cut(deposed.Host, other.Host)
				}
			}
			cluster.Network.Cut(deposed.Host, "10.8.1.2")
			var running sync.WaitGroup
			var mutex sync.Mutex
			for number := range 16 {
				running.Go(func() {
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
						reply, err := reader.Call(ctx, deposed.Host+":7000", &wire.Query{Fleet: view.Fleet, Which: schema.Query_Which_read, Read: &wire.ReadQuery{Session: name}})
						cancel()
						mutex.Lock()
						reads++
						if err == nil {
							served++
							if reply.Read.Session.Head < outcomes[1].Head {
								t.Errorf("%s: read %d events after %d were appended", name, reply.Read.Session.Head, outcomes[1].Head)
							}
						}
						mutex.Unlock()
					}
				})
			}
			running.Wait()
			for _, other := range cluster.Stores {
				cluster.Network.Heal(deposed.Host, other.Host)
			}
			cluster.Network.Heal(deposed.Host, "10.8.1.2")
			<-time.After(3 * time.Second)
		}
		t.Logf("%d reads, %d served", reads, served)
		if reads < 100 {
			t.Fatalf("only %d reads followed an append", reads)
		}
	})
}
