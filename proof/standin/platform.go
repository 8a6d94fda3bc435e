package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// ListedRunner is one entry of the platform's runner list.
type ListedRunner struct {
	Address string `json:"address"`
	Group   string `json:"group"`
	Domain  string `json:"domain"`
	State   string `json:"state"`
}

// Platform is a stand-in for the platform's runner list. Its methods are safe for concurrent
// use.
type Platform struct {
	// Lag is how long after Put the list is still served as it was before.
	Lag time.Duration
	// Throttle is the shortest time between two polls; a poll that comes sooner is answered
	// with 429.
	Throttle  time.Duration
	mutex     sync.Mutex
	versions  []listVersion
	lastPoll  time.Time
	polls     int
	throttled int
}

// listVersion is the list from one Put on.
type listVersion struct {
	since   time.Time
	runners []ListedRunner
}

// Put replaces the list; callers see the new one after Lag.
//
//	platform.Put([]standin.ListedRunner{{Address: "127.0.0.1:8000", Group: "small", Domain: "east", State: "serving"}})
func (platform *Platform) Put(runners []ListedRunner) {
	platform.mutex.Lock()
	platform.versions = append(platform.versions, listVersion{time.Now(), runners})
	platform.mutex.Unlock()
}

// SetThrottle changes the shortest time between two polls.
//
//	platform.SetThrottle(2 * time.Second)
func (platform *Platform) SetThrottle(shortest time.Duration) {
	platform.mutex.Lock()
	platform.Throttle = shortest
	platform.mutex.Unlock()
}

// Polls counts the polls of the list, and those of them that were answered with 429.
//
//	polls, throttled := platform.Polls()
func (platform *Platform) Polls() (polls, throttled int) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	return platform.polls, platform.throttled
}

// ServeHTTP answers GET and PUT /runners.
func (platform *Platform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodPut {
		var runners []ListedRunner
		if err := json.NewDecoder(request.Body).Decode(&runners); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		platform.Put(runners)
		return
	}
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.polls++
	if since := time.Since(platform.lastPoll); since < platform.Throttle {
		platform.throttled++
		writer.Header().Set("Retry-After", strconv.Itoa(int((platform.Throttle+time.Second-1)/time.Second)))
		writer.WriteHeader(http.StatusTooManyRequests)
		return
	}
	platform.lastPoll = time.Now()
	shown := []ListedRunner{}
	for position, put := range platform.versions {
		if position == 0 || time.Since(put.since) >= platform.Lag {
			shown = put.runners
		}
	}
	writer.Header().Set("Content-Type", "application/json")
	writeJSON(writer, map[string]any{"runners": shown})
}
