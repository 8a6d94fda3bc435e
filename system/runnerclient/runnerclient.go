// Package runnerclient speaks HTTP/1.1 with JSON to model and application
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

	"yardrock.example/system/link"
	"yardrock.example/system/mishap"
)

const (
	dialPatience = 700 * time.Millisecond
	longestPiece = 1 << 20
	// NotRunHeader is what a runner sets on a refusal to vouch that nothing ran.
	NotRunHeader = "Not-Run"
)

// Message is one utterance of a conversation.
type Message struct {
	Role  string `json:"role"`
	Name  string `json:"name,omitempty"`
	Words string `json:"words"`
}

// TurnQuery is what a model runner gets.
type TurnQuery struct {
	Conversation string    `json:"conversation"`
	Turn         uint64    `json:"turn"`
	History      []Message `json:"history"`
	Words        string    `json:"words"`
	Limit        uint64    `json:"limit"`
}

// PlainQuery is what an application runner gets.
type PlainQuery struct {
	Program    string `json:"program"`
	Kind       string `json:"kind"`
	RequestKey string `json:"request_key,omitempty"`
	Words      string `json:"words"`
}

// Client talks to runners. Each query has a connection of its own, so that a
// failed dial proves that nothing was sent.
type Client struct {
	network link.Network
}

// New makes a client on a network.
//
//	client := runnerclient.New(link.TCP{})
func New(network link.Network) *Client { return &Client{network: network} }

// send posts a body. NeverSent on the error proves that no byte left.
func (client *Client) send(ctx context.Context, address, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	var connected atomic.Bool
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, target string) (net.Conn, error) {
			dialing, cancel := context.WithTimeout(ctx, dialPatience)
			defer cancel()
			connection, err := client.network.Dial(dialing, target)
			connected.Store(connected.Load() || err == nil)
			return connection, err
		},
	}
	query, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return nil, &mishap.Mishap{Kind: mishap.RunnerMishap, Message: err.Error(), Remedy: "correct the path of the kind of work", NeverSent: true}
	}
	query.GetBody = nil // the library must never send a body twice
	query.Header.Set("Content-Type", "application/json")
	answer, err := transport.RoundTrip(query)
	if err != nil {
		return nil, &mishap.Mishap{Kind: mishap.RunnerMishap, Message: "runner " + address + ": " + err.Error(), Remedy: "see the runner's own log", NeverSent: !connected.Load()}
	}
	return answer, nil
}

// refusal reads a status that is no success.
func refusal(address string, answer *http.Response) error {
	if answer.Header.Get(NotRunHeader) == "true" {
		return &mishap.Mishap{Kind: mishap.NotRun, Message: "runner " + address + " refused: " + answer.Status, Remedy: "ask again later", RetryAfter: time.Second}
	}
	return mishap.New(mishap.RunnerMishap, "runner "+address+" answered "+answer.Status, "see the runner's own log")
}

// Ask posts to an application runner and gives its whole JSON answer.
//
//	answer, err := client.Ask(ctx, "10.0.0.9:8000", "/book", query)
func (client *Client) Ask(ctx context.Context, address, path string, query PlainQuery) (json.RawMessage, error) {
	answer, err := client.send(ctx, address, path, query)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return nil, refusal(address, answer)
	}
	if kind, _, err := mime.ParseMediaType(answer.Header.Get("Content-Type")); err != nil || kind != "application/json" {
		return nil, mishap.New(mishap.RunnerMishap, "runner "+address+" answered with content type "+answer.Header.Get("Content-Type"), "runners answer application/json")
	}
	data, err := io.ReadAll(io.LimitReader(answer.Body, longestPiece+1))
	if err != nil || len(data) > longestPiece || !json.Valid(data) {
		return nil, mishap.New(mishap.RunnerMishap, "runner "+address+" answered no whole JSON value", "see the runner's own log")
	}
	return bytes.TrimSpace(data), nil
}

type piece struct {
	Piece string `json:"piece"`
	End   bool   `json:"end"`
}

// Stream posts to a model runner and calls piece for each piece. It returns nil
// only after the runner's own end mark.
//
//	err := client.Stream(ctx, address, "/turn", query, func(words string) error { ... })
func (client *Client) Stream(ctx context.Context, address, path string, query TurnQuery, onPiece func(words string) error) error {
	answer, err := client.send(ctx, address, path, query)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return refusal(address, answer)
	}
	if kind, _, err := mime.ParseMediaType(answer.Header.Get("Content-Type")); err != nil || kind != "application/x-ndjson" {
		return mishap.New(mishap.RunnerMishap, "runner "+address+" streams content type "+answer.Header.Get("Content-Type"), "model runners stream application/x-ndjson")
	}
	lines := bufio.NewScanner(answer.Body)
	lines.Buffer(make([]byte, 0, 4096), longestPiece)
	for lines.Scan() {
		text := strings.TrimSpace(lines.Text())
		if text == "" {
			continue
		}
		var next piece
		if err := json.Unmarshal([]byte(text), &next); err != nil {
			return mishap.New(mishap.RunnerMishap, "runner "+address+" streams what is no JSON", "see the runner's own log")
		}
		if next.End {
			return nil
		}
		if err := onPiece(next.Piece); err != nil {
			return err
		}
	}
	if err := errors.Join(lines.Err(), ctx.Err()); err != nil {
		return mishap.New(mishap.RunnerMishap, "runner "+address+" broke off: "+err.Error(), "see the runner's own log")
	}
	return mishap.New(mishap.RunnerMishap, "runner "+address+" ended its stream without the end mark", "see the runner's own log")
}
