package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// hostName is the host of all routes, clientKey the key of the only tenant.
const (
	hostName     = "review.example"
	clientKey    = "k-review-2"
	customerName = "depot"
)

// The paths of requests on the two routes.
const (
	lookupPath = "/lookup/1" // repeatable
	sizedPath  = "/brief/1"  // streaming, saves-history
)

// timeLeft is how long clients wait for an answer.
const timeLeft = 4 * time.Second

// httpClient returns a client that opens a new connection for each request.
func httpClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// answer is what a client got for one try.
type answer struct {
	status int // 0: none
	body   string
	seal   string
	whole  bool
	// lastEvent is the id of the last whole event.
	lastEvent int
}

// isWholeStream reports whether a client has all of a stream.
func (answer answer) isWholeStream() bool {
	return answer.status == http.StatusOK && answer.whole && answer.lastEvent == streamEvents
}

func (answer answer) String() string {
	if answer.status == 0 {
		return "no answer"
	}
	return fmt.Sprintf("%d, whole %t, seal %q, %d bytes: %.120q", answer.status, answer.whole, answer.seal, len(answer.body), answer.body)
}

// send sends one try through a front and reads the answer to its end. onEvent, if not nil, is called with
// the id of each event.
func (fleet *fleet) send(front *machine, path, tryID, body string, headers map[string]string, onEvent func(int)) answer {
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", front.ip, fleet.ports.client, path), strings.NewReader(body))
	if err != nil {
		return answer{}
	}
	request.Host = hostName
	request.Header.Set("Try-Id", tryID)
	request.Header.Set("Time-Left-Ms", strconv.Itoa(int(timeLeft.Milliseconds())))
	request.Header.Set("Authorization", "Bearer "+clientKey)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	fleet.record.line("sent: try %s to %s %s %v", tryID, front.name, path, headers)
	response, err := httpClient(timeLeft + time.Second).Do(request)
	if err != nil {
		fleet.record.line("answered: try %s: no answer: %v", tryID, err)
		return answer{}
	}
	defer response.Body.Close()
	got := answer{status: response.StatusCode, seal: response.Header.Get("Server-Seal")}
	reader, event := bufio.NewReader(response.Body), 0
	for {
		line, readErr := reader.ReadString('\n')
		got.body += line
		if id, found := strings.CutPrefix(line, "id: "); found {
			event, _ = strconv.Atoi(strings.TrimSpace(id))
		}
		if line == "\n" && event > got.lastEvent {
			got.lastEvent = event
			if onEvent != nil {
				onEvent(event)
			}
		}
		if readErr != nil {
			got.whole = readErr == io.EOF
			break
		}
	}
	fleet.record.line("answered: try %s: %s", tryID, got)
	return got
}

// route returns a route of the configuration.
func route(path, kind string, more map[string]any) map[string]any {
	name, _, _ := strings.Cut(strings.Trim(path, "/"), "/")
	item := map[string]any{
		"name": "r-" + name, "hostname": hostName, "path-start": "/" + name + "/", "type": kind, "timeout-ms": 4000, "target-ms": 300, "urgency": 1, "backend": serviceName, "tries": 1,
	}
	for field, value := range more {
		item[field] = value
	}
	return item
}

// configuration returns the first configuration.
func configuration(revision int) map[string]any {
	turns := map[string]any{"saves-history": true, "keep-for-s": 60.0, "sticky": true, "resumable": false, "target-gap-ms": 400}
	return map[string]any{
		"revision":  revision,
		"routing":   []map[string]any{route(lookupPath, "repeatable", nil), route(sizedPath, "streaming", turns)},
		"backends":  []map[string]any{{"name": serviceName, "health-path": "/health", "max-conns": 360, "protocol": "h1", "tls": false}},
		"limits":    map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-wait-ms": 3000, "idle-ms": 15000},
		"customers": []map[string]any{{"name": customerName, "api-keys": []string{clientKey}}},
	}
}

// operate sends an order until it is acknowledged, to the control nodes in turn.
func (fleet *fleet) operate(path string, builtOn int, order any, timeout time.Duration) error {
	data, err := json.Marshal(order)
	if err != nil {
		return err
	}
	last := errors.New("no control node answered")
	for began, attempt := time.Now(), 0; time.Since(began) < timeout; attempt++ {
		control := fleet.controls[attempt%len(fleet.controls)]
		request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", control.ip, fleet.ports.control, path), bytes.NewReader(data))
		if err != nil {
			return err
		}
		request.Header.Set("Built-On", strconv.Itoa(builtOn))
		request.Header.Set("Content-Type", "application/json")
		response, err := httpClient(time.Second).Do(request)
		if err == nil {
			text, _ := io.ReadAll(response.Body) // only for the message
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				fleet.record.line("operator: %s built on %d is acknowledged by %s", path, builtOn, control.name)
				return nil
			}
			last = fmt.Errorf("%d %s", response.StatusCode, text)
			if response.StatusCode < 500 {
				return last
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%s was not acknowledged: %w", path, last)
}

// prepare sends the first configuration and waits until the fronts serve it.
func (fleet *fleet) prepare() error {
	if err := fleet.operate("/v1/settings/replace", 0, configuration(1), startTimeout); err != nil {
		return err
	}
	if err := fleet.awaitReady(fleet.fronts...); err != nil {
		return err
	}
	time.Sleep(applyWithin + time.Second)
	return nil
}
