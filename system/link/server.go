package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"yardrock.example/system/apierror"
	"yardrock.example/system/wire"
)

// Handler handles one query and returns the reply, which must not be nil. The context is
// cancelled when the client cancels the call or the connection ends. For a notification it is
// cancelled only when the connection ends, and the reply is dropped.
type Handler func(ctx context.Context, query *wire.Query) *wire.Reply

// Server serves queries on the connections of a listener. It owns the listener, an accept
// goroutine, one goroutine per connection, and worker goroutines that handle queries. Workers
// are reused, as growing the stack of a new goroutine for each query is expensive.
type Server struct {
	listener net.Listener
	handler  Handler
	// tasks is unbuffered: a send succeeds only if a worker is idle.
	tasks           chan task
	idleWorkerCount atomic.Int32
	closing         chan struct{} // closed by Close; ends idle workers

	mutex       sync.Mutex
	connections map[net.Conn]bool
	closed      bool
	goroutines  sync.WaitGroup
}

// maxIdleWorkers is the number of idle workers that are kept for reuse.
const maxIdleWorkers = 16

// Serve starts a server, which runs until Close is called.
//
//	server := link.Serve(listener, node.Handle)
//	defer server.Close()
func Serve(listener net.Listener, handler Handler) *Server {
	server := &Server{listener: listener, handler: handler, connections: map[net.Conn]bool{}, tasks: make(chan task), closing: make(chan struct{})}
	server.goroutines.Go(server.acceptLoop)
	return server
}

// acceptLoop accepts connections until Accept fails.
func (server *Server) acceptLoop() {
	for {
		stream, err := server.listener.Accept()
		if err != nil {
			return
		}
		server.mutex.Lock()
		if server.closed {
			server.mutex.Unlock()
			stream.Close()
			return
		}
		server.connections[stream] = true
		server.goroutines.Go(func() { server.serveConnection(stream) })
		server.mutex.Unlock()
	}
}

// task is one received query to be handled.
type task struct {
	conn  *serverConnection
	ctx   context.Context
	frame frame
}

// dispatch hands a task to an idle worker, or starts a new one. The number of busy workers is
// not bounded, and nothing waits for them to end, as a handler may run for long.
func (server *Server) dispatch(next task) {
	select {
	case server.tasks <- next:
	default:
		go server.runWorker(next)
	}
}

// runWorker handles a task and then further ones. It returns when it is idle after Close, or when
// maxIdleWorkers others are idle.
func (server *Server) runWorker(next task) {
	for {
		next.conn.handleQuery(next.ctx, next.frame)
		if server.idleWorkerCount.Add(1) > maxIdleWorkers {
			server.idleWorkerCount.Add(-1)
			return
		}
		select {
		case next = <-server.tasks:
			server.idleWorkerCount.Add(-1)
		case <-server.closing:
			return
		}
	}
}

// handle calls the handler. It rejects queries of newer versions, and adds the traffic counters
// to the reply to a status query that requests them.
func (server *Server) handle(ctx context.Context, query *wire.Query) *wire.Reply {
	if query.Version > wire.Version {
		return wire.ErrorReply(apierror.New(apierror.FormatTooNew, "the version of the query is newer than this process supports", "update this process to the version of its peers"))
	}
	reply := server.handler(ctx, query)
	if query.Status != nil && query.Status.Traffic && reply.Status != nil {
		reply.Status.Traffic = Traffic()
	}
	return reply
}

// Close closes the listener and all connections, which cancels the handlers' contexts. It waits
// for the accept and connection goroutines, but not for handlers of queries.
//
//	server.Close()
func (server *Server) Close() {
	server.listener.Close()
	server.mutex.Lock()
	if !server.closed {
		close(server.closing)
	}
	server.closed = true
	for stream := range server.connections {
		stream.Close()
	}
	server.mutex.Unlock()
	server.goroutines.Wait()
}
