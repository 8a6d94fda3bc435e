package runnerclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"yardrock.example/system/apierror"
)

// PreSendCheck is called when a connection is ready and its first byte is about to leave; an
// error keeps it back. It may be called after the request was given up.
type PreSendCheck func() error

// guardedConn is a connection whose first byte leaves only after the check.
type guardedConn struct {
	net.Conn
	send *sendState
}

// Write sends data, the first time only if the check allows it.
func (guarded guardedConn) Write(data []byte) (int, error) {
	send := guarded.send
	if send.state.Load() == sendPending {
		if err := send.check(); err != nil {
			send.rejection.Store(apierror.Of(err))
			return 0, err
		}
		send.state.CompareAndSwap(sendPending, sendStarted)
	}
	if send.state.Load() != sendStarted {
		return 0, errSendAbandoned
	}
	return guarded.Conn.Write(data)
}

// sendState is the state of one request on the way out. It is either started or abandoned,
// whichever comes first: the HTTP library may still write when RoundTrip has returned, and
// what was abandoned must not leave later.
type sendState struct {
	check     PreSendCheck
	state     atomic.Int32
	rejection atomic.Pointer[apierror.Error]
}

// The states of a request on the way out.
const (
	sendPending int32 = iota
	sendStarted
	sendAbandoned
)

// errSendAbandoned is the error of a write after the request was given up.
var errSendAbandoned = errors.New("the query was given up before its first byte")

// abandon reports whether nothing was sent, and makes sure that nothing will be.
func (send *sendState) abandon() bool {
	return send.state.CompareAndSwap(sendPending, sendAbandoned)
}

// post sends a JSON body and returns the head of the response. NeverSent on the error proves
// that no byte left.
func (client *Client) post(ctx context.Context, address, path string, body any, check PreSendCheck) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	send := &sendState{check: check}
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, target string) (net.Conn, error) {
			dialing, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			connection, err := client.network.Dial(dialing, target)
			if err != nil {
				return nil, err
			}
			return guardedConn{connection, send}, nil
		},
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return nil, &apierror.Error{Kind: apierror.RunnerFailure, Message: err.Error(), Remedy: "correct the path of the kind of work", NeverSent: true, Cause: err}
	}
	request.GetBody = nil // the library must never send a body twice
	request.Header.Set("Content-Type", "application/json")
	response, err := transport.RoundTrip(request)
	if err != nil {
		neverSent := send.abandon()
		if refused := send.rejection.Load(); neverSent && refused != nil {
			return nil, &apierror.Error{Kind: refused.Kind, Message: refused.Message, Remedy: refused.Remedy, RetryAfter: refused.RetryAfter, NeverSent: true, Cause: refused}
		}
		return nil, &apierror.Error{Kind: apierror.RunnerFailure, Message: "runner " + address + ": " + err.Error(), Remedy: "see the runner's own log", NeverSent: neverSent, Lost: true, Cause: err}
	}
	return response, nil
}

// statusError makes the error for a response whose status is no success.
func statusError(address string, response *http.Response) error {
	full := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
	if response.Header.Get(NotRunHeader) == "true" {
		return &apierror.Error{Kind: apierror.NotRun, Message: "runner " + address + " refused: " + response.Status, Remedy: "ask again later", RetryAfter: time.Second, Lost: full}
	}
	return &apierror.Error{Kind: apierror.RunnerFailure, Message: "runner " + address + " answered " + response.Status, Remedy: "see the runner's own log", Lost: full}
}
