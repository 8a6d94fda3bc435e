package runnerpool

import (
	"io"
	"net/http"
	"time"

	"yardrock.example/system/apierror"
)

// maxRejectionBytes and rejectionTimeout limit how much of a rejection's body is read and
// dropped, and for how long, in order to reuse the connection.
const (
	maxRejectionBytes = 16 << 10
	rejectionTimeout  = 20 * time.Millisecond
)

// Response is a runner's response to one request. It is not safe for concurrent use.
type Response struct {
	Status int
	Header http.Header // without hop-by-hop headers
	Load   *Load       // nil if the runner reported none
	Length int64       // of the body in bytes; -1: unknown
	// Closing reports that the runner closes the connection after the response. A runner that
	// drains says so in each response; others do now and then.
	Closing bool

	trip     *roundTrip
	body     io.Reader
	reusable bool // the connection may be reused once the body is read completely
	// closeDelimited means that the body ends with the connection (RFC 9112, section 6.3),
	// which looks like a broken connection.
	closeDelimited bool
	complete       bool
	err            error // returned by all further reads
	closed         bool
}

// newResponse returns the response with the given head and records the runner's
// Keep-Alive timeout on the connection.
func (trip *roundTrip) newResponse(head *http.Response) *Response {
	response := &Response{Status: head.StatusCode, Header: head.Header, Length: head.ContentLength, Closing: head.Close, trip: trip, body: head.Body}
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
func (response *Response) Read(buffer []byte) (int, error) {
	if response.err != nil {
		return 0, response.err
	}
	count, err := response.body.Read(buffer)
	// Only io.EOF itself marks the end; an error that wraps it is a broken connection.
	switch {
	case err == nil:
	case err == io.EOF && !response.closeDelimited:
		response.complete, response.err = true, io.EOF
	case err == io.EOF:
		response.err = response.trip.connectionError(protocolError("response has neither Content-Length nor Transfer-Encoding"))
	default:
		response.err = response.trip.connectionError(err)
	}
	return count, response.err
}

// Close ends the exchange. The connection is reused if the body was read completely and
// the connection can carry another request; otherwise it is closed, which makes most
// runners abort the request. Close returns nil and is idempotent.
//
//	defer response.Close()
func (response *Response) Close() error {
	response.end()
	return nil
}

// end implements Close.
func (response *Response) end() {
	if response.closed {
		return
	}
	response.closed = true
	trip := response.trip
	if response.err == nil {
		response.err = &apierror.Error{Kind: apierror.Cancelled, Message: "response of runner " + trip.request.Runner.Address + " is closed", Remedy: "read the response before closing it"}
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

// drainRejection closes a rejection and drops its body. A short body is read to its end,
// so that the connection can be reused.
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
