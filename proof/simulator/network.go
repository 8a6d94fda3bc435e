// Package simulator runs complete clusters in one process: real nodes (control nodes, stores and
// fronts) on a simulated network (Network), simulated disks (Disk) and the clock of the test's
// synctest bubble, with stand-in runners. Network delays, torn writes and the choices of a test
// come from a seed; goroutine scheduling does not, so a seed repeats the faults of a run and not
// each of its interleavings.
//
// The network keeps TCP's guarantees: data that a partition holds back arrives in order once the
// partition is healed, or the connection ends. A disk keeps what was synced, and of the unsynced
// end of a file an arbitrary, possibly corrupted part.
package simulator

import (
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Network is an in-memory network of hosts, each named by its IP address. Data sent over a cut
// link waits until the link is healed or the connection ends. It is safe for concurrent use.
type Network struct {
	mutex     sync.Mutex
	random    *rand.Rand
	listeners map[string]*listener
	endpoints map[*endpoint]bool
	cuts      map[[2]string]bool // from one host to another
	slow      map[[2]string]time.Duration
	refused   map[[2]string]bool
	isolated  map[string]bool
	frozen    map[string]bool
	changed   chan struct{}
	bytes     map[string]int64
	messages  map[string]int64
}

// NewNetwork returns a network whose delays, 0.2 to 1 ms, come from a seed.
//
//	network := simulator.NewNetwork(7)
func NewNetwork(seed uint64) *Network {
	return &Network{random: rand.New(rand.NewPCG(seed, 2)), listeners: map[string]*listener{}, endpoints: map[*endpoint]bool{},
		cuts: map[[2]string]bool{}, slow: map[[2]string]time.Duration{}, refused: map[[2]string]bool{}, isolated: map[string]bool{}, frozen: map[string]bool{}, changed: make(chan struct{}), bytes: map[string]int64{}, messages: map[string]int64{}}
}

// At returns a host's interface to the network.
//
//	node, err := store.Start(settings, folder, cold, network.At("10.0.1.1"))
func (network *Network) At(host string) *Host { return &Host{network: network, name: host} }

// Host is one host's interface to the network; it implements link.Network.
type Host struct {
	network *Network
	name    string
}

func hostOf(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}

// reachable reports whether data from one host reaches another now; the mutex must be held.
func (network *Network) reachable(from, to string) bool {
	return !network.cuts[[2]string{from, to}] && !network.isolated[from] && !network.isolated[to] && !network.frozen[from] && !network.frozen[to]
}

func (network *Network) change(action func()) {
	network.mutex.Lock()
	action()
	close(network.changed)
	network.changed = make(chan struct{})
	network.mutex.Unlock()
}

// Cut partitions two hosts from each other, until Heal.
//
//	network.Cut("10.0.0.1", "10.0.1.1")
func (network *Network) Cut(left, right string) {
	network.change(func() { network.cuts[[2]string{left, right}], network.cuts[[2]string{right, left}] = true, true })
}

// CutOneWay cuts the link from one host to another, but not the opposite direction.
//
//	network.CutOneWay("10.0.0.1", "10.0.1.1")
func (network *Network) CutOneWay(from, to string) {
	network.change(func() { network.cuts[[2]string{from, to}] = true })
}

// Heal ends what Cut, CutOneWay, Slow and RefuseConnections did to the links between two hosts.
//
//	network.Heal("10.0.0.1", "10.0.1.1")
func (network *Network) Heal(left, right string) {
	network.change(func() {
		for _, way := range [][2]string{{left, right}, {right, left}} {
			delete(network.cuts, way)
			delete(network.slow, way)
			delete(network.refused, way)
		}
	})
}

// Slow adds a delay to the links between two hosts, until Heal.
//
//	network.Slow("10.0.0.1", "10.0.1.1", 300*time.Millisecond)
func (network *Network) Slow(left, right string, delay time.Duration) {
	network.change(func() {
		network.slow[[2]string{left, right}], network.slow[[2]string{right, left}] = delay, delay
	})
}

// Freeze stops a host's process at its next use of the network, as SIGSTOP does. What it was
// about to send is sent after Thaw, even if its own timeout has passed meanwhile.
//
//	network.Freeze("10.0.2.1")
func (network *Network) Freeze(host string) {
	network.change(func() { network.frozen[host] = true })
}

// Thaw ends Freeze.
//
//	network.Thaw("10.0.2.1")
func (network *Network) Thaw(host string) {
	network.change(func() { delete(network.frozen, host) })
}

// awaitThawed returns once a host is not frozen, or the channel is closed.
func (network *Network) awaitThawed(host string, given <-chan struct{}) {
	for {
		network.mutex.Lock()
		frozen, changed := network.frozen[host], network.changed
		network.mutex.Unlock()
		if !frozen {
			return
		}
		select {
		case <-changed:
		case <-given:
			return
		}
	}
}

// Isolate cuts a host off from all others, until Rejoin.
//
//	network.Isolate("10.0.2.1")
func (network *Network) Isolate(host string) {
	network.change(func() { network.isolated[host] = true })
}

// Rejoin ends Isolate.
//
//	network.Rejoin("10.0.2.1")
func (network *Network) Rejoin(host string) {
	network.change(func() { delete(network.isolated, host) })
}

// Reset closes all connections and listeners of a host, as the end of its process does.
//
//	network.Reset("10.0.1.1")
func (network *Network) Reset(host string) {
	network.mutex.Lock()
	broken := []io.Closer{}
	for one := range network.endpoints {
		if one.host == host || one.peer.host == host {
			broken = append(broken, one)
		}
	}
	for address, one := range network.listeners {
		if hostOf(address) == host {
			broken = append(broken, one)
		}
	}
	network.mutex.Unlock()
	for _, one := range broken {
		one.Close()
	}
}

// Sent counts the bytes that a host sent, and the writes that it sent them in.
//
//	bytes, messages := network.Sent("10.0.1.1")
func (network *Network) Sent(host string) (int64, int64) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return network.bytes[host], network.messages[host]
}
