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

// Platform is a stand-in for the platform's runner list. Its methods are safe for concurrent use.
type Platform struct {
	// Lag is how long after a Put the previous list is still served.
	Lag time.Duration
	// Throttle is the minimum interval between two polls; an earlier poll is answered with 429.
	Throttle  time.Duration
	mutex     sync.Mutex
	versions  []listVersion
	lastPoll  time.Time
	polls     int
	throttled int
}

// listVersion is the list of one Put.
type listVersion struct {
	since   time.Time
	runners []ListedRunner
}

// Put replaces the list. It becomes visible after Lag; the first list is visible at once.
//
//	platform.Put([]standin.ListedRunner{{Address: "127.0.0.1:8000", Group: "small", Domain: "east", State: "serving"}})
func (platform *Platform) Put(runners []ListedRunner) {
	platform.mutex.Lock()
	platform.versions = append(platform.versions, listVersion{time.Now(), runners})
	platform.mutex.Unlock()
}

// SetThrottle changes the minimum interval between two polls.
//
//	platform.SetThrottle(2 * time.Second)
func (platform *Platform) SetThrottle(interval time.Duration) {
	platform.mutex.Lock()
	platform.Throttle = interval
	platform.mutex.Unlock()
}

// Polls returns the number of polls of the list, and of those that were answered with 429.
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
	if elapsed := time.Since(platform.lastPoll); elapsed < platform.Throttle {
		platform.throttled++
		writer.Header().Set("Retry-After", strconv.Itoa(int((platform.Throttle+time.Second-1)/time.Second)))
		writer.WriteHeader(http.StatusTooManyRequests)
		return
	}
	platform.lastPoll = time.Now()
	visible := []ListedRunner{}
	for position, version := range platform.versions {
		if position == 0 || time.Since(version.since) >= platform.Lag {
			visible = version.runners
		}
	}
	writer.Header().Set("Content-Type", "application/json")
	writeJSON(writer, map[string]any{"runners": visible})
}
