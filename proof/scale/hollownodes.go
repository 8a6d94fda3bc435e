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

// domains are those over which hollow nodes are spread.
var domains = []string{"east", "west", "north"}

// HollowNode is a node that keeps a session with the control plane and follows the feed as a front
// does, and does nothing else. It records when it applied each number of the feed.
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

// ByteCounters counts the bytes that hollow nodes wrote to and read from their connections, with
// the framing of package link.
type ByteCounters struct{ Written, Read atomic.Int64 }

// HollowNodes are the hollow nodes of one process. Stop ends them.
type HollowNodes struct {
	Bytes ByteCounters
	mutex sync.Mutex
	nodes []*HollowNode
}

// Grow starts hollow nodes until there are as many as size. The starts are spread evenly over a
// time, so that the requests of the nodes do not coincide. network returns the network of the node
// at a position; address is the one at which others reach all of them.
//
//	herd.Grow(ctx, 50, time.Second, "127.0.0.9:7000", seeds, func(int) link.Network { return link.TCP{} })
func (hollow *HollowNodes) Grow(ctx context.Context, size int, over time.Duration, address string, seeds []string, network func(position int) link.Network) error {
	begun := len(hollow.Nodes())
	for position := begun; position < size; position++ {
		select {
		case <-time.After(over / time.Duration(size-begun)):
		case <-ctx.Done():
			return ctx.Err()
		}
		node := &HollowNode{Name: fmt.Sprintf("hollow-%04d", position+1), caller: link.NewClient(countedNetwork{network(position), &hollow.Bytes})}
		member := feed.Member{Name: node.Name, Role: feed.RoleFront, Address: address, Domain: domains[position%len(domains)]}
		node.client = feedclient.Start(node.caller, member, seeds, nil, node.apply)
		hollow.mutex.Lock()
		hollow.nodes = append(hollow.nodes, node)
		hollow.mutex.Unlock()
	}
	return nil
}

// apply records when a view came into force.
func (node *HollowNode) apply(view *feed.View) error {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.applied = append(node.applied, appliedView{view.Number, time.Now()})
	return nil
}

// View returns the newest view.
//
//	runners := len(node.View().Runners)
func (node *HollowNode) View() *feed.View { return node.client.View() }

// UpToDate reports whether the view is fresh, so that the node may act on it.
//
//	if !node.UpToDate() { stale++ }
func (node *HollowNode) UpToDate() bool {
	_, err := node.client.Fresh()
	return err == nil
}

// Members returns the number of live nodes that this one knows.
//
//	if node.Members() < 50 { ... }
func (node *HollowNode) Members() int { return len(node.client.Members()) }

// AppliedAt returns when the node applied a number of the feed, or a later one.
//
//	at, found := node.AppliedAt(17)
func (node *HollowNode) AppliedAt(number uint64) (time.Time, bool) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	at := slices.IndexFunc(node.applied, func(taken appliedView) bool { return taken.number >= number })
	if at < 0 {
		return time.Time{}, false
	}
	return node.applied[at].at, true
}

// Nodes lists the hollow nodes.
//
//	for _, node := range herd.Nodes() { ... }
func (hollow *HollowNodes) Nodes() []*HollowNode {
	hollow.mutex.Lock()
	defer hollow.mutex.Unlock()
	return slices.Clone(hollow.nodes)
}

// Stale counts the nodes whose view is not fresh.
//
//	if herd.Stale() > 0 { ... }
func (hollow *HollowNodes) Stale() int {
	stale := 0
	for _, node := range hollow.Nodes() {
		if !node.UpToDate() {
			stale++
		}
	}
	return stale
}

// Await waits until a condition holds at every node.
//
//	err := herd.Await(ctx, "fresh", (*scale.HollowNode).UpToDate)
func (hollow *HollowNodes) Await(ctx context.Context, what string, holds func(*HollowNode) bool) error {
	for {
		left := []string{}
		for _, node := range hollow.Nodes() {
			if !holds(node) {
				left = append(left, fmt.Sprintf("%s (at number %d, fresh: %t)", node.Name, node.View().Number, node.UpToDate()))
			}
		}
		if len(left) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d of %d hollow nodes are not %s, such as %s: %w", len(left), len(hollow.Nodes()), what, left[0], ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Delays returns how long after a time each node applied a number, sorted.
//
//	delays, err := herd.Delays(ctx, reply.Number, asked)
func (hollow *HollowNodes) Delays(ctx context.Context, number uint64, since time.Time) ([]time.Duration, error) {
	err := hollow.Await(ctx, fmt.Sprintf("at number %d", number), func(node *HollowNode) bool {
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

// Stop ends all nodes.
//
//	defer herd.Stop()
func (hollow *HollowNodes) Stop() {
	var stopped sync.WaitGroup
	for _, node := range hollow.Nodes() {
		stopped.Go(func() {
			node.client.Stop()
			node.caller.Close()
		})
	}
	stopped.Wait()
}

// countedNetwork counts the bytes of the connections that are dialled through it.
type countedNetwork struct {
	link.Network
	volume *ByteCounters
}

func (network countedNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	stream, err := network.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &countedStream{stream, network.volume}, nil
}

type countedStream struct {
	net.Conn
	volume *ByteCounters
}

func (stream *countedStream) Read(target []byte) (int, error) {
	count, err := stream.Conn.Read(target)
	stream.volume.Read.Add(int64(count))
	return count, err
}

func (stream *countedStream) Write(data []byte) (int, error) {
	count, err := stream.Conn.Write(data)
	stream.volume.Written.Add(int64(count))
	return count, err
}
