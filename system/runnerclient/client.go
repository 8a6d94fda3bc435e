// Package runnerclient sends the work of the work API to model and application runners, as
// JSON over HTTP/1.1. (Forwarded requests go through runnerpool.)
//
// Each request has a connection of its own and is written at most once, so that the
// package can prove what did not run: an error with NeverSent set means that no byte of the
// request left and none will; one of the kind NotRun, that the runner vouched that it did
// not run it. After any other error it may have run. It keeps no state between requests.
package runnerclient

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"strings"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/link"
)

const (
	// dialTimeout bounds the dial of one connection.
	dialTimeout = 700 * time.Millisecond
	// maxPieceBytes bounds a plain answer, and one line of a stream.
	maxPieceBytes = 1 << 20
	// NotRunHeader is the header field by which a runner vouches, with the value "true", that
	// it did not run a request that it rejects.
	NotRunHeader = "Not-Run"
)

// Client sends requests to runners. It is safe for concurrent use.
type Client struct {
	network link.Network
}

// New makes a client on a network.
//
//	client := runnerclient.New(link.TCP{})
func New(network link.Network) *Client { return &Client{network: network} }

// Call sends a request to an application runner and returns its complete JSON answer.
//
//	answer, err := client.Call(ctx, "10.0.0.9:8000", "/book", request, check)
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
		return nil, brokenOffError(address, err)
	}
	if len(data) > maxPieceBytes || !json.Valid(data) {
		return nil, apierror.New(apierror.RunnerFailure, "runner "+address+" answered no whole JSON value", "see the runner's own log")
	}
	return bytes.TrimSpace(data), nil
}

// Stream sends a request to a model runner and calls onPiece for each piece of the answer;
// an error of onPiece ends the stream and is returned. Stream returns nil only after the
// runner's own end mark.
//
//	err := client.Stream(ctx, address, "/turn", request, check, func(words string) error { ... })
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
			return apierror.Wrap(err, apierror.RunnerFailure, "runner "+address+" streams what is no JSON", "see the runner's own log")
		}
		if next.End {
			return nil
		}
		if err := onPiece(next.Piece); err != nil {
			return err
		}
	}
	if err := errors.Join(lines.Err(), ctx.Err()); err != nil {
		return brokenOffError(address, err)
	}
	return &apierror.Error{Kind: apierror.RunnerFailure, Message: "runner " + address + " ended its stream without the end mark", Remedy: "see the runner's own log", Lost: true}
}

// brokenOffError is for a response that did not come to its end.
func brokenOffError(address string, cause error) error {
	return &apierror.Error{Kind: apierror.RunnerFailure, Message: "runner " + address + " broke off: " + cause.Error(), Remedy: "see the runner's own log", Lost: true, Cause: cause}
}
