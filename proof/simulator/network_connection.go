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
	backlog chan *endpoint
	once    sync.Once
	closed  chan struct{}
}

// Listen opens a listener on an address of the host.
func (host *Host) Listen(address string) (net.Listener, error) {
	host.network.mutex.Lock()
	defer host.network.mutex.Unlock()
	if host.network.listeners[address] != nil {
		return nil, fmt.Errorf("%s is in use", address)
	}
	opened := &listener{network: host.network, address: address, backlog: make(chan *endpoint, 128), closed: make(chan struct{})}
	host.network.listeners[address] = opened
	return opened, nil
}

// Accept waits for a connection.
func (listener *listener) Accept() (net.Conn, error) {
	select {
	case accepted := <-listener.backlog:
		return accepted, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener.
func (listener *listener) Close() error {
	listener.once.Do(func() {
		close(listener.closed)
		listener.network.mutex.Lock()
		delete(listener.network.listeners, listener.address)
		listener.network.mutex.Unlock()
	})
	return nil
}

// Addr returns the address of the listener.
func (listener *listener) Addr() net.Addr { return address(listener.address) }

type address string

func (address) Network() string { return "simulated" }

func (address address) String() string { return string(address) }

// retransmitTimeout is TCP's initial timeout for the retransmission of a SYN. It doubles with each
// retransmission.
const retransmitTimeout = time.Second

// Dial connects to a listener. A SYN that is lost on a cut link is retransmitted after
// retransmitTimeout; one to a frozen host is answered once that host is thawed.
func (host *Host) Dial(ctx context.Context, target string) (net.Conn, error) {
	network := host.network
	backoff := retransmitTimeout
	for {
		network.awaitThawed(host.name, nil)
		network.mutex.Lock()
		reachable, changed, found := network.reachable(host.name, hostOf(target)) && network.reachable(hostOf(target), host.name), network.changed, network.listeners[target]
		frozen, targetFrozen := network.frozen[host.name], network.frozen[hostOf(target)]
		refused := network.refused[[2]string{host.name, hostOf(target)}]
		network.mutex.Unlock()
		if frozen {
			continue
		}
		if refused || (reachable && found == nil) {
			return nil, fmt.Errorf("%s: %w", target, syscall.ECONNREFUSED)
		}
		if reachable {
			return network.connect(host.name, found)
		}
		var retransmit <-chan time.Time
		if !targetFrozen {
			retransmit, changed = time.After(backoff), nil
			backoff *= 2
		}
		select {
		case <-retransmit:
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
	client := &endpoint{network: network, host: from, incoming: newBuffer(), local: address(from + ":0"), remote: address(to.address), done: make(chan struct{})}
	server := &endpoint{network: network, host: hostOf(to.address), incoming: newBuffer(), local: address(to.address), remote: address(from + ":0"), done: make(chan struct{})}
	client.peer, server.peer = server, client
	network.mutex.Lock()
	network.endpoints[client], network.endpoints[server] = true, true
	network.mutex.Unlock()
	network.awaitThawed(from, client.done) // a frozen process uses the connection only after Thaw
	select {
	case to.backlog <- server:
		return client, nil
	case <-to.closed:
		_ = client.Close() // an endpoint's Close never fails
		return nil, fmt.Errorf("%s: %w", to.address, syscall.ECONNREFUSED)
	}
}

// chunk is the data of one write.
type chunk struct {
	data      []byte
	arrivesAt time.Time
}

// buffer is the data in flight to an endpoint.
type buffer struct {
	mutex    sync.Mutex
	chunks   []chunk
	closed   bool
	appended chan struct{}
}

func newBuffer() *buffer { return &buffer{appended: make(chan struct{})} }

func (buffer *buffer) wake() {
	close(buffer.appended)
	buffer.appended = make(chan struct{})
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

// Read returns data whose delay has passed. It waits until there is some, the connection ends or
// the deadline passes.
func (endpoint *endpoint) Read(target []byte) (int, error) {
	for {
		state, err := endpoint.takeArrived(target)
		if state.count > 0 || err != nil {
			return state.count, err
		}
		if err := endpoint.await(state); err != nil {
			return 0, err
		}
	}
}

// await returns nil once the state that takeArrived reported may have changed, or an error if the
// deadline has passed or this side was closed.
func (endpoint *endpoint) await(state arrivalState) error {
	endpoint.mutex.Lock()
	deadline := endpoint.deadline
	if endpoint.deadlineChanged == nil {
		endpoint.deadlineChanged = make(chan struct{})
	}
	deadlineChanged := endpoint.deadlineChanged
	endpoint.mutex.Unlock()
	var expired <-chan time.Time
	if !deadline.IsZero() {
		remaining := time.Until(deadline)
		if remaining <= 0 {
			return os.ErrDeadlineExceeded
		}
		timer := time.NewTimer(remaining)
		defer timer.Stop()
		expired = timer.C
	}
	var arrival <-chan time.Time
	if state.wait > 0 {
		timer := time.NewTimer(state.wait)
		defer timer.Stop()
		arrival = timer.C
	}
	select {
	case <-arrival:
	case <-state.changed:
	case <-state.appended:
	case <-deadlineChanged:
	case <-expired:
		return os.ErrDeadlineExceeded
	case <-endpoint.done:
		return net.ErrClosed
	}
	return nil
}

// arrivalState is the result of takeArrived: the number of bytes that it read and, if there were
// none, what the reader has to wait for.
type arrivalState struct {
	count    int
	wait     time.Duration // until the next chunk arrives; 0 if none is in flight
	changed  chan struct{} // closed when the state of a link or host changes
	appended chan struct{} // closed when the peer sends data or closes the connection
}

// takeArrived reads from the first chunk if it has arrived, without waiting.
func (endpoint *endpoint) takeArrived(target []byte) (state arrivalState, err error) {
	endpoint.network.mutex.Lock()
	reachable, changed := endpoint.network.reachable(endpoint.peer.host, endpoint.host), endpoint.network.changed
	endpoint.network.mutex.Unlock()
	incoming := endpoint.incoming
	incoming.mutex.Lock()
	defer incoming.mutex.Unlock()
	state = arrivalState{changed: changed, appended: incoming.appended}
	if !reachable {
		return state, nil
	}
	if len(incoming.chunks) == 0 {
		if incoming.closed {
			err = io.EOF
		}
		return state, err
	}
	if wait := time.Until(incoming.chunks[0].arrivesAt); wait > 0 {
		state.wait = wait
		return state, nil
	}
	state.count = copy(target, incoming.chunks[0].data)
	if incoming.chunks[0].data = incoming.chunks[0].data[state.count:]; len(incoming.chunks[0].data) == 0 {
		incoming.chunks = incoming.chunks[1:]
	}
	return state, nil
}

// Idle reports whether no data has arrived and the peer has not closed the connection. If data has
// arrived, a byte of it is consumed.
func (endpoint *endpoint) Idle() bool {
	var scratch [1]byte
	state, err := endpoint.takeArrived(scratch[:])
	return state.count == 0 && err == nil
}

// Write sends data. It blocks only while its host is frozen.
func (endpoint *endpoint) Write(data []byte) (int, error) {
	endpoint.network.awaitThawed(endpoint.host, endpoint.done)
	select {
	case <-endpoint.done:
		return 0, net.ErrClosed
	case <-endpoint.peer.done:
		return 0, errors.New("connection reset")
	default:
	}
	endpoint.network.mutex.Lock()
	delay := 200*time.Microsecond + time.Duration(endpoint.network.random.IntN(800))*time.Microsecond + endpoint.network.extraDelays[[2]string{endpoint.host, endpoint.peer.host}]
	endpoint.network.sentBytes[endpoint.host] += int64(len(data))
	endpoint.network.sentWrites[endpoint.host]++
	endpoint.network.mutex.Unlock()
	outgoing := endpoint.peer.incoming
	outgoing.mutex.Lock()
	defer outgoing.mutex.Unlock()
	arrivesAt := time.Now().Add(delay)
	if last := len(outgoing.chunks) - 1; last >= 0 && arrivesAt.Before(outgoing.chunks[last].arrivesAt) {
		arrivesAt = outgoing.chunks[last].arrivesAt
	}
	outgoing.chunks = append(outgoing.chunks, chunk{data: append([]byte{}, data...), arrivesAt: arrivesAt})
	outgoing.wake()
	return len(data), nil
}

// Close closes the connection. The peer can still read what was sent before, but not
// write.
func (endpoint *endpoint) Close() error {
	endpoint.once.Do(func() {
		close(endpoint.done)
		endpoint.network.mutex.Lock()
		delete(endpoint.network.endpoints, endpoint)
		endpoint.network.mutex.Unlock()
		outgoing := endpoint.peer.incoming
		outgoing.mutex.Lock()
		outgoing.closed = true
		outgoing.wake()
		outgoing.mutex.Unlock()
	})
	return nil
}

// LocalAddr returns this side's address.
func (endpoint *endpoint) LocalAddr() net.Addr { return endpoint.local }

// RemoteAddr returns the other side's address.
func (endpoint *endpoint) RemoteAddr() net.Addr { return endpoint.remote }

// SetReadDeadline sets the deadline of reads.
func (endpoint *endpoint) SetReadDeadline(deadline time.Time) error {
	endpoint.mutex.Lock()
	endpoint.deadline = deadline
	if endpoint.deadlineChanged != nil {
		close(endpoint.deadlineChanged)
		endpoint.deadlineChanged = nil
	}
	endpoint.mutex.Unlock()
	return nil
}

// SetDeadline is the same as SetReadDeadline, as writes have no deadline.
func (endpoint *endpoint) SetDeadline(deadline time.Time) error {
	return endpoint.SetReadDeadline(deadline)
}

// SetWriteDeadline does nothing, as writes have no deadline.
func (*endpoint) SetWriteDeadline(time.Time) error { return nil }
