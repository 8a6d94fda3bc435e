package loadgen

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// SpikeResult counts the requests of a traffic spike. Wrong ones were rejected as not run without
// a time after which to come back.
type SpikeResult struct {
	Sent, Served, Rejected, Wrong int
	Urgent, UrgentServed          int
}

// Spike sends lookups at a rate, on top of all other load, with one urgent request in 20.
//
//	seen := loadgen.Spike(ctx, target, 4*time.Second, 500)
func Spike(ctx context.Context, target Target, lasts time.Duration, perSecond int) SpikeResult {
	generator := newGenerator(target, Mix{})
	var mutex sync.Mutex
	var sent sync.WaitGroup
	seen := SpikeResult{}
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 3))
	for number := range int(lasts.Seconds() * float64(perSecond)) {
		front := generator.front(random)
		urgent := number%20 == 0
		sent.Go(func() {
			path, body := "/v1/lookups", map[string]any{"program": "dialogue", "kind": "lookup", "words": "where is everybody"}
			if urgent {
				path, body = "/v1/queries", map[string]any{"program": "counter", "kind": "activation", "words": "now", "query_key": fmt.Sprintf("crowd-%d-%d", time.Now().UnixNano(), number)}
			}
			limited, cancel := context.WithTimeout(ctx, answerTimeout)
			defer cancel()
			answer, apierror, err := generator.send(limited, http.MethodPost, front, path, body)
			if err == nil && apierror == nil {
				answer.Body.Close()
			}
			mutex.Lock()
			defer mutex.Unlock()
			seen.Sent++
			served := err == nil && apierror == nil
			if served {
				seen.Served++
			}
			if apierror != nil {
				seen.Rejected++
				if apierror.RetryAfter == 0 && apierror.Kind == "not_run" {
					seen.Wrong++
				}
			}
			if urgent {
				seen.Urgent++
				if served {
					seen.UrgentServed++
				}
			}
		})
		select {
		case <-time.After(time.Second / time.Duration(perSecond)):
		case <-ctx.Done():
		}
	}
	sent.Wait()
	return seen
}
