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

// domains that hollow nodes are spread over.
var domains = []string{"east", "west", "north"}

// Hollow is a node that holds a session and follows the feed as a front does, and
// does nothing else. It keeps when each number of the feed came into force on it.
type Hollow struct {
	Name   string
	caller *link.Client
	follow *feedclient.Client
	mutex  sync.Mutex
	taken  []taking
}

type taking struct {
	number uint64
	at     time.Time
}

// Volume counts the bytes that all hollow nodes of a herd wrote and read, with all
// that the library puts round them, as TCP sees them.
type Volume struct{ Written, Read atomic.Int64 }

// Herd is a number of hollow nodes of one process.
type Herd struct {
	Volume Volume
	mutex  sync.Mutex
	nodes  []*Hollow
}

// Grow starts more hollow nodes until the herd has that many, spread evenly over a
// time, so that their questions do not come all at once. Network gives each its way
// out by its position; address is where others reach all of them.
//
//	herd.Grow(ctx, 50, time.Second, "127.0.0.9:7000", seeds, func(int) link.Network { return link.TCP{} })
func (herd *Herd) Grow(ctx context.Context, size int, over time.Duration, address string, seeds []string, network func(position int) link.Network) error {
	begun := len(herd.Nodes())
	for position := begun; position < size; position++ {
		select {
		case <-time.After(over / time.Duration(size-begun)):
		case <-ctx.Done():
			return ctx.Err()
		}
		node := &Hollow{Name: fmt.Sprintf("hollow-%04d", position+1), caller: link.NewClient(countedNetwork{network(position), &herd.Volume})}
		member := feed.Member{Name: node.Name, Role: feed.RoleFront, Address: address, Domain: domains[position%len(domains)]}
		node.follow = feedclient.Start(node.caller, member, seeds, nil, node.take)
		herd.mutex.Lock()
		herd.nodes = append(herd.nodes, node)
		herd.mutex.Unlock()
	}
	return nil
}

// take notes that a view came into force here.
func (node *Hollow) take(view *feed.View) error {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.taken = append(node.taken, taking{view.Number, time.Now()})
	return nil
}

// View is the newest view that the node holds.
//
//	runners := len(node.View().Runners)
func (node *Hollow) View() *feed.View { return node.follow.View() }

// Fresh tells whether the node may act on its view now.
//
//	if !node.Fresh() { stale++ }
func (node *Hollow) Fresh() bool {
	_, err := node.follow.Fresh()
	return err == nil
}

// Members is how many live nodes this one knows.
//
//	if node.Members() < 50 { ... }
func (node *Hollow) Members() int { return len(node.follow.Members()) }

// InForce tells when a number of the feed, or a later one, came into force here.
//
//	at, found := node.InForce(17)
func (node *Hollow) InForce(number uint64) (time.Time, bool) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	at := slices.IndexFunc(node.taken, func(taken taking) bool { return taken.number >= number })
	if at < 0 {
		return time.Time{}, false
	}
	return node.taken[at].at, true
}

// Nodes lists the hollow nodes.
//
//	for _, node := range herd.Nodes() { ... }
func (herd *Herd) Nodes() []*Hollow {
	herd.mutex.Lock()
	defer herd.mutex.Unlock()
	return slices.Clone(herd.nodes)
}

// Stale counts the nodes that may not act on their view now.
//
//	if herd.Stale() > 0 { ... }
func (herd *Herd) Stale() int {
	stale := 0
	for _, node := range herd.Nodes() {
		if !node.Fresh() {
			stale++
		}
	}
	return stale
}

// Await waits until something holds at every node.
//
//	err := herd.Await(ctx, "fresh", (*scale.Hollow).Fresh)
func (herd *Herd) Await(ctx context.Context, what string, holds func(*Hollow) bool) error {
	for {
		left := []string{}
		for _, node := range herd.Nodes() {
			if !holds(node) {
				left = append(left, fmt.Sprintf("%s (at number %d, fresh: %t)", node.Name, node.View().Number, node.Fresh()))
			}
		}
		if len(left) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d of %d hollow nodes are not %s, such as %s: %w", len(left), len(herd.Nodes()), what, left[0], ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Delays gives how long after a moment each node had a number in force, sorted.
//
//	delays, err := herd.Delays(ctx, reply.Number, asked)
func (herd *Herd) Delays(ctx context.Context, number uint64, since time.Time) ([]time.Duration, error) {
	err := herd.Await(ctx, fmt.Sprintf("at number %d", number), func(node *Hollow) bool {
		_, found := node.InForce(number)
		return found
	})
	if err != nil {
		return nil, err
	}
	delays := []time.Duration{}
	for _, node := range herd.Nodes() {
		at, _ := node.InForce(number)
		delays = append(delays, at.Sub(since))
	}
	slices.Sort(delays)
	return delays, nil
}

// Stop ends all nodes.
//
//	defer herd.Stop()
func (herd *Herd) Stop() {
	var stopped sync.WaitGroup
	for _, node := range herd.Nodes() {
		stopped.Go(func() {
			node.follow.Stop()
			node.caller.Close()
		})
	}
	stopped.Wait()
}

// countedNetwork counts what goes over the connections that are dialled through it.
type countedNetwork struct {
	link.Network
	volume *Volume
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
	volume *Volume
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
