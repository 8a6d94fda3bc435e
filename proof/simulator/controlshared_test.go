package simulator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"yardrock.example/system/feed"
	"yardrock.example/system/link"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// TestSharedConfirmationBeginsAfterItsQueries has many fronts follow a control node with a slow link
// to the leader: each query returns at least the changes that were acknowledged before it was sent,
// although queries share quorum confirmations.
func TestSharedConfirmationBeginsAfterItsQueries(t *testing.T) {
	const fronts, changes = 8, 60
	simulate(t, Shape{Controls: 3, Stores: 3, Fronts: 1, Models: 1, Applications: 1}, func(t *testing.T, cluster *Cluster) {
		leader := cluster.leader()
		var remote *Machine
		for _, machine := range cluster.Controls {
			if machine != leader {
				remote = machine
			}
		}
		cluster.Network.Slow(remote.Host, leader.Host, 60*time.Millisecond)
		caller := link.NewClient(cluster.Network.At("10.8.1.1"))
		defer caller.Close()
		var acknowledged struct {
			sync.Mutex
			number uint64
			ended  bool
		}
		var queries sync.WaitGroup
		ask := func(number int, atLeast uint64) {
			member := feed.Member{Role: feed.RoleFront, Name: fmt.Sprint("front-", number), Address: fmt.Sprintf("10.8.2.%d:7000", number)}
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			reply, err := caller.Call(ctx, remote.Host+":7000", &wire.Query{Which: schema.Query_Which_follow, Follow: &wire.FollowQuery{Member: member}})
			if err == nil && reply.Follow.Newest < atLeast {
				t.Errorf("the query returned change %d; %d was acknowledged before it was sent", reply.Follow.Newest, atLeast)
			}
		}
		queries.Go(func() {
			for number := 0; ; number++ {
				acknowledged.Lock()
				atLeast, ended := acknowledged.number, acknowledged.ended
				acknowledged.Unlock()
				if ended {
					return
				}
				queries.Go(func() { ask(number%fronts, atLeast) })
				<-time.After(5 * time.Millisecond)
			}
		})
		states := []string{feed.StateDrained, feed.StateServing}
		for change := range changes {
			ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
			err := leader.Control.SetDomainState(ctx, "root", "east", states[change%len(states)])
			cancel()
			if err == nil {
				acknowledged.Lock()
				acknowledged.number = leader.Control.View().Number
				acknowledged.Unlock()
			}
			<-time.After(30 * time.Millisecond)
		}
		acknowledged.Lock()
		acknowledged.ended = true
		if acknowledged.number == 0 {
			t.Error("no change was acknowledged")
		}
		acknowledged.Unlock()
		queries.Wait()
	})
}
