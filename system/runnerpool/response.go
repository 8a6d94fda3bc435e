package runnerpool

import (
	"io"
	"net/http"
	"time"

	"yardrock.example/system/apierror"
)

// Response is a runner's answer to one query. It is used by one goroutine at a time.
type Response struct {
	Status int
	Header http.Header // end-to-end headers only
	Load   *Load       // nil if the runner did not tell it
	Length int64       // of the body in bytes, -1 if not known

	trip           *roundTrip
	body           io.Reader
	reusable       bool
	closeDelimited bool // the end of the body can't be told from a broken connection
	complete       bool
	err            error
	closed         bool
}

// Read gives what has come of the body. Its error is io.EOF only if the body is
// provably whole; else it is a *apierror.Error as Send gives them.
//
//	count, err := reply.Read(buffer)
func (response *Response) Read(target []byte) (int, error) {
	if response.err != nil {
		return 0, response.err
	}
	count, err := response.body.Read(target)
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

// Close ends the reply. Its connection is kept if the whole body was read and another
// query may follow on it; else it is closed, which has most runners drop the work.
//
//	defer reply.Close()
func (response *Response) Close() error {
	if response.closed {
		return nil
	}
	response.closed = true
	if response.err == nil {
		response.err = &apierror.Error{Kind: apierror.Cancelled, Message: "the reply of runner " + response.trip.request.Runner.Address + " was closed", Remedy: "read it before it is closed"}
	}
	trip := response.trip
	connection := trip.connection
	fit := response.complete && response.reusable && trip.writeDone() && trip.written.err == nil && connection.buffers.reader.Buffered() == 0
	if !fit || trip.stopWatch != nil && !trip.stopWatch() {
		trip.abort()
		return nil
	}
	connection.releaseBuffers()
	connection.reused = true
	trip.pool.put(connection)
	return nil
}

// drainRejection closes a refusal, whose body is of no use; what is left of it is read only if
// that is quickly done.
func (response *Response) drainRejection() {
	trip := response.trip
	if connection := trip.connection; response.reusable && response.Length <= maxRejectionBytes && !response.closeDelimited && trip.writeDone() {
		if response.Length < 0 || int64(connection.buffers.reader.Buffered()) < response.Length {
			until := time.Now().Add(rejectionTimeout)
			if deadline := trip.request.Deadline; !deadline.IsZero() && deadline.Before(until) {
				until = deadline
			}
			connection.SetDeadline(until)
		}
		left := make([]byte, 512)
		for total := 0; response.err == nil && total <= maxRejectionBytes; {
			count, _ := response.Read(left)
			total += count
		}
	}
	response.Close()
	response.Length, response.err = 0, io.EOF
}
