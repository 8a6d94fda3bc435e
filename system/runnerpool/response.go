package runnerpool

import (
	"io"
	"net/http"
	"time"

	"yardrock.example/system/apierror"
)

// maxRejectionBytes and rejectionTimeout bound what is done to keep the connection after
// a rejection: the rest of its body is read and dropped.
const (
	maxRejectionBytes = 16 << 10
	rejectionTimeout  = 20 * time.Millisecond
)

// Response is a runner's response to one request. It is not safe for concurrent use.
type Response struct {
	Status int
	Header http.Header // without hop-by-hop headers
	Load   *Load       // nil if the runner did not report it
	Length int64       // of the body in bytes; -1: not known

	trip     *roundTrip
	body     io.Reader
	reusable bool // the connection may be kept if the body is read completely
	// closeDelimited means that the end of the body is the end of the connection (RFC 9112,
	// section 6.3), which looks like a broken connection.
	closeDelimited bool
	complete       bool
	err            error // of all further reads
	closed         bool
}

// newResponse returns the response with a head, and notes on the connection for how long
// the runner keeps it.
func (trip *roundTrip) newResponse(head *http.Response) *Response {
	response := &Response{Status: head.StatusCode, Header: head.Header, Length: head.ContentLength, trip: trip, body: head.Body}
	response.reusable = !head.Close && !trip.stray && head.ProtoAtLeast(1, 1)
	response.complete, response.closeDelimited = head.Body == http.NoBody, isCloseDelimited(head)
	if keepAlive, found := parseKeepAlive(head.Header); found {
		trip.connection.hasKeepAlive, trip.connection.keepAlive = true, idleTimeoutFor(keepAlive)
		response.reusable = response.reusable && trip.connection.keepAlive > 0
	}
	if name := trip.pool.headers.Load; name != "" {
		response.Load = parseLoad(head.Header.Get(name))
	}
	return response
}

// Read reads from the body. The error is io.EOF only if the body is provably complete;
// otherwise it is an *apierror.Error as Send returns them.
//
//	count, err := response.Read(buffer)
func (response *Response) Read(target []byte) (int, error) {
	if response.err != nil {
		return 0, response.err
	}
	count, err := response.body.Read(target)
	// Only io.EOF itself is the end; an error that wraps it is a broken connection.
	switch {
	case err == nil:
	case err == io.EOF && !response.closeDelimited:
		response.complete, response.err = true, io.EOF
	case err == io.EOF:
		response.err = response.trip.connectionError(protocolError("its answer has neither a length nor an end"))
	default:
		response.err = response.trip.connectionError(err)
	}
	return count, response.err
}

// Close ends the exchange. The connection is kept if the body was read completely and
// another request may follow on it; otherwise it is closed, whereupon most runners stop
// the work. Close returns nil and may be called again.
//
//	defer response.Close()
func (response *Response) Close() error {
	response.end()
	return nil
}

// end is Close without the result.
func (response *Response) end() {
	if response.closed {
		return
	}
	response.closed = true
	trip := response.trip
	if response.err == nil {
		response.err = &apierror.Error{Kind: apierror.Cancelled, Message: "the reply of runner " + trip.request.Runner.Address + " was closed", Remedy: "read it before it is closed"}
	}
	connection := trip.connection
	clean := response.complete && response.reusable && trip.writeDone() && trip.written.err == nil && connection.buffers.reader.Buffered() == 0
	if !clean || trip.stopWatch != nil && !trip.stopWatch() {
		trip.abort()
		return
	}
	connection.releaseBuffers()
	connection.reused = true
	trip.pool.put(connection)
}

// drainRejection closes a rejection, whose body is of no use. What is left of the body
// is read if that is quickly done, so that the connection can be kept.
func (response *Response) drainRejection() {
	trip := response.trip
	if response.reusable && response.Length <= maxRejectionBytes && !response.closeDelimited && trip.writeDone() {
		if response.Length < 0 || int64(trip.connection.buffers.reader.Buffered()) < response.Length {
			until := time.Now().Add(rejectionTimeout)
			if deadline := trip.request.Deadline; !deadline.IsZero() && deadline.Before(until) {
				until = deadline
			}
			trip.connection.SetDeadline(until)
		}
		dropped := make([]byte, 512)
		for total := 0; response.err == nil && total <= maxRejectionBytes; {
			count, _ := response.Read(dropped) // the error is in response.err
			total += count
		}
	}
	response.end()
	response.Length, response.err = 0, io.EOF
}
