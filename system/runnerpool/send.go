package runnerpool

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"yardrock.example/system/apierror"
)

const (
	// singleWriteBytes is the most that is written in one piece before the answer is read. A
	// longer query is written beside the reading, as a runner that answers early may never
	// read it.
	singleWriteBytes = 16 << 10
	// maxRejectionBytes and rejectionTimeout bound what is done to keep the connection after a
	// refusal: the rest of its body is read.
	maxRejectionBytes = 16 << 10
	rejectionTimeout  = 20 * time.Millisecond
)

var (
	pastDeadline = time.Unix(1, 0)
	// asked tell the reader of heads whether a body follows.
	requestByMethod = map[bool]*http.Request{false: {Method: http.MethodGet}, true: {Method: http.MethodHead}}
)

// roundTrip is one query on one connection.
type roundTrip struct {
	pool       *Pool
	connection *persistentConnection
	request    *Request
	ctx        context.Context
	stopWatch  func() bool      // ends the watch over ctx; false if ctx ended first
	writing    chan writeResult // of a query that is written beside the reading
	written    writeResult
	stray      bool // an answer to another query has come
}

type writeResult struct {
	count int64
	err   error
}

// Send has a runner asked, and returns once the head of its answer is there. The reply
// must be closed, and until then the body's parts must stay as they are: a runner may
// answer before it has read them. The errors are of type *apierror.Error:
//
//   - NeverSent: no byte of the query left, or nobody took the connection. Without Lost
//     it tells nothing of the runner: the connections are all out (Unavailable), the look
//     kept the query back, or the query can't be sent (Invalid).
//   - Kind NotRun: the runner vouches that the query did not run and never will;
//     Misdirected if another runner has the address now. The reply, which has no body and
//     needs no Close, tells what the refusal said (status, headers, load).
//   - Lost: the connection was reset or closed, or bore what is no answer to the query,
//     which may have run.
//   - Kind Cancelled: ctx ended; the query may have run unless NeverSent.
//   - Kind Unknown: the deadline passed; the query may have run.
//   - Kind RunnerError without Lost: the answer can't be passed on.
//
// Example:
//
//	reply, err := pool.Send(ctx, runnerpool.Request{Runner: runner, Most: 8, Method: "POST", Target: "/turn", Host: "agents.example", Body: [][]byte{body}, Name: name, Deadline: deadline})
//	if err != nil {
//		return err
//	}
//	defer reply.Close()
func (pool *Pool) Send(ctx context.Context, request Request) (*Response, error) {
	if err := pool.validate(&request); err != nil {
		return nil, err
	}
	for {
		if ctx.Err() != nil {
			return nil, cancelled(request.Runner.Address, true)
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

// run sends the query and reads the head. It tells whether to do it again, as a kept
// connection turned out to be dead before a byte was written to it.
func (trip *roundTrip) run() (response *Response, retry bool, err error) {
	connection, request := trip.connection, trip.request
	connection.attachBuffers()
	length := int64(0)
	for _, part := range request.Body {
		length += int64(len(part))
	}
	head, err := trip.pool.appendHead(connection.buffers.writes, request, length)
	if err != nil {
		trip.returnUnused()
		return nil, false, err
	}
	connection.buffers.writes = head
	if trip.ctx.Err() != nil {
		trip.returnUnused()
		return nil, false, cancelled(request.Runner.Address, true)
	}
	if trip.ctx.Done() != nil {
		trip.stopWatch = context.AfterFunc(trip.ctx, func() { connection.SetDeadline(pastDeadline) })
	}
	if request.BeforeSend != nil {
		if err := request.BeforeSend(); err != nil {
			trip.returnUnused()
			kept := *apierror.Of(err)
			kept.NeverSent = true
			return nil, false, &kept
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

// write sends head and body: in one piece if they are small, else beside the reading.
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
	go func() {
		count, err := parts.WriteTo(connection.Conn)
		trip.writing <- writeResult{count, err}
	}()
}

// writeDone tells whether the query is written, or its writing has failed.
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

// readResponse reads the head of the answer to this query; again is as run gives it.
func (trip *roundTrip) readResponse() (result *Response, retry bool, err error) {
	response, err := trip.readHead()
	if err != nil {
		failed := trip.connectionError(err)
		trip.abort()
		failed.NeverSent = trip.written.err != nil && trip.written.count == 0
		return nil, failed.NeverSent && failed.Lost && trip.connection.reused, failed
	}
	address := trip.request.Runner.Address
	result = &Response{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, trip: trip, body: response.Body}
	result.reusable = !response.Close && !trip.stray && response.ProtoAtLeast(1, 1)
	result.complete, result.closeDelimited = response.Body == http.NoBody, isCloseDelimited(response)
	if reported, found := parseKeepAlive(response.Header); found {
		trip.connection.hasKeepAlive, trip.connection.keepAlive = true, idleTimeoutFor(reported)
		result.reusable = result.reusable && trip.connection.keepAlive > 0
	}
	if name := trip.pool.headers.Load; name != "" {
		result.Load = parseLoad(response.Header.Get(name))
	}
	notRun := trip.pool.headers.NotRun != "" && len(response.Header[trip.pool.headers.NotRun]) > 0
	misdirected := response.StatusCode == http.StatusMisdirectedRequest
	removeHopByHop(response.Header)
	if misdirected || notRun && response.StatusCode >= 400 {
		result.drainRejection()
		return result, false, &apierror.Error{Kind: apierror.NotRun, Message: "runner " + address + " refused: " + response.Status, Remedy: "ask again later", RetryAfter: parseRetryAfter(response.Header), Misdirected: misdirected}
	}
	if coding := response.Header["Content-Encoding"]; !isUnencoded(coding) {
		trip.abort()
		return nil, false, &apierror.Error{Kind: apierror.RunnerFailure, Message: "runner " + address + " answered with the content encoding " + strings.Join(coding, ", "), Remedy: "runners answer without encoding"}
	}
	return result, false, nil
}

// returnUnused returns a connection to which nothing was written.
func (trip *roundTrip) returnUnused() {
	trip.connection.releaseBuffers()
	if trip.stopWatch != nil && !trip.stopWatch() {
		trip.pool.discard(trip.connection)
		return
	}
	trip.pool.put(trip.connection)
}

// drop closes the connection; what is still being written ends.
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
