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

// BeforeSend is called on a ready connection just before the first byte is sent; an error
// prevents that. It may be called even after the request was abandoned.
type BeforeSend func() error

// guardedConn is a connection that sends nothing until BeforeSend has succeeded.
type guardedConn struct {
	net.Conn
	send *sendState
}

// Write sends data. The first call runs BeforeSend and fails if it does.
func (conn guardedConn) Write(data []byte) (int, error) {
	send := conn.send
	if send.state.Load() == sendPending {
		if err := send.beforeSend(); err != nil {
			send.beforeSendErr.Store(apierror.Of(err))
			return 0, err
		}
		send.state.CompareAndSwap(sendPending, sendStarted)
	}
	if send.state.Load() != sendStarted {
		return 0, errSendAbandoned
	}
	return conn.Conn.Write(data)
}

// sendState is the send state of one request, which is either started or abandoned, whichever
// comes first: net/http may still write after RoundTrip has returned, and nothing of an
// abandoned request may be sent.
type sendState struct {
	beforeSend    BeforeSend
	state         atomic.Int32
	beforeSendErr atomic.Pointer[apierror.Error]
}

// The values of sendState.state.
const (
	sendPending int32 = iota
	sendStarted
	sendAbandoned
)

// errSendAbandoned is the error of a write after the request was abandoned.
var errSendAbandoned = errors.New("the request was abandoned before its first byte was sent")

// abandon prevents the request from being sent. It returns false if sending has already
// started.
func (send *sendState) abandon() bool {
	return send.state.CompareAndSwap(sendPending, sendAbandoned)
}

// post sends a JSON body and returns the response with its body unread. NeverSent on the error
// proves that no byte was sent.
func (client *Client) post(ctx context.Context, address, path string, body any, beforeSend BeforeSend) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	send := &sendState{beforeSend: beforeSend}
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, target string) (net.Conn, error) {
			dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			connection, err := client.network.Dial(dialCtx, target)
			if err != nil {
				return nil, err
			}
			return guardedConn{connection, send}, nil
		},
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return nil, &apierror.Error{Kind: apierror.RunnerFailure, Message: err.Error(), Remedy: "correct the path in the configuration of the work kind", NeverSent: true, Cause: err}
	}
	request.GetBody = nil // net/http must never send the body twice
	request.Header.Set("Content-Type", "application/json")
	response, err := transport.RoundTrip(request)
	if err != nil {
		neverSent := send.abandon()
		if rejection := send.beforeSendErr.Load(); neverSent && rejection != nil {
			return nil, &apierror.Error{Kind: rejection.Kind, Message: rejection.Message, Remedy: rejection.Remedy, RetryAfter: rejection.RetryAfter, NeverSent: true, Cause: rejection}
		}
		return nil, &apierror.Error{Kind: apierror.RunnerFailure, Message: "runner " + address + ": " + err.Error(), Remedy: "check the runner's log", NeverSent: neverSent, Lost: true, Cause: err}
	}
	return response, nil
}

// statusError returns the error for a response with a status other than 200.
func statusError(address string, response *http.Response) error {
	overloaded := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
	if response.Header.Get(NotRunHeader) == "true" {
		return &apierror.Error{Kind: apierror.NotRun, Message: "runner " + address + " rejected the request: " + response.Status, Remedy: "retry later", RetryAfter: time.Second, Lost: overloaded}
	}
	return &apierror.Error{Kind: apierror.RunnerFailure, Message: "runner " + address + " responded with status " + response.Status, Remedy: "check the runner's log", Lost: overloaded}
}
