// Package link carries queries between yardrock processes by Cap'n Proto's own
// remote calls, over any network that can dial and listen.
package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"capnproto.org/go/capnp/v3"
	"capnproto.org/go/capnp/v3/rpc"

	"yardrock.example/system/mishap"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// Network is where processes reach each other.
type Network interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
	Listen(address string) (net.Listener, error)
}

// TCP is the real network.
type TCP struct {
	// From is the IP that connections come from; "" leaves it to the system.
	From string
	// Listens tells where to listen instead, for addresses that others reach in a
	// roundabout way.
	Listens map[string]string
	// Silence is how long the other side may leave unanswered what its system should
	// answer at once, before a dialled connection counts as broken: a cut or a machine
	// without power says nothing. Zero leaves it to the system, which waits for minutes.
	// It does not hold for accepted connections, as some systems also count the time for
	// which a caller reads nothing.
	Silence time.Duration
}

// keepAlive has the system ask a silent other side whether it is still there.
func (network TCP) keepAlive() net.KeepAliveConfig {
	if network.Silence <= 0 {
		return net.KeepAliveConfig{}
	}
	return net.KeepAliveConfig{Enable: true, Idle: max(network.Silence/2, time.Second), Interval: time.Second, Count: max(1, int(network.Silence/time.Second))}
}

// control sets how long what was sent may stay unanswered. Like the options of
// keep-alive it is no reason not to connect, if the system lacks it.
func (network TCP) control(_, _ string, socket syscall.RawConn) error {
	if network.Silence <= 0 {
		return nil
	}
	return socket.Control(func(descriptor uintptr) { setSilence(int(descriptor), network.Silence) })
}

// Dial connects by IP and port.
//
//	connection, err := link.TCP{}.Dial(ctx, "127.0.0.1:7000")
func (network TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{Control: network.control, KeepAliveConfig: network.keepAlive()}
	if from := net.ParseIP(network.From); from != nil && !from.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: from}
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// Listen opens a port.
//
//	listener, err := link.TCP{}.Listen("127.0.0.1:7000")
func (network TCP) Listen(address string) (net.Listener, error) {
	if other, found := network.Listens[address]; found {
		address = other
	}
	return net.Listen("tcp", address)
}

// Handler answers one query.
type Handler func(ctx context.Context, query *wire.Query) *wire.Reply

// Caller asks other processes, over one connection to each.
type Caller struct {
	network Network
	mutex   sync.Mutex
	lines   map[string]*connection
	closed  context.Context
	close   context.CancelFunc
}

type connection struct {
	ready  chan struct{}
	stream net.Conn
	rpc    *rpc.Conn
	node   schema.Node
	failed error
}

// NewCaller makes a caller on a network.
//
//	caller := link.NewCaller(link.TCP{})
func NewCaller(network Network) *Caller {
	caller := &Caller{network: network, lines: map[string]*connection{}}
	caller.closed, caller.close = context.WithCancel(context.Background())
	return caller
}

func (caller *Caller) connect(ctx context.Context, address string) (*connection, error) {
	caller.mutex.Lock()
	line, found := caller.lines[address]
	if found && line.dead() {
		found = false
	}
	if !found {
		line = &connection{ready: make(chan struct{})}
		caller.lines[address] = line
		go caller.open(line, address)
	}
	caller.mutex.Unlock()
	select {
	case <-line.ready:
		return line, line.failed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

const dialPatience = 2 * time.Second

func (caller *Caller) open(line *connection, address string) {
	ctx, cancel := context.WithTimeout(caller.closed, dialPatience)
	defer cancel()
	stream, err := caller.network.Dial(ctx, address)
	if err == nil && caller.closed.Err() != nil {
		stream.Close()
		err = caller.closed.Err()
	}
	if err != nil {
		line.failed = err
		caller.forget(address, line)
		close(line.ready)
		return
	}
	line.stream = stream
	line.rpc = rpc.NewConn(rpc.NewStreamTransport(stream), nil)
	line.node = schema.Node(line.rpc.Bootstrap(context.Background()))
	close(line.ready)
}

func (line *connection) dead() bool {
	select {
	case <-line.ready:
	default:
		return false
	}
	if line.failed != nil {
		return true
	}
	select {
	case <-line.rpc.Done():
		return true
	default:
		return false
	}
}

func (caller *Caller) forget(address string, line *connection) {
	caller.mutex.Lock()
	if caller.lines[address] == line {
		delete(caller.lines, address)
	}
	caller.mutex.Unlock()
}

// Drop closes the connection to an address, so that the next call dials anew. A
// call that ran out of time uses it: the other side may be frozen or gone.
//
//	caller.Drop("10.0.0.7:7000")
func (caller *Caller) Drop(address string) {
	caller.mutex.Lock()
	line := caller.lines[address]
	delete(caller.lines, address)
	caller.mutex.Unlock()
	if line != nil {
		go line.close()
	}
}

func (line *connection) close() {
	<-line.ready
	if line.failed == nil {
		line.stream.Close() // first, or the library waits for what it still has to write
		line.rpc.Close()
	}
}

// Close ends all connections.
//
//	defer caller.Close()
func (caller *Caller) Close() {
	caller.close()
	caller.mutex.Lock()
	lines := caller.lines
	caller.lines = map[string]*connection{}
	caller.mutex.Unlock()
	for _, line := range lines {
		line.close()
	}
}

// Call asks one process and gives its reply, or its typed failure. A failure
// marked NeverSent provably left nothing at the other side.
//
//	reply, err := caller.Call(ctx, "10.0.0.7:7000", &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}})
func (caller *Caller) Call(ctx context.Context, address string, query *wire.Query) (*wire.Reply, error) {
	line, err := caller.connect(ctx, address)
	if err != nil {
		return nil, &mishap.Mishap{Kind: mishap.Unavailable, Message: "cannot reach " + address + ": " + err.Error(), Remedy: "check that the process runs and that its address is right", NeverSent: true, NobodyThere: errors.Is(err, syscall.ECONNREFUSED)}
	}
	query.Version = wire.Version
	// The library's own waits do not all end with the context: a sibling that
	// reads nothing would hold the caller for ever.
	done := make(chan answered, 1)
	go func() { done <- line.ask(ctx, address, query) }()
	select {
	case got := <-done:
		if got.reply == nil && line.dead() {
			caller.forget(address, line)
		}
		return got.reply, got.err
	case <-ctx.Done():
		return nil, mishap.New(mishap.Unavailable, "no answer in time from "+address, "ask again; whether the query arrived is not known")
	}
}

type answered struct {
	reply *wire.Reply
	err   error
}

func (line *connection) ask(ctx context.Context, address string, query *wire.Query) answered {
	future, release := line.node.Deliver(ctx, func(params schema.Node_deliver_Params) error {
		target, err := params.NewQuery()
		if err != nil {
			return err
		}
		err = wire.PutQuery(target, query)
		countAsked(query.Which, params.Message())
		return err
	})
	defer release()
	results, err := future.Struct()
	if err != nil {
		return answered{err: mishap.New(mishap.Unavailable, "no answer from "+address+": "+err.Error(), "ask again; whether the query arrived is not known")}
	}
	source, err := results.Reply()
	if err != nil {
		return answered{err: mishap.New(mishap.Unavailable, "bad answer from "+address+": "+err.Error(), "run matching versions of the programs")}
	}
	countReply(query.Which, source.Message())
	reply, err := wire.TakeReply(source)
	if err != nil {
		return answered{err: mishap.New(mishap.Unavailable, "bad answer from "+address+": "+err.Error(), "run matching versions of the programs")}
	}
	return answered{reply, reply.Err()}
}

// Server answers queries that come over a listener.
type Server struct {
	listener net.Listener
	handler  Handler
	mutex    sync.Mutex
	open     map[*rpc.Conn]net.Conn
	closed   bool
	done     sync.WaitGroup
}

// Serve starts answering.
//
//	server := link.Serve(listener, node.Answer)
//	defer server.Close()
func Serve(listener net.Listener, handler Handler) *Server {
	server := &Server{listener: listener, handler: handler, open: map[*rpc.Conn]net.Conn{}}
	server.done.Add(1)
	go server.accept()
	return server
}

func (server *Server) accept() {
	defer server.done.Done()
	for {
		stream, err := server.listener.Accept()
		if err != nil {
			return
		}
		line := rpc.NewConn(rpc.NewStreamTransport(stream), &rpc.Options{BootstrapClient: capnp.Client(schema.Node_ServerToClient(server))})
		server.mutex.Lock()
		if server.closed {
			server.mutex.Unlock()
			line.Close()
			return
		}
		server.open[line] = stream
		server.mutex.Unlock()
		server.done.Add(1)
		go func() {
			defer server.done.Done()
			<-line.Done()
			server.mutex.Lock()
			delete(server.open, line)
			server.mutex.Unlock()
		}()
	}
}

// Deliver is what Cap'n Proto calls for each query.
//
//	err := server.Deliver(ctx, call)
func (server *Server) Deliver(ctx context.Context, call schema.Node_deliver) error {
	source, err := call.Args().Query()
	if err != nil {
		return err
	}
	countAnswered(source.Which(), source.Message())
	query, err := wire.TakeQuery(source)
	if err != nil {
		return err
	}
	call.Go()
	reply := server.answer(ctx, query)
	results, err := call.AllocResults()
	if err != nil {
		return err
	}
	target, err := results.NewReply()
	if err != nil {
		return err
	}
	err = wire.PutReply(target, reply)
	countSent(query.Which, target.Message())
	return err
}

func (server *Server) answer(ctx context.Context, query *wire.Query) *wire.Reply {
	if query.Version > wire.Version {
		return wire.Failed(mishap.New(mishap.FormatTooNew, "the query is of a newer form", "update this process to the version of its siblings"))
	}
	reply := server.handler(ctx, query)
	if query.Status != nil && query.Status.Traffic && reply.Status != nil {
		reply.Status.Traffic = Traffic()
	}
	return reply
}

// Close stops answering and ends all connections.
//
//	server.Close()
func (server *Server) Close() {
	server.listener.Close()
	server.mutex.Lock()
	server.closed = true
	lines := server.open
	server.open = map[*rpc.Conn]net.Conn{}
	server.mutex.Unlock()
	for line, stream := range lines {
		stream.Close()
		line.Close()
	}
	server.done.Wait()
}
