package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// ListedRunner is one entry of the platform's list.
type ListedRunner struct {
	Address string `json:"address"`
	Group   string `json:"group"`
	Domain  string `json:"domain"`
	State   string `json:"state"`
}

// Platform is a stand-in for the platform's list of runners. It lags behind what
// was put, and throttles those who ask too often.
type Platform struct {
	Lag       time.Duration
	Throttle  time.Duration
	mutex     sync.Mutex
	versions  []listVersion
	lastPoll  time.Time
	polls     int
	throttled int
}

type listVersion struct {
	since   time.Time
	runners []ListedRunner
}

// Put replaces the list.
//
//	platform.Put([]standin.ListedRunner{{Address: "127.0.0.1:8000", Group: "small", Domain: "east", State: "serving"}})
func (platform *Platform) Put(runners []ListedRunner) {
	platform.mutex.Lock()
	platform.versions = append(platform.versions, listVersion{time.Now(), runners})
	platform.mutex.Unlock()
}

// SetThrottle changes the shortest time between two list queries.
//
//	platform.SetThrottle(2 * time.Second)
func (platform *Platform) SetThrottle(shortest time.Duration) {
	platform.mutex.Lock()
	platform.Throttle = shortest
	platform.mutex.Unlock()
}

// Polls tells how often the list was asked for, and how often that was refused.
//
//	asks, refused := platform.Polls()
func (platform *Platform) Polls() (int, int) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	return platform.polls, platform.throttled
}

// ServeHTTP answers GET and PUT /runners.
func (platform *Platform) ServeHTTP(writer http.ResponseWriter, query *http.Request) {
	if query.Method == http.MethodPut {
		var runners []ListedRunner
		if err := json.NewDecoder(query.Body).Decode(&runners); err != nil {
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
	json.NewEncoder(writer).Encode(map[string]any{"runners": shown})
}
