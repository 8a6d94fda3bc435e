package link

import (
	"context"
	"net"
	"sync"
	"time"
)

// Client asks other processes, over one connection to each.
type Client struct {
	network     Network
	mutex       sync.Mutex
	connections map[string]*clientConnection
	closed      context.Context
	close       context.CancelFunc
}

// NewClient makes a caller on a network.
//
//	caller := link.NewClient(link.TCP{})
func NewClient(network Network) *Client {
	client := &Client{network: network, connections: map[string]*clientConnection{}}
	client.closed, client.close = context.WithCancel(context.Background())
	return client
}

func (client *Client) connect(ctx context.Context, address string) (*clientConnection, error) {
	client.mutex.Lock()
	conn, found := client.connections[address]
	if found && conn.isClosed() {
		found = false
	}
	if !found {
		conn = &clientConnection{ready: make(chan struct{})}
		client.connections[address] = conn
		go client.dialConnection(conn, address)
	}
	client.mutex.Unlock()
	select {
	case <-conn.ready:
		return conn, conn.dialErr
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

const (
	dialTimeout = 2 * time.Second
	// minDialAttempt is how long the first try to connect may take; each further one may take
	// twice as long, up to maxDialAttempt: a try that began before a cut was mended is all
	// that a node may have to wait for.
	minDialAttempt = 250 * time.Millisecond
	maxDialAttempt = 500 * time.Millisecond
)

// dialWithRetries connects by several tries: an opening packet that was swallowed, by a machine that
// was still without power or by a full queue, is sent again by the system only after a
// second or more.
func (client *Client) dialWithRetries(ctx context.Context, address string) (net.Conn, error) {
	for timeout := minDialAttempt; ; timeout = min(2*timeout, maxDialAttempt) {
		attempt, cancel := context.WithTimeout(ctx, timeout)
		stream, err := client.network.Dial(attempt, address)
		expired := attempt.Err() != nil
		cancel()
		if err == nil || !expired || ctx.Err() != nil {
			return stream, err
		}
	}
}

func (client *Client) dialConnection(conn *clientConnection, address string) {
	ctx, cancel := context.WithTimeout(client.closed, dialTimeout)
	defer cancel()
	stream, err := client.dialWithRetries(ctx, address)
	if err == nil && client.closed.Err() != nil {
		stream.Close()
		err = client.closed.Err()
	}
	if err != nil {
		conn.dialErr = err
		client.remove(address, conn)
		close(conn.ready)
		return
	}
	conn.stream, conn.writer = stream, &frameWriter{stream: stream, queued: []byte(preamble)}
	conn.flushRequested, conn.done, conn.calls = make(chan struct{}, 1), make(chan struct{}), map[uint64]chan []byte{}
	conn.lastReceived.Store(int64(time.Since(clockStart)))
	go conn.readLoop()
	go conn.writeLoop()
	close(conn.ready)
}

func (client *Client) remove(address string, conn *clientConnection) {
	client.mutex.Lock()
	if client.connections[address] == conn {
		delete(client.connections, address)
	}
	client.mutex.Unlock()
}

// Drop closes the connection to an address, so that the next call dials anew. A
// call that ran out of time uses it: the other side may be frozen or gone.
//
//	caller.Drop("10.0.0.7:7000")
func (client *Client) Drop(address string) {
	client.mutex.Lock()
	conn := client.connections[address]
	delete(client.connections, address)
	client.mutex.Unlock()
	if conn != nil {
		go conn.close()
	}
}

// DropIfSilent is Drop unless something came from there lately: then the other side is
// only slow, and others may wait for answers on the same connection.
//
//	caller.DropIfSilent("10.0.0.7:7000", time.Second)
func (client *Client) DropIfSilent(address string, timeout time.Duration) {
	client.mutex.Lock()
	conn := client.connections[address]
	client.mutex.Unlock()
	if conn == nil {
		return
	}
	select {
	case <-conn.ready:
	default:
		return // a dial ends by itself
	}
	if conn.dialErr == nil && time.Since(clockStart)-time.Duration(conn.lastReceived.Load()) < timeout {
		return
	}
	client.remove(address, conn)
	conn.close()
}

// Close ends all connections.
//
//	defer caller.Close()
func (client *Client) Close() {
	client.close()
	client.mutex.Lock()
	connections := client.connections
	client.connections = map[string]*clientConnection{}
	client.mutex.Unlock()
	for _, conn := range connections {
		conn.close()
	}
}
