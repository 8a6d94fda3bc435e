package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"yardrock.example/system/apierror"
	"yardrock.example/system/wire"
)

// Handler answers one query.
type Handler func(ctx context.Context, query *wire.Query) *wire.Reply

// Server answers queries that come over a listener.
type Server struct {
	listener net.Listener
	handler  Handler
	// idleWorkers takes tasks for goroutines that have done theirs and wait for another.
	idleWorkers chan task
	idleCount   atomic.Int32
	closing     chan struct{}

	mutex       sync.Mutex
	connections map[net.Conn]bool
	closed      bool
	goroutines  sync.WaitGroup
}

// maxIdleWorkers is how many goroutines wait for another query.
const maxIdleWorkers = 16

// Serve starts answering.
//
//	server := link.Serve(listener, node.Answer)
//	defer server.Close()
func Serve(listener net.Listener, handler Handler) *Server {
	server := &Server{listener: listener, handler: handler, connections: map[net.Conn]bool{}, idleWorkers: make(chan task), closing: make(chan struct{})}
	server.goroutines.Go(server.acceptLoop)
	return server
}

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

// task is one query to be answered.
type task struct {
	conn    *serverConnection
	context context.Context
	frame   frame
}

// dispatch has a task done by a goroutine that waits for one, or by a new one.
func (server *Server) dispatch(next task) {
	select {
	case server.idleWorkers <- next:
	default:
		go server.runWorker(next)
	}
}

func (server *Server) runWorker(next task) {
	for {
		next.conn.handleQuery(next.context, next.frame)
		if server.idleCount.Add(1) > maxIdleWorkers {
			server.idleCount.Add(-1)
			return
		}
		select {
		case next = <-server.idleWorkers:
			server.idleCount.Add(-1)
		case <-server.closing:
			return
		}
	}
}

func (server *Server) handle(ctx context.Context, query *wire.Query) *wire.Reply {
	if query.Version > wire.Version {
		return wire.ErrorReply(apierror.New(apierror.FormatTooNew, "the query is of a newer form", "update this process to the version of its peers"))
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
