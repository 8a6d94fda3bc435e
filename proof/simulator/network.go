// Package simulator runs complete clusters in one process: real nodes (control nodes, stores and
// fronts) on a simulated network (Network), simulated disks (Disk) and the clock of the test's
// synctest bubble, with stand-in runners. Network delays, torn writes and the choices of a test
// come from a seed. Goroutine scheduling does not, so a seed reproduces the faults of a run but
// not its interleavings.
//
// The network keeps TCP's guarantees: data that a partition delays arrives in order once the
// partition is healed, or the connection ends. After a power loss, a disk holds what was synced
// and an arbitrary, possibly corrupted part of the unsynced end of a file.
package simulator

import (
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Network is an in-memory network of hosts, each identified by its IP address. Data that is sent
// over a cut link is delivered once the link is healed, unless the connection ends before. It is
// safe for concurrent use.
type Network struct {
	mutex       sync.Mutex
	random      *rand.Rand
	listeners   map[string]*listener
	endpoints   map[*endpoint]bool
	cuts        map[[2]string]bool // keys are sender and receiver
	extraDelays map[[2]string]time.Duration
	refused     map[[2]string]bool
	isolated    map[string]bool
	frozen      map[string]bool
	changed     chan struct{}
	sentBytes   map[string]int64
	sentWrites  map[string]int64
}

// NewNetwork returns a network whose delays of 0.2 to 1 ms depend on the seed.
//
//	network := simulator.NewNetwork(7)
func NewNetwork(seed uint64) *Network {
	return &Network{random: rand.New(rand.NewPCG(seed, 2)), listeners: map[string]*listener{}, endpoints: map[*endpoint]bool{},
		cuts: map[[2]string]bool{}, extraDelays: map[[2]string]time.Duration{}, refused: map[[2]string]bool{}, isolated: map[string]bool{}, frozen: map[string]bool{}, changed: make(chan struct{}), sentBytes: map[string]int64{}, sentWrites: map[string]int64{}}
}

// At returns a host's interface to the network.
//
//	node, err := store.Start(settings, disk, archive, network.At("10.0.1.1"))
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

// reachable reports whether data from one host currently reaches another. The caller holds the
// mutex.
func (network *Network) reachable(from, to string) bool {
	return !network.cuts[[2]string{from, to}] && !network.isolated[from] && !network.isolated[to] && !network.frozen[from] && !network.frozen[to]
}

// update changes the state of links and hosts, and wakes all that wait for a change.
func (network *Network) update(action func()) {
	network.mutex.Lock()
	action()
	close(network.changed)
	network.changed = make(chan struct{})
	network.mutex.Unlock()
}

// Cut cuts the link between two hosts in both directions, until Heal.
//
//	network.Cut("10.0.0.1", "10.0.1.1")
func (network *Network) Cut(left, right string) {
	network.update(func() { network.cuts[[2]string{left, right}], network.cuts[[2]string{right, left}] = true, true })
}

// CutOneWay cuts the link from one host to another, but not the opposite direction, until Heal.
//
//	network.CutOneWay("10.0.0.1", "10.0.1.1")
func (network *Network) CutOneWay(from, to string) {
	network.update(func() { network.cuts[[2]string{from, to}] = true })
}

// Heal ends the effect of Cut, CutOneWay, Slow and RefuseConnections on the links between two
// hosts.
//
//	network.Heal("10.0.0.1", "10.0.1.1")
func (network *Network) Heal(left, right string) {
	network.update(func() {
		for _, link := range [][2]string{{left, right}, {right, left}} {
			delete(network.cuts, link)
			delete(network.extraDelays, link)
			delete(network.refused, link)
		}
	})
}

// Slow adds a delay to the links between two hosts in both directions, until Heal.
//
//	network.Slow("10.0.0.1", "10.0.1.1", 300*time.Millisecond)
func (network *Network) Slow(left, right string, delay time.Duration) {
	network.update(func() {
		network.extraDelays[[2]string{left, right}], network.extraDelays[[2]string{right, left}] = delay, delay
	})
}

// Freeze stops a host's process at its next use of the network, as SIGSTOP does. Data that it was
// about to send is sent after Thaw, even if its own timeout has passed by then.
//
//	network.Freeze("10.0.2.1")
func (network *Network) Freeze(host string) {
	network.update(func() { network.frozen[host] = true })
}

// Thaw ends Freeze.
//
//	network.Thaw("10.0.2.1")
func (network *Network) Thaw(host string) {
	network.update(func() { delete(network.frozen, host) })
}

// awaitThawed returns once the host is not frozen or done is closed.
func (network *Network) awaitThawed(host string, done <-chan struct{}) {
	for {
		network.mutex.Lock()
		frozen, changed := network.frozen[host], network.changed
		network.mutex.Unlock()
		if !frozen {
			return
		}
		select {
		case <-changed:
		case <-done:
			return
		}
	}
}

// Isolate cuts a host off from all others, until Rejoin.
//
//	network.Isolate("10.0.2.1")
func (network *Network) Isolate(host string) {
	network.update(func() { network.isolated[host] = true })
}

// Rejoin ends Isolate.
//
//	network.Rejoin("10.0.2.1")
func (network *Network) Rejoin(host string) {
	network.update(func() { delete(network.isolated, host) })
}

// Reset closes all connections and listeners of a host, as happens when its process ends.
//
//	network.Reset("10.0.1.1")
func (network *Network) Reset(host string) {
	network.mutex.Lock()
	closers := []io.Closer{}
	for endpoint := range network.endpoints {
		if endpoint.host == host || endpoint.peer.host == host {
			closers = append(closers, endpoint)
		}
	}
	for address, listener := range network.listeners {
		if hostOf(address) == host {
			closers = append(closers, listener)
		}
	}
	network.mutex.Unlock()
	for _, closer := range closers {
		closer.Close()
	}
}

// Sent returns how many bytes a host has sent, and in how many writes.
//
//	bytes, writes := network.Sent("10.0.1.1")
func (network *Network) Sent(host string) (int64, int64) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return network.sentBytes[host], network.sentWrites[host]
}
