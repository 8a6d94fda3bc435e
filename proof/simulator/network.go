// Package simulator runs whole clusters in one process: an in-memory network that
// can be cut and a disk that forgets what was not synced, on whatever clock the
// caller's test bubble has.
package simulator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Network is an in-memory network of hosts. Data that crosses a cut waits, as TCP
// keeps it, until the cut is mended or the connection ends.
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

// At gives the network as one host sees it.
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

// reachable tells whether what one host sends reaches another now.
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

// Cut parts two hosts; Mend joins them again.
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

// Sent tells how many bytes left a host, in how many writes.
//
//	bytes, messages := network.Sent("10.0.1.1")
func (network *Network) Sent(host string) (int64, int64) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return network.bytes[host], network.messages[host]
}

type listener struct {
	network *Network
	address string
	queue   chan *endpoint
	once    sync.Once
	closed  chan struct{}
}

// Listen opens a port of the host.
func (host *Host) Listen(address string) (net.Listener, error) {
	host.network.mutex.Lock()
	defer host.network.mutex.Unlock()
	if host.network.listeners[address] != nil {
		return nil, fmt.Errorf("%s is in use", address)
	}
	made := &listener{network: host.network, address: address, queue: make(chan *endpoint, 128), closed: make(chan struct{})}
	host.network.listeners[address] = made
	return made, nil
}

// Accept waits for a connection.
func (listener *listener) Accept() (net.Conn, error) {
	select {
	case accepted := <-listener.queue:
		return accepted, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listener.
func (listener *listener) Close() error {
	listener.once.Do(func() {
		close(listener.closed)
		listener.network.mutex.Lock()
		delete(listener.network.listeners, listener.address)
		listener.network.mutex.Unlock()
	})
	return nil
}

// Addr tells the address.
func (listener *listener) Addr() net.Addr { return address(listener.address) }

type address string

func (address address) Network() string { return "simulated" }
func (address address) String() string  { return string(address) }

// retransmitTimeout is after how long a system sends an opening packet again that a cut way has
// swallowed; each further time takes twice as long.
const retransmitTimeout = time.Second

// Dial connects. An opening packet that a cut way swallows is sent again only after a
// second, as by TCP.
func (host *Host) Dial(ctx context.Context, target string) (net.Conn, error) {
	network := host.network
	again := retransmitTimeout
	for {
		network.awaitThawed(host.name, nil)
		network.mutex.Lock()
		way, changed, found := network.reachable(host.name, hostOf(target)) && network.reachable(hostOf(target), host.name), network.changed, network.listeners[target]
		frozen, buffered := network.frozen[host.name], network.frozen[hostOf(target)]
		refused := network.refused[[2]string{host.name, hostOf(target)}]
		network.mutex.Unlock()
		if frozen {
			continue
		}
		if refused || (way && found == nil) {
			return nil, fmt.Errorf("%s: %w", target, syscall.ECONNREFUSED)
		}
		if way {
			return network.connect(host.name, found)
		}
		var lost <-chan time.Time
		if !buffered {
			lost, changed = time.After(again), nil
			again *= 2
		}
		select {
		case <-lost:
		case <-changed:
		case <-ctx.Done():
			network.mutex.Lock()
			frozen := network.frozen[host.name]
			network.mutex.Unlock()
			if !frozen {
				return nil, ctx.Err()
			}
		}
	}
}

func (network *Network) connect(from string, to *listener) (net.Conn, error) {
	near := &endpoint{network: network, host: from, incoming: newBuffer(), local: address(from + ":0"), remote: address(to.address), done: make(chan struct{})}
	far := &endpoint{network: network, host: hostOf(to.address), incoming: newBuffer(), local: address(to.address), remote: address(from + ":0"), done: make(chan struct{})}
	near.peer, far.peer = far, near
	network.mutex.Lock()
	network.endpoints[near], network.endpoints[far] = true, true
	network.mutex.Unlock()
	network.awaitThawed(from, near.done) // a frozen process goes on with what it dialled
	select {
	case to.queue <- far:
		return near, nil
	case <-to.closed:
		near.Close()
		return nil, fmt.Errorf("%s: %w", to.address, syscall.ECONNREFUSED)
	}
}

type chunk struct {
	data []byte
	at   time.Time
}

// buffer is what is on its way to one end.
type buffer struct {
	mutex  sync.Mutex
	chunks []chunk
	ended  bool
	grown  chan struct{}
}

func newBuffer() *buffer { return &buffer{grown: make(chan struct{})} }

func (buffer *buffer) wake() {
	close(buffer.grown)
	buffer.grown = make(chan struct{})
}

// endpoint is one side of a connection.
type endpoint struct {
	network  *Network
	host     string
	peer     *endpoint
	incoming *buffer
	local    net.Addr
	remote   net.Addr
	once     sync.Once
	done     chan struct{}

	mutex           sync.Mutex
	deadline        time.Time
	deadlineChanged chan struct{} // closed when the deadline changes
}

// Read takes what has arrived.
func (end *endpoint) Read(target []byte) (int, error) {
	for {
		count, wait, changed, grown, err := end.takeArrived(target)
		if count > 0 || err != nil {
			return count, err
		}
		end.mutex.Lock()
		deadline := end.deadline
		if end.deadlineChanged == nil {
			end.deadlineChanged = make(chan struct{})
		}
		moved := end.deadlineChanged
		end.mutex.Unlock()
		var expired <-chan time.Time
		if !deadline.IsZero() {
			left := time.Until(deadline)
			if left <= 0 {
				return 0, os.ErrDeadlineExceeded
			}
			tick := time.NewTimer(left)
			defer tick.Stop()
			expired = tick.C
		}
		var arrival <-chan time.Time
		if wait > 0 {
			tick := time.NewTimer(wait)
			defer tick.Stop()
			arrival = tick.C
		}
		select {
		case <-arrival:
		case <-changed:
		case <-grown:
		case <-moved:
		case <-expired:
			return 0, os.ErrDeadlineExceeded
		case <-end.done:
			return 0, net.ErrClosed
		}
	}
}

func (end *endpoint) takeArrived(target []byte) (count int, wait time.Duration, changed, grown chan struct{}, err error) {
	end.network.mutex.Lock()
	way, changed := end.network.reachable(end.peer.host, end.host), end.network.changed
	end.network.mutex.Unlock()
	incoming := end.incoming
	incoming.mutex.Lock()
	defer incoming.mutex.Unlock()
	if !way {
		return 0, 0, changed, incoming.grown, nil
	}
	if len(incoming.chunks) == 0 {
		if incoming.ended {
			err = io.EOF
		}
		return 0, 0, changed, incoming.grown, err
	}
	if wait = time.Until(incoming.chunks[0].at); wait > 0 {
		return 0, wait, changed, incoming.grown, nil
	}
	count = copy(target, incoming.chunks[0].data)
	if incoming.chunks[0].data = incoming.chunks[0].data[count:]; len(incoming.chunks[0].data) == 0 {
		incoming.chunks = incoming.chunks[1:]
	}
	return count, 0, changed, incoming.grown, nil
}

// Idle tells that nothing has arrived and the other side has closed nothing.
func (end *endpoint) Idle() bool {
	var none [1]byte
	count, _, _, _, err := end.takeArrived(none[:])
	return count == 0 && err == nil
}

// Write sends; it blocks only while its host is frozen.
func (end *endpoint) Write(data []byte) (int, error) {
	end.network.awaitThawed(end.host, end.done)
	select {
	case <-end.done:
		return 0, net.ErrClosed
	case <-end.peer.done:
		return 0, errors.New("connection reset")
	default:
	}
	end.network.mutex.Lock()
	delay := 200*time.Microsecond + time.Duration(end.network.random.IntN(800))*time.Microsecond + end.network.slow[[2]string{end.host, end.peer.host}]
	end.network.bytes[end.host] += int64(len(data))
	end.network.messages[end.host]++
	end.network.mutex.Unlock()
	target := end.peer.incoming
	target.mutex.Lock()
	defer target.mutex.Unlock()
	at := time.Now().Add(delay)
	if last := len(target.chunks) - 1; last >= 0 && at.Before(target.chunks[last].at) {
		at = target.chunks[last].at
	}
	target.chunks = append(target.chunks, chunk{data: append([]byte{}, data...), at: at})
	target.wake()
	return len(data), nil
}

// Close ends the connection for both sides.
func (end *endpoint) Close() error {
	end.once.Do(func() {
		close(end.done)
		end.network.mutex.Lock()
		delete(end.network.endpoints, end)
		end.network.mutex.Unlock()
		target := end.peer.incoming
		target.mutex.Lock()
		target.ended = true
		target.wake()
		target.mutex.Unlock()
	})
	return nil
}

// LocalAddr tells this side's address.
func (end *endpoint) LocalAddr() net.Addr { return end.local }

// RemoteAddr tells the other side's address.
func (end *endpoint) RemoteAddr() net.Addr { return end.remote }

// SetReadDeadline sets when a Read gives up.
func (end *endpoint) SetReadDeadline(deadline time.Time) error {
	end.mutex.Lock()
	end.deadline = deadline
	if end.deadlineChanged != nil {
		close(end.deadlineChanged)
		end.deadlineChanged = nil
	}
	end.mutex.Unlock()
	return nil
}

// SetDeadline is SetReadDeadline, as writes never wait.
func (end *endpoint) SetDeadline(deadline time.Time) error { return end.SetReadDeadline(deadline) }

// SetWriteDeadline does nothing, as writes never wait.
func (end *endpoint) SetWriteDeadline(time.Time) error { return nil }
