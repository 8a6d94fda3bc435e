package runnerpool

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"yardrock.example/system/apierror"
)

// singleWriteBytes is the size up to which a request is sent in one write before the
// response is read. A longer one is written while the response is read, because a runner
// that responds early may never read the rest.
const singleWriteBytes = 16 << 10

// pastDeadline is set as the deadline of a connection to interrupt its reads and writes.
var pastDeadline = time.Unix(1, 0)

// roundTrip is the exchange of one request and its response on one connection.
type roundTrip struct {
	pool       *Pool
	connection *persistentConnection
	request    *Request
	ctx        context.Context
	// stopWatch stops watching ctx. It returns false if ctx ended first; the connection must
	// not be reused then. It is nil if ctx cannot end.
	stopWatch func() bool
	writing   chan writeResult // receives the result of a background write; nil if there is none
	written   writeResult
	stray     bool // a response to another request was received
}

// writeResult is the result of writing a request.
type writeResult struct {
	count int64
	err   error
}

// Send sends a request and returns once the head of its response has been read. The
// response must be closed, and until then the body of the request must not change: a
// runner may respond before it has read it.
//
// Every error is an *apierror.Error:
//
//   - NeverSent is set: no byte of the request was accepted by a connection. If Lost is
//     set too, the runner is at fault. If not, the error says nothing about the runner:
//     all connections are in use, the pool is closed or the deadline passed (Unavailable),
//     BeforeSend returned the error, ctx ended (Cancelled), or the request is malformed
//     (Invalid).
//   - Kind NotRun: the runner states that the request did not run and never will.
//     Misdirected is set if another runner now has the address. The response is returned
//     too, with status, headers and load; it has no body and need not be closed.
//   - Lost is set: the connection was closed or reset, or carried something that is not the
//     response. The request may have run.
//   - Kind Cancelled: ctx ended. The request may have run.
//   - Kind Unknown: the deadline passed. The request may have run.
//   - Kind RunnerFailure without Lost: the response has a content encoding, which is not
//     supported.
//
// Example:
//
//	response, err := pool.Send(ctx, runnerpool.Request{Runner: runner, MaxConnections: 8, Method: "POST", Target: "/turn", Host: "agents.example", Body: [][]byte{body}, ID: id, Deadline: deadline})
//	if err != nil {
//		return err
//	}
//	defer response.Close()
func (pool *Pool) Send(ctx context.Context, request Request) (*Response, error) {
	if err := validate(&request); err != nil {
		return nil, err
	}
	for {
		if ctx.Err() != nil {
			return nil, cancelled(ctx, request.Runner.Address, true)
		}
		if _, err := millisecondsLeft(&request); err != nil {
			return nil, err
		}
		connection, err := pool.acquire(ctx, &request)
		if err != nil {
			return nil, err
		}
		trip := &roundTrip{pool: pool, connection: connection, request: &request, ctx: ctx}
		response, retry, err := trip.run()
		if !retry {
			return response, err
		}
	}
}

// run sends the request and reads the head of the response. It asks for a retry if a
// reused connection turned out to be dead before it accepted a byte. Several idle
// connections may be dead; each retry removes one from the pool.
func (trip *roundTrip) run() (response *Response, retry bool, err error) {
	connection, request := trip.connection, trip.request
	connection.attachBuffers()
	length := bodyLength(request)
	head, err := trip.pool.appendHead(connection.buffers.writes, request, length)
	if err != nil {
		trip.returnUnused()
		return nil, false, err
	}
	connection.buffers.writes = head
	if trip.ctx.Err() != nil {
		trip.returnUnused()
		return nil, false, cancelled(trip.ctx, request.Runner.Address, true)
	}
	if trip.ctx.Done() != nil {
		trip.stopWatch = context.AfterFunc(trip.ctx, func() { connection.SetDeadline(pastDeadline) })
	}
	if request.BeforeSend != nil {
		if err := request.BeforeSend(); err != nil {
			trip.returnUnused()
			unsent := *apierror.Of(err) // a copy, so that the caller's error is not modified
			unsent.NeverSent = true
			return nil, false, &unsent
		}
	}
	trip.write(length)
	if trip.written.err != nil && trip.written.count == 0 {
		failed := trip.connectionError(trip.written.err)
		if failed.Lost && connection.reused {
			trip.abort()
			return nil, true, nil
		}
		failed.NeverSent = true
		trip.abort()
		return nil, false, failed
	}
	if connection.reused {
		trip.pool.reuses.Add(1)
	}
	return trip.readResponse()
}

// write writes head and body: in one write if they are short, otherwise in the
// background.
func (trip *roundTrip) write(length int64) {
	connection := trip.connection
	if int64(len(connection.buffers.writes))+length <= singleWriteBytes {
		for _, part := range trip.request.Body {
			connection.buffers.writes = append(connection.buffers.writes, part...)
		}
		count, err := connection.Conn.Write(connection.buffers.writes)
		trip.written = writeResult{int64(count), err}
		return
	}
	parts := make(net.Buffers, 0, 1+len(trip.request.Body))
	parts = append(parts, connection.buffers.writes)
	parts = append(parts, trip.request.Body...)
	trip.writing = make(chan writeResult, 1)
	// The goroutine ends with the write, which abort interrupts by closing the connection.
	// The channel is buffered, so that sending the result never blocks.
	go func() {
		count, err := parts.WriteTo(connection.Conn)
		trip.writing <- writeResult{count, err}
	}()
}

// writeDone reports whether the write of the request has ended, with or without an error.
func (trip *roundTrip) writeDone() bool {
	if trip.writing == nil {
		return true
	}
	select {
	case trip.written = <-trip.writing:
		trip.writing = nil
		return true
	default:
		return false
	}
}

// readResponse reads the head of the response and classifies it. retry is as in run.
func (trip *roundTrip) readResponse() (response *Response, retry bool, err error) {
	head, err := trip.readHead()
	if err != nil {
		failed := trip.connectionError(err)
		trip.abort()
		failed.NeverSent = trip.written.err != nil && trip.written.count == 0
		return nil, failed.NeverSent && failed.Lost && trip.connection.reused, failed
	}
	address := trip.request.Runner.Address
	response = trip.newResponse(head)
	notRun := trip.pool.headers.NotRun != "" && len(head.Header[trip.pool.headers.NotRun]) > 0
	misdirected := head.StatusCode == http.StatusMisdirectedRequest
	removeHopByHop(head.Header)
	if misdirected || notRun && head.StatusCode >= 400 {
		response.drainRejection()
		return response, false, &apierror.Error{Kind: apierror.NotRun, Message: "runner " + address + " rejected the request: " + head.Status, Remedy: "retry later", RetryAfter: parseRetryAfter(head.Header), Misdirected: misdirected}
	}
	if coding := head.Header["Content-Encoding"]; !isUnencoded(coding) {
		trip.abort()
		return nil, false, &apierror.Error{Kind: apierror.RunnerFailure, Message: "runner " + address + " responded with content encoding " + strings.Join(coding, ", "), Remedy: "configure the runner to respond without a content encoding"}
	}
	return response, false, nil
}

// returnUnused returns the connection, to which nothing was written, to the pool.
func (trip *roundTrip) returnUnused() {
	trip.connection.releaseBuffers()
	if trip.stopWatch != nil && !trip.stopWatch() {
		trip.pool.discard(trip.connection)
		return
	}
	trip.pool.put(trip.connection)
}

// abort closes the connection, which interrupts a background write, and waits for that.
func (trip *roundTrip) abort() {
	if trip.stopWatch != nil {
		trip.stopWatch()
	}
	trip.connection.Close()
	if trip.writing != nil {
		trip.written = <-trip.writing
		trip.writing = nil
	}
	trip.connection.releaseBuffers()
	trip.pool.release(trip.connection.runner)
}
