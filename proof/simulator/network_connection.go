package simulator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

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

// Addr returns the address.
func (listener *listener) Addr() net.Addr { return address(listener.address) }

type address string

func (address) Network() string { return "simulated" }

func (address address) String() string { return string(address) }

// retransmitTimeout is how long TCP waits before it sends a lost SYN again; each further wait is
// twice as long.
const retransmitTimeout = time.Second

// Dial connects to a listener. A SYN that a cut link loses is sent again after
// retransmitTimeout.
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
	network.awaitThawed(from, near.done) // a frozen process continues with the connection once it is thawed
	select {
	case to.queue <- far:
		return near, nil
	case <-to.closed:
		_ = near.Close() // an endpoint's Close never fails
		return nil, fmt.Errorf("%s: %w", to.address, syscall.ECONNREFUSED)
	}
}

type chunk struct {
	data []byte
	at   time.Time
}

// buffer is the data in flight to an endpoint.
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

// Read returns data whose delay has passed. It waits for the peer, a heal or the deadline.
func (end *endpoint) Read(target []byte) (int, error) {
	for {
		state, err := end.takeArrived(target)
		if state.count > 0 || err != nil {
			return state.count, err
		}
		if err := end.await(state); err != nil {
			return 0, err
		}
	}
}

// await returns nil once there may be more to read, else why there will not be.
func (end *endpoint) await(state arrivalState) error {
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
			return os.ErrDeadlineExceeded
		}
		tick := time.NewTimer(left)
		defer tick.Stop()
		expired = tick.C
	}
	var arrival <-chan time.Time
	if state.wait > 0 {
		tick := time.NewTimer(state.wait)
		defer tick.Stop()
		arrival = tick.C
	}
	select {
	case <-arrival:
	case <-state.changed:
	case <-state.grown:
	case <-moved:
	case <-expired:
		return os.ErrDeadlineExceeded
	case <-end.done:
		return net.ErrClosed
	}
	return nil
}

// arrivalState is what takeArrived found: how many bytes it took, and if none, what the
// reader waits for.
type arrivalState struct {
	count   int
	wait    time.Duration // until the next chunk arrives; 0 if none is on its way
	changed chan struct{} // closed when the network's ways change
	grown   chan struct{} // closed when more is sent
}

func (end *endpoint) takeArrived(target []byte) (state arrivalState, err error) {
	end.network.mutex.Lock()
	way, changed := end.network.reachable(end.peer.host, end.host), end.network.changed
	end.network.mutex.Unlock()
	incoming := end.incoming
	incoming.mutex.Lock()
	defer incoming.mutex.Unlock()
	state = arrivalState{changed: changed, grown: incoming.grown}
	if !way {
		return state, nil
	}
	if len(incoming.chunks) == 0 {
		if incoming.ended {
			err = io.EOF
		}
		return state, err
	}
	if wait := time.Until(incoming.chunks[0].at); wait > 0 {
		state.wait = wait
		return state, nil
	}
	state.count = copy(target, incoming.chunks[0].data)
	if incoming.chunks[0].data = incoming.chunks[0].data[state.count:]; len(incoming.chunks[0].data) == 0 {
		incoming.chunks = incoming.chunks[1:]
	}
	return state, nil
}

// Idle reports whether no data has arrived and the peer has not closed the connection.
func (end *endpoint) Idle() bool {
	var none [1]byte
	state, err := end.takeArrived(none[:])
	return state.count == 0 && err == nil
}

// Write sends data. It blocks only while its host is frozen.
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

// LocalAddr returns this side's address.
func (end *endpoint) LocalAddr() net.Addr { return end.local }

// RemoteAddr returns the other side's address.
func (end *endpoint) RemoteAddr() net.Addr { return end.remote }

// SetReadDeadline sets the deadline of reads.
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
func (*endpoint) SetWriteDeadline(time.Time) error { return nil }
