package link

import (
	"context"
	"net"
	"sync"
	"time"
)

// Client calls other processes. It owns one connection to each address, with two goroutines;
// they end with the connection or with Close. Its methods may be called concurrently.
type Client struct {
	network     Network
	mutex       sync.Mutex
	connections map[string]*clientConnection
	closed      context.Context // ends with Close
	close       context.CancelFunc
}

// NewClient makes a client of a network.
//
//	client := link.NewClient(link.TCP{})
func NewClient(network Network) *Client {
	client := &Client{network: network, connections: map[string]*clientConnection{}}
	client.closed, client.close = context.WithCancel(context.Background())
	return client
}

// connect gives the open connection to an address, and dials if there is none. Calls that come
// meanwhile wait for the same dial, which goes on when one of them is cancelled.
func (client *Client) connect(ctx context.Context, address string) (*clientConnection, error) {
	client.mutex.Lock()
	conn, found := client.connections[address]
	if found && conn.isClosed() {
		found = false
	}
	if !found {
		conn = &clientConnection{ready: make(chan struct{})}
		client.connections[address] = conn
		go client.dialConnection(conn, address) // ends with dialTimeout or Close
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
	// dialTimeout bounds all attempts to connect together.
	dialTimeout = 2 * time.Second
	// minDialAttempt bounds the first attempt; each further one may take twice as long, up to
	// maxDialAttempt. An attempt that began before the other side was back is all that a call
	// may have to wait for.
	minDialAttempt = 250 * time.Millisecond
	maxDialAttempt = 500 * time.Millisecond
)

// dialWithRetries connects in several short attempts. The system sends a lost SYN again only
// after a second or more; a SYN is lost when the other machine is still starting, or its accept
// queue is full. An attempt that the other side rejects is not repeated.
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

// dialConnection opens a connection, or removes it with the error. Either makes it ready.
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
	conn.start(stream)
}

// remove forgets a connection, so that the next call dials, unless that has happened already.
func (client *Client) remove(address string, conn *clientConnection) {
	client.mutex.Lock()
	if client.connections[address] == conn {
		delete(client.connections, address)
	}
	client.mutex.Unlock()
}

// Drop closes the connection to an address, so that the next call dials. It is for callers
// whose call timed out, as the other side may be frozen or gone. Calls in flight on the
// connection fail. It does not wait for a dial that is under way.
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

// DropIfSilent is Drop unless a frame came from there within the timeout: then the other side
// is only slow with one call, and other calls on the connection may still be answered.
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
		return // a dial has a timeout of its own
	}
	if conn.dialErr == nil && time.Since(clockStart)-time.Duration(conn.lastReceived.Load()) < timeout {
		return
	}
	client.remove(address, conn)
	conn.close()
}

// Close ends all connections and dials. Calls in flight and later ones fail.
//
//	defer client.Close()
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
