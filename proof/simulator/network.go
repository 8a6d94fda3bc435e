// Package simulator runs whole clusters in one process: an in-memory network that
// can be cut and a disk that forgets what was not synced, on whatever clock the
// caller's test bubble has.
package simulator

import (
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Network is an in-memory network of hosts. Data that crosses a cut waits, as TCP
// keeps it, until the cut is healed or the connection ends.
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

// NewNetwork makes a network whose delays come from a seed.
//
//	network := simulator.NewNetwork(7)
func NewNetwork(seed uint64) *Network {
	return &Network{random: rand.New(rand.NewPCG(seed, 2)), listeners: map[string]*listener{}, endpoints: map[*endpoint]bool{},
		cuts: map[[2]string]bool{}, slow: map[[2]string]time.Duration{}, refused: map[[2]string]bool{}, isolated: map[string]bool{}, frozen: map[string]bool{}, changed: make(chan struct{}), bytes: map[string]int64{}, messages: map[string]int64{}}
}

// At returns the network as one host sees it.
//
//	node, err := store.Start(settings, folder, cold, network.At("10.0.1.1"))
func (network *Network) At(host string) *Host { return &Host{network: network, name: host} }

// Host is one machine's side of the network.
type Host struct {
	network *Network
	name    string
}

func hostOf(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}

// reachable reports whether what one host sends reaches another now.
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

// Cut parts two hosts; Heal joins them again.
//
//	network.Cut("10.0.0.1", "10.0.1.1")
func (network *Network) Cut(left, right string) {
	network.change(func() { network.cuts[[2]string{left, right}], network.cuts[[2]string{right, left}] = true, true })
}

// CutOneWay loses the way from one host to another, but not the way back.
//
//	network.CutOneWay("10.0.0.1", "10.0.1.1")
func (network *Network) CutOneWay(from, to string) {
	network.change(func() { network.cuts[[2]string{from, to}] = true })
}

// Heal joins two hosts, and makes the ways between them as fast as they were.
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

// Slow lets what two hosts send each other arrive so much later.
//
//	network.Slow("10.0.0.1", "10.0.1.1", 300*time.Millisecond)
func (network *Network) Slow(left, right string, delay time.Duration) {
	network.change(func() {
		network.slow[[2]string{left, right}], network.slow[[2]string{right, left}] = delay, delay
	})
}

// Freeze holds a host's process where it next touches the network, as SIGSTOP
// does: what it was about to send leaves when it wakes, whatever its own timeout
// says. Thaw wakes it.
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

// awaitThawed returns once a host is not frozen, or given up.
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

// Isolate parts a host from all, as a frozen or unplugged machine is; Rejoin ends
// it.
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

// Reset breaks all connections and listeners of a host, as the end of its process
// does.
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

// Sent returns how many bytes left a host, in how many writes.
//
//	bytes, messages := network.Sent("10.0.1.1")
func (network *Network) Sent(host string) (int64, int64) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return network.bytes[host], network.messages[host]
}
