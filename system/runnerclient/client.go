// Package runnerclient sends requests of the work API to model and application runners, as
// JSON over HTTP/1.1. (Forwarded requests go through runnerpool.)
//
// Each request uses its own connection and is written at most once, so that errors can prove
// that a request did not run: NeverSent means that no byte of it was or will be sent, and the
// kind NotRun that the runner confirmed that it did not run the request. After any other error
// the request may have run. The package keeps no state between requests.
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
	// dialTimeout is the timeout for opening a connection.
	dialTimeout = 700 * time.Millisecond
	// maxMessageBytes limits the response of Call and each line of a stream.
	maxMessageBytes = 1 << 20
	// NotRunHeader is the response header by which a runner confirms, with the value "true",
	// that it did not run the request.
	NotRunHeader = "Not-Run"
)

// Client sends requests to runners. It is safe for concurrent use.
type Client struct {
	network link.Network
}

// New returns a client that dials runners through a network.
//
//	client := runnerclient.New(link.TCP{})
func New(network link.Network) *Client { return &Client{network: network} }

// Call sends plain work to an application runner and returns its complete JSON response.
//
//	response, err := client.Call(ctx, "10.0.0.9:8000", "/book", request, beforeSend)
func (client *Client) Call(ctx context.Context, address, path string, request PlainRequest, beforeSend BeforeSend) (json.RawMessage, error) {
	response, err := client.post(ctx, address, path, request, beforeSend)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, statusError(address, response)
	}
	if mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type")); err != nil || mediaType != "application/json" {
		return nil, apierror.New(apierror.RunnerFailure, "runner "+address+" returned unsupported content type "+response.Header.Get("Content-Type"), "configure the runner to return application/json")
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxMessageBytes+1))
	if err != nil {
		return nil, interruptedError(address, err)
	}
	if len(data) > maxMessageBytes || !json.Valid(data) {
		return nil, apierror.New(apierror.RunnerFailure, "runner "+address+" returned invalid or oversized JSON", "check the runner's log")
	}
	return bytes.TrimSpace(data), nil
}

// Stream sends a turn to a model runner and calls onPart for each part of the response.
// An error of onPart ends the stream and is returned. Stream returns nil only after the
// runner's end marker, so that a truncated stream never counts as complete.
//
//	err := client.Stream(ctx, address, "/turn", request, beforeSend, func(text string) error { ... })
func (client *Client) Stream(ctx context.Context, address, path string, request TurnRequest, beforeSend BeforeSend, onPart func(text string) error) error {
	response, err := client.post(ctx, address, path, request, beforeSend)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return statusError(address, response)
	}
	if mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type")); err != nil || mediaType != "application/x-ndjson" {
		return apierror.New(apierror.RunnerFailure, "runner "+address+" returned unsupported content type "+response.Header.Get("Content-Type"), "configure the model runner to stream application/x-ndjson")
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, 4096), maxMessageBytes)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" {
			continue
		}
		var part streamPart
		if err := json.Unmarshal([]byte(line), &part); err != nil {
			return apierror.Wrap(err, apierror.RunnerFailure, "runner "+address+" sent a stream line that is not valid JSON", "check the runner's log")
		}
		if part.End {
			return nil
		}
		if err := onPart(part.Text); err != nil {
			return err
		}
	}
	if err := errors.Join(lines.Err(), ctx.Err()); err != nil {
		return interruptedError(address, err)
	}
	return &apierror.Error{Kind: apierror.RunnerFailure, Message: "runner " + address + " ended the stream without the end marker", Remedy: "check the runner's log", Lost: true}
}

// interruptedError returns the error for a response that ended early.
func interruptedError(address string, cause error) error {
	return &apierror.Error{Kind: apierror.RunnerFailure, Message: "response of runner " + address + " was interrupted: " + cause.Error(), Remedy: "check the runner's log", Lost: true, Cause: cause}
}
