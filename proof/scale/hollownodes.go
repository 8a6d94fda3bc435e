package scale

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"yardrock.example/system/feed"
	"yardrock.example/system/feedclient"
	"yardrock.example/system/link"
)

// domains are the failure domains that hollow nodes are spread over.
var domains = []string{"east", "west", "north"}

// HollowNode keeps a session with the control plane and follows the feed as a front does, but serves
// no requests. It records when it applied each view.
type HollowNode struct {
	Name    string
	caller  *link.Client
	client  *feedclient.Client
	mutex   sync.Mutex
	applied []appliedView
}

type appliedView struct {
	number uint64
	at     time.Time
}

// ByteCounters counts the bytes that hollow nodes wrote to and read from their connections,
// including the framing of package link.
type ByteCounters struct{ Written, Read atomic.Int64 }

// HollowNodes are the hollow nodes of one process. The caller must stop them with Stop.
type HollowNodes struct {
	Bytes ByteCounters
	mutex sync.Mutex
	nodes []*HollowNode
}

// Grow starts hollow nodes until there are size of them. The starts are spread evenly over rampUp, so
// that the requests of the nodes do not coincide. network returns the network of the node at a
// position; all nodes advertise the same address.
//
//	hollow.Grow(ctx, 50, time.Second, "127.0.0.9:7000", seeds, func(int) link.Network { return link.TCP{} })
func (hollow *HollowNodes) Grow(ctx context.Context, size int, rampUp time.Duration, address string, seeds []string, network func(position int) link.Network) error {
	existing := len(hollow.Nodes())
	for position := existing; position < size; position++ {
		select {
		case <-time.After(rampUp / time.Duration(size-existing)):
		case <-ctx.Done():
			return ctx.Err()
		}
		node := &HollowNode{Name: fmt.Sprintf("hollow-%04d", position+1), caller: link.NewClient(countingNetwork{network(position), &hollow.Bytes})}
		member := feed.Member{Name: node.Name, Role: feed.RoleFront, Address: address, Domain: domains[position%len(domains)]}
		node.client = feedclient.Start(node.caller, member, seeds, nil, node.apply)
		hollow.mutex.Lock()
		hollow.nodes = append(hollow.nodes, node)
		hollow.mutex.Unlock()
	}
	return nil
}

// apply records the time at which a view came into force.
func (node *HollowNode) apply(view *feed.View) error {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.applied = append(node.applied, appliedView{view.Number, time.Now()})
	return nil
}

// View returns the newest view, fresh or not.
//
//	runners := len(node.View().Runners)
func (node *HollowNode) View() *feed.View { return node.client.View() }

// UpToDate reports whether the view is fresh enough for the node to act on.
//
//	if !node.UpToDate() { stale++ }
func (node *HollowNode) UpToDate() bool {
	_, err := node.client.Fresh()
	return err == nil
}

// Members returns the number of live nodes that this node knows.
//
//	if node.Members() < 50 { ... }
func (node *HollowNode) Members() int { return len(node.client.Members()) }

// AppliedAt returns the time at which the node first applied a view with at least this number.
//
//	at, found := node.AppliedAt(17)
func (node *HollowNode) AppliedAt(number uint64) (time.Time, bool) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	index := slices.IndexFunc(node.applied, func(view appliedView) bool { return view.number >= number })
	if index < 0 {
		return time.Time{}, false
	}
	return node.applied[index].at, true
}

// Nodes returns the hollow nodes in start order.
//
//	for _, node := range hollow.Nodes() { ... }
func (hollow *HollowNodes) Nodes() []*HollowNode {
	hollow.mutex.Lock()
	defer hollow.mutex.Unlock()
	return slices.Clone(hollow.nodes)
}

// Stale counts the nodes whose view is not fresh.
//
//	if hollow.Stale() > 0 { ... }
func (hollow *HollowNodes) Stale() int {
	stale := 0
	for _, node := range hollow.Nodes() {
		if !node.UpToDate() {
			stale++
		}
	}
	return stale
}

// Await waits until every node has reached a state, which is named in the error.
//
//	err := hollow.Await(ctx, "fresh", (*scale.HollowNode).UpToDate)
func (hollow *HollowNodes) Await(ctx context.Context, state string, reached func(*HollowNode) bool) error {
	for {
		pending := []string{}
		for _, node := range hollow.Nodes() {
			if !reached(node) {
				pending = append(pending, fmt.Sprintf("%s (view %d, fresh: %t)", node.Name, node.View().Number, node.UpToDate()))
			}
		}
		if len(pending) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d of %d hollow nodes are not %s, e.g. %s: %w", len(pending), len(hollow.Nodes()), state, pending[0], ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Delays waits until every node has applied a view with at least this number, and returns the
// sorted delays from since.
//
//	delays, err := hollow.Delays(ctx, reply.Number, asked)
func (hollow *HollowNodes) Delays(ctx context.Context, number uint64, since time.Time) ([]time.Duration, error) {
	err := hollow.Await(ctx, fmt.Sprintf("at view %d", number), func(node *HollowNode) bool {
		_, found := node.AppliedAt(number)
		return found
	})
	if err != nil {
		return nil, err
	}
	delays := []time.Duration{}
	for _, node := range hollow.Nodes() {
		at, _ := node.AppliedAt(number)
		delays = append(delays, at.Sub(since))
	}
	slices.Sort(delays)
	return delays, nil
}

// Stop stops all nodes and waits for them.
//
//	defer hollow.Stop()
func (hollow *HollowNodes) Stop() {
	var wg sync.WaitGroup
	for _, node := range hollow.Nodes() {
		wg.Go(func() {
			node.client.Stop()
			node.caller.Close()
		})
	}
	wg.Wait()
}

// countingNetwork counts the bytes of the connections that it dials.
type countingNetwork struct {
	link.Network
	counters *ByteCounters
}

func (network countingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := network.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, network.counters}, nil
}

type countingConn struct {
	net.Conn
	counters *ByteCounters
}

func (conn *countingConn) Read(target []byte) (int, error) {
	count, err := conn.Conn.Read(target)
	conn.counters.Read.Add(int64(count))
	return count, err
}

func (conn *countingConn) Write(data []byte) (int, error) {
	count, err := conn.Conn.Write(data)
	conn.counters.Written.Add(int64(count))
	return count, err
}
