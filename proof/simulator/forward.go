package simulator

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/apierror"
	"yardrock.example/system/forwarding"
)

// RoutedHost is the host name of the routes in RoutedConfig.
const RoutedHost = "talk.example"

// RoutedConfig is a config template with routes for forwarded requests: "kept" streams with stored
// history, resumable "chat" streams, idempotent lookups, and orders, which are not idempotent.
const RoutedConfig = BasicConfig + `
routing: {
	revision: 1
	services: [
		{name: "engines", health_path: "/health", most_connections: 60, cold_for: "3s", cold_rate: 20, engine: {slots: 32, cache_tokens: 190000, tokens_per_event: 4}},
		{name: "tools", health_path: "/health", most_connections: 60, cold_for: "0s", cold_rate: 0},
	]
	routes: [
		{name: "kept", host: "talk.example", prefix: "/talk/kept/", kind: "streaming", patience: "4s", target: "250ms", gap: "400ms", urgency: 0, shares: [{service: "engines", weight: 1}], tries: 2, keeps_history: true, keep: "60s", sticky: true},
		{name: "chat", host: "talk.example", prefix: "/talk/chat/", kind: "streaming", patience: "4s", target: "250ms", gap: "400ms", urgency: 1, shares: [{service: "engines", weight: 1}], tries: 2, keep: "60s", sticky: true, resumable: true},
		{name: "lookup", host: "talk.example", prefix: "/lookup/", kind: "repeatable", patience: "2s", target: "150ms", urgency: 2, shares: [{service: "tools", weight: 1}], tries: 3},
		{name: "order", host: "talk.example", prefix: "/order/", kind: "once", patience: "3s", target: "500ms", urgency: 2, shares: [{service: "tools", weight: 1}], tries: 2},
	]
	bounds: {header_bytes: 16384, body_bytes: 4194304, header_wait: "3s", idle: "15s"}
}
`

// ForwardedAnswer records the answer to a forwarded request.
type ForwardedAnswer struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error
	// method is that of the request: the length of an answer to HEAD is that of no body.
	method string
	// onComplete, if set, is called once: as soon as the answer looks complete to its client.
	onComplete func()
}

// Begin records the status and the header of the answer.
func (answer *ForwardedAnswer) Begin(status int, header http.Header) error {
	if answer.Status != 0 {
		return errors.New("Begin was called twice for one answer")
	}
	answer.Status, answer.Header = status, header.Clone()
	return nil
}

// Write records a part of the body.
func (answer *ForwardedAnswer) Write(data []byte) error {
	answer.Body = append(answer.Body, data...)
	if length, found := answer.length(); found && len(answer.Body) == length {
		answer.notify()
	}
	return nil
}

// length returns the length of the body, if the answer has one by which its client knows the end.
func (answer *ForwardedAnswer) length() (length int, found bool) {
	if answer.method == http.MethodHead {
		return 0, false
	}
	length, err := strconv.Atoi(answer.Header.Get("Content-Length"))
	return length, err == nil
}

// notify calls onComplete, at most once, if the answer looks complete.
func (answer *ForwardedAnswer) notify() {
	if answer.onComplete != nil && answer.Complete() {
		answer.onComplete()
		answer.onComplete = nil
	}
}

// Rejected reports whether the answer guarantees that the request did not run.
//
//	if answer.Rejected() { ... }
func (answer *ForwardedAnswer) Rejected() bool {
	return answer.Status == 0 && apierror.Is(answer.Err, apierror.NotRun)
}

// Complete reports whether the answer is a 200 OK that looks complete to its client: one with a
// length once it has all bytes, whatever the front does after that, and any other at its end.
//
//	if answer.Complete() { ... }
func (answer *ForwardedAnswer) Complete() bool {
	if answer.Status != http.StatusOK {
		return false
	}
	if length, found := answer.length(); found {
		return len(answer.Body) == length
	}
	return answer.Err == nil
}

// Text returns the joined data of a stream's events, which is part of the prompt of the next turn.
//
//	prompt += words + answer.Text()
func (answer *ForwardedAnswer) Text() string {
	builder := &strings.Builder{}
	for line := range strings.Lines(string(answer.Body)) {
		if data, found := strings.CutPrefix(line, "data: "); found {
			builder.WriteString(data)
		}
	}
	return builder.String()
}

// Forward passes a request through a front's filters, as an ingress does. Method and deadline get
// defaults: POST, and 4 s from now.
//
//	answer := cluster.Forward(cluster.Fronts[0], forwarding.Request{Name: "q-1", Path: "/lookup/1"})
func (cluster *Cluster) Forward(machine *Machine, request forwarding.Request) *ForwardedAnswer {
	return cluster.ForwardWith(machine, request, nil)
}

// ForwardWith is Forward for a client that sends further headers.
//
//	answer := cluster.ForwardWith(front, request, http.Header{"Authorization": {"Bearer key"}})
func (cluster *Cluster) ForwardWith(machine *Machine, request forwarding.Request, header http.Header) *ForwardedAnswer {
	answer := &ForwardedAnswer{}
	cluster.forwardTo(machine, request, header, answer)
	return answer
}

// forwardTo is ForwardWith with an answer that the caller has made.
func (*Cluster) forwardTo(machine *Machine, request forwarding.Request, header http.Header, answer *ForwardedAnswer) {
	if request.Method == "" {
		request.Method = http.MethodPost
	}
	if request.Deadline.IsZero() {
		request.Deadline = time.Now().Add(4 * time.Second)
	}
	answer.method = request.Method
	request.Host, request.Target, request.ReceivedAt = RoutedHost, request.Path, time.Now()
	request.Header = http.Header{standin.HeaderNames.RequestID: {request.ID}}
	if request.OperationKey != "" {
		request.Header.Set(standin.OperationHeader, request.OperationKey)
	}
	maps.Copy(request.Header, header)
	ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
	defer cancel()
	node := machine.Front
	if node == nil {
		answer.Err = apierror.New(apierror.Unavailable, "the front is not running", "retry at another front")
		return
	}
	answer.Err = node.Forward(ctx, &request, answer)
	answer.notify()
}

// AwaitForwarding waits until every running front has forwarded a lookup and a streamed turn.
//
//	err := cluster.AwaitForwarding(12 * time.Second)
func (cluster *Cluster) AwaitForwarding(timeout time.Duration) error {
	began := time.Now()
	attempts := 0
	for _, machine := range cluster.Fronts {
		if machine.Front == nil {
			continue
		}
		for _, path := range []string{"/lookup/ready", "/talk/kept/ready"} {
			if err := cluster.Await(timeout-time.Since(began), path+" at "+machine.Host, func() error {
				attempts++
				name := fmt.Sprintf("ready-%s-%d-%d", machine.Host, began.UnixNano(), attempts)
				answer := cluster.Forward(machine, forwarding.Request{ID: name, Path: path, Program: name, HasOutputBudget: true, OutputBudget: 1000, MaxOutputTokens: 40})
				if !answer.Complete() {
					return fmt.Errorf("%d: %w", answer.Status, answer.Err)
				}
				return nil
			}); err != nil {
				return err
			}
		}
	}
	return nil
}

// Sleep waits on the clock of the test's synctest bubble.
//
//	cluster.Sleep(time.Second)
func (*Cluster) Sleep(duration time.Duration) { <-time.After(duration) }
