package link

import (
	"context"
	"net"
	"sync"
	"time"
)

// Client calls other processes. It owns at most one connection per address, each with two
// goroutines, which end with the connection or on Close. It is safe for concurrent use.
type Client struct {
	network     Network
	mutex       sync.Mutex
	connections map[string]*clientConnection
	ctx         context.Context // cancelled by Close
	cancel      context.CancelFunc
}

// NewClient returns a client that dials over a network.
//
//	client := link.NewClient(link.TCP{})
func NewClient(network Network) *Client {
	client := &Client{network: network, connections: map[string]*clientConnection{}}
	client.ctx, client.cancel = context.WithCancel(context.Background())
	return client
}

// connect returns the open connection to an address, dialling if there is none. Concurrent
// calls share one dial, which continues if one of them is cancelled.
func (client *Client) connect(ctx context.Context, address string) (*clientConnection, error) {
	client.mutex.Lock()
	conn, found := client.connections[address]
	if found && conn.isClosed() {
		found = false
	}
	if !found {
		conn = &clientConnection{ready: make(chan struct{})}
		client.connections[address] = conn
		go client.dialConnection(conn, address) // bounded by dialTimeout and Close
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
	// dialTimeout bounds a dial, including all of its attempts.
	dialTimeout = 2 * time.Second
	// minDialAttempt is the timeout of the first attempt. It doubles with each attempt, up to
	// maxDialAttempt, which bounds the added latency of a call to a peer that has just come up.
	minDialAttempt = 250 * time.Millisecond
	maxDialAttempt = 500 * time.Millisecond
)

// dialWithRetries dials in several short attempts, as the kernel retransmits a lost SYN only
// after a second or more. SYNs are lost while the peer's machine is starting or its accept queue
// is full. Only attempts that time out are retried.
func (client *Client) dialWithRetries(ctx context.Context, address string) (net.Conn, error) {
	for timeout := minDialAttempt; ; timeout = min(2*timeout, maxDialAttempt) {
		attemptCtx, cancel := context.WithTimeout(ctx, timeout)
		stream, err := client.network.Dial(attemptCtx, address)
		timedOut := attemptCtx.Err() != nil
		cancel()
		if err == nil || !timedOut || ctx.Err() != nil {
			return stream, err
		}
	}
}

// dialConnection dials and starts a connection. On failure it records the error and removes the
// connection. Either way it closes conn.ready.
func (client *Client) dialConnection(conn *clientConnection, address string) {
	ctx, cancel := context.WithTimeout(client.ctx, dialTimeout)
	defer cancel()
	stream, err := client.dialWithRetries(ctx, address)
	if err == nil && client.ctx.Err() != nil {
		stream.Close()
		err = client.ctx.Err()
	}
	if err != nil {
		conn.dialErr = err
		client.remove(address, conn)
		close(conn.ready)
		return
	}
	conn.start(stream)
}

// remove removes a connection from the map, so that the next call dials. It does nothing if
// another connection has taken its place.
func (client *Client) remove(address string, conn *clientConnection) {
	client.mutex.Lock()
	if client.connections[address] == conn {
		delete(client.connections, address)
	}
	client.mutex.Unlock()
}

// Drop closes the connection to an address, so that the next call dials. Callers use it after a
// timeout, as the peer may be hung or gone. Calls in flight on the connection fail. Drop does
// not wait for a dial in progress.
//
//	client.Drop("10.0.0.7:7000")
func (client *Client) Drop(address string) {
	client.mutex.Lock()
	conn := client.connections[address]
	delete(client.connections, address)
	client.mutex.Unlock()
	if conn != nil {
		go conn.close() // waits for the dial, which dialTimeout bounds
	}
}

// DropIfSilent is like Drop, but keeps the connection if a frame was received on it within the
// timeout: then the peer is only slow to reply to one call, and other calls may still succeed.
// It does nothing while a dial is in progress.
//
//	client.DropIfSilent("10.0.0.7:7000", time.Second)
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
		return // dialTimeout bounds the dial
	}
	if conn.dialErr == nil && time.Since(clockStart)-time.Duration(conn.lastReceived.Load()) < timeout {
		return
	}
	client.remove(address, conn)
	conn.close()
}

// Close closes all connections and cancels all dials. Calls in flight and later calls fail.
//
//	defer client.Close()
func (client *Client) Close() {
	client.cancel()
	client.mutex.Lock()
	connections := client.connections
	client.connections = map[string]*clientConnection{}
	client.mutex.Unlock()
	for _, conn := range connections {
		conn.close()
	}
}
