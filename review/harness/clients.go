package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// host is the host name that all requests name.
const host = "review.example"

// requestTime is how long a client waits for an answer.
const requestTime = 4 * time.Second

// answer is what a client got for one try. A status of 0 means that no whole answer came.
type answer struct {
	status     int
	body, seal string
	tokens     int // of the events that came whole
	err        error
}

// send sends one try to a front on a connection of its own.
func (fleet *fleet) send(front *machine, path, tryID, body string, headers map[string]string) answer {
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", front.ip, clientPort, path), strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	request.Header.Set("Try-Id", tryID)
	request.Header.Set("Time-Left-Ms", fmt.Sprint(requestTime.Milliseconds()))
	named := ""
	for name, value := range headers {
		request.Header.Set(name, value)
		named += fmt.Sprintf(", %s: %s", name, value)
	}
	fleet.record.add("client sends try %s to %s: POST %s, body %q%s", tryID, front.name, path, body, named)
	got := exchange(request)
	fleet.record.add("client gets for try %s: status %d, seal %q, tokens %d%s", tryID, got.status, got.seal, got.tokens, errorText(got.err))
	return got
}

// errorText describes an error in the record.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return ", error: " + err.Error()
}

// exchange sends a request and reads the whole answer.
func exchange(request *http.Request) answer {
	client := &http.Client{Timeout: requestTime + time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	got := answer{status: response.StatusCode, body: string(data), seal: response.Header.Get("Server-Seal"), err: err}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		got.tokens = strings.Count(got.body, "\n\n") * tokensPerEvent
	}
	if err != nil {
		got.status = 0
	}
	return got
}

// retry sends tries until one is not refused with a promise that it has not run (429 or 503), as
// the users' clients do, or until the time is over.
func (fleet *fleet) retry(front *machine, path, name, body string, headers map[string]string) (got answer, tryID string) {
	until := time.Now().Add(8 * time.Second)
	for number := 1; ; number++ {
		tryID = fmt.Sprintf("%s.%d", name, number)
		got = fleet.send(front, path, tryID, body, headers)
		if got.status != http.StatusServiceUnavailable && got.status != http.StatusTooManyRequests || time.Now().After(until) {
			return got, tryID
		}
		time.Sleep(250 * time.Millisecond)
	}
}

// order sends an operator's order to the control nodes in turn until it is acknowledged.
func (fleet *fleet) order(method, path string, builtOn int, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	controls := fleet.serving("control")
	fleet.record.add("operator sends %s %s, Built-On %d: %s", method, path, builtOn, data)
	until := time.Now().Add(30 * time.Second)
	for number := 0; ; number++ {
		control := controls[number%len(controls)]
		request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", control.ip, controlPort, path), bytes.NewReader(data))
		if err != nil {
			return err
		}
		request.Header.Set("Built-On", fmt.Sprint(builtOn))
		request.Header.Set("Content-Type", "application/json")
		got := exchange(request)
		if got.status == http.StatusOK {
			fleet.record.add("operator gets 200 from %s", control.name)
			return nil
		}
		if got.status >= 400 && got.status < 500 || time.Now().After(until) {
			return fmt.Errorf("the order was answered with %d %s %v", got.status, got.body, got.err)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// awaitReady waits until all fronts call themselves ready.
func (fleet *fleet) awaitReady() error {
	until := time.Now().Add(30 * time.Second)
	for _, front := range fleet.serving("edge") {
		for {
			request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d/v1/readiness", front.ip, readinessPort), nil)
			if err != nil {
				return err
			}
			if exchange(request).status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", front.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	fleet.record.add("all fronts are ready")
	return nil
}

// item is one item of a configuration.
type item map[string]any

// limits are those of the example on the users' page.
var limits = item{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-wait-ms": 3000, "idle-ms": 15000}

// backend returns a plain service.
func backend(name string, dedupes bool) item {
	service := item{"name": name, "health-path": "/health", "max-conns": 360, "protocol": "h1", "tls": false, "cold-s": 0.0, "cold-per-s": 0.0}
	if dedupes {
		service["dedupes-itself"] = true
	}
	return service
}

// modelBackend returns a service of model runners.
func modelBackend(name string) item {
	service := backend(name, false)
	service["engine"] = item{"slots": 32, "cache-tokens": 200000, "token-cache-bytes": 18432, "link-mbps": 180000.0, "tokens-per-event": tokensPerEvent, "models": []item{{"name": "m"}}}
	return service
}

// route returns a route to one service.
func route(name, kind, backend string) item {
	return item{"name": "r-" + name, "hostname": host, "path-start": "/" + name + "/", "type": kind, "timeout-ms": 4000, "target-ms": 500, "urgency": 1, "backend": backend, "tries": 2, "sticky": false, "resumable": false, "saves-history": false}
}

// turnRoute returns a streaming route that keeps histories.
func turnRoute(name, backend string) item {
	turns := route(name, "streaming", backend)
	turns["tries"], turns["saves-history"], turns["keep-for-s"], turns["sticky"], turns["target-gap-ms"] = 1, true, 60.0, true, 300
	return turns
}
