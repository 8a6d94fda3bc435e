// Package runnerorigin speaks HTTP/1.1 with JSON to model and application
// runners, and tells apart what was never sent, what was refused as not run, and
// what is unknown.
package runnerclient

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/link"
)

const (
	dialTimeout   = 700 * time.Millisecond
	maxPieceBytes = 1 << 20
	// NotRunHeader is what a runner sets on a refusal to vouch that nothing ran.
	NotRunHeader = "Not-Run"
)

// Message is one utterance of a conversation.
type Message struct {
	Role  string `json:"role"`
	Name  string `json:"name,omitempty"`
	Words string `json:"words"`
}

// TurnRequest is what a model runner gets.
type TurnRequest struct {
	Conversation string    `json:"conversation"`
	Turn         uint64    `json:"turn"`
	History      []Message `json:"history"`
	Words        string    `json:"words"`
	Limit        uint64    `json:"limit"`
}

// PlainRequest is what an application runner gets.
type PlainRequest struct {
	Program    string `json:"program"`
	Kind       string `json:"kind"`
	RequestKey string `json:"query_key,omitempty"`
	Words      string `json:"words"`
}

// Client talks to runners. Each query has a connection of its own, so that what
// was never written provably never ran.
type Client struct {
	network link.Network
}

// New makes an origin on a network.
//
//	origin := runnerorigin.New(link.TCP{})
func New(network link.Network) *Client { return &Client{network: network} }

// PreSendCheck is asked when a connection stands and its first byte is about to leave; an
// error keeps it back.
type PreSendCheck func() error

// guardedConn is a connection whose first byte leaves only after the last look.
type guardedConn struct {
	net.Conn
	send *sendState
}

// dispatch is what is known of one try to send. It is either sent or given up,
// whichever comes first, so that what was given up can't leave later.
type sendState struct {
	check     PreSendCheck
	state     atomic.Int32
	rejection atomic.Pointer[apierror.Error]
}

const (
	sendPending int32 = iota
	sendStarted
	sendAbandoned
)

var errSendAbandoned = errors.New("the query was given up before its first byte")

// Write sends, the first time only if the look allows it.
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

// abandon tells whether nothing was sent, and nothing will be.
func (send *sendState) abandon() bool {
	return send.state.CompareAndSwap(sendPending, sendAbandoned)
}

// post posts a body. NeverSent on the error proves that no byte left.
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
		return nil, &apierror.Error{Kind: apierror.RunnerFailure, Message: err.Error(), Remedy: "correct the path of the kind of work", NeverSent: true}
	}
	request.GetBody = nil // the library must never send a body twice
	request.Header.Set("Content-Type", "application/json")
	response, err := transport.RoundTrip(request)
	if err != nil {
		neverSent := send.abandon()
		if refused := send.rejection.Load(); neverSent && refused != nil {
			return nil, &apierror.Error{Kind: refused.Kind, Message: refused.Message, Remedy: refused.Remedy, RetryAfter: refused.RetryAfter, NeverSent: true}
		}
		return nil, &apierror.Error{Kind: apierror.RunnerFailure, Message: "runner " + address + ": " + err.Error(), Remedy: "see the runner's own log", NeverSent: neverSent, Lost: true}
	}
	return response, nil
}

// statusError reads a status that is no success.
func statusError(address string, response *http.Response) error {
	full := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
	if response.Header.Get(NotRunHeader) == "true" {
		return &apierror.Error{Kind: apierror.NotRun, Message: "runner " + address + " refused: " + response.Status, Remedy: "ask again later", RetryAfter: time.Second, Lost: full}
	}
	return &apierror.Error{Kind: apierror.RunnerFailure, Message: "runner " + address + " answered " + response.Status, Remedy: "see the runner's own log", Lost: full}
}

// Call posts to an application runner and gives its whole JSON answer.
//
//	answer, err := origin.Call(ctx, "10.0.0.9:8000", "/book", query, look)
func (client *Client) Call(ctx context.Context, address, path string, request PlainRequest, check PreSendCheck) (json.RawMessage, error) {
	response, err := client.post(ctx, address, path, request, check)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, statusError(address, response)
	}
	if kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type")); err != nil || kind != "application/json" {
		return nil, apierror.New(apierror.RunnerFailure, "runner "+address+" answered with content type "+response.Header.Get("Content-Type"), "runners answer application/json")
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxPieceBytes+1))
	if err != nil {
		return nil, &apierror.Error{Kind: apierror.RunnerFailure, Message: "runner " + address + " broke off: " + err.Error(), Remedy: "see the runner's own log", Lost: true}
	}
	if len(data) > maxPieceBytes || !json.Valid(data) {
		return nil, apierror.New(apierror.RunnerFailure, "runner "+address+" answered no whole JSON value", "see the runner's own log")
	}
	return bytes.TrimSpace(data), nil
}

type streamPiece struct {
	Piece string `json:"piece"`
	End   bool   `json:"end"`
}

// Stream posts to a model runner and calls piece for each piece. It returns nil
// only after the runner's own end mark.
//
//	err := origin.Stream(ctx, address, "/turn", query, look, func(words string) error { ... })
func (client *Client) Stream(ctx context.Context, address, path string, request TurnRequest, check PreSendCheck, onPiece func(words string) error) error {
	response, err := client.post(ctx, address, path, request, check)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return statusError(address, response)
	}
	if kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type")); err != nil || kind != "application/x-ndjson" {
		return apierror.New(apierror.RunnerFailure, "runner "+address+" streams content type "+response.Header.Get("Content-Type"), "model runners stream application/x-ndjson")
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, 4096), maxPieceBytes)
	for lines.Scan() {
		text := strings.TrimSpace(lines.Text())
		if text == "" {
			continue
		}
		var next streamPiece
		if err := json.Unmarshal([]byte(text), &next); err != nil {
			return apierror.New(apierror.RunnerFailure, "runner "+address+" streams what is no JSON", "see the runner's own log")
		}
		if next.End {
			return nil
		}
		if err := onPiece(next.Piece); err != nil {
			return err
		}
	}
	if err := errors.Join(lines.Err(), ctx.Err()); err != nil {
		return &apierror.Error{Kind: apierror.RunnerFailure, Message: "runner " + address + " broke off: " + err.Error(), Remedy: "see the runner's own log", Lost: true}
	}
	return &apierror.Error{Kind: apierror.RunnerFailure, Message: "runner " + address + " ended its stream without the end mark", Remedy: "see the runner's own log", Lost: true}
}
