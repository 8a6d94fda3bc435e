package loadgen

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// SpikeResult counts the requests of a traffic spike. A rejection as not run must state the
// time to retry after; RejectedWithoutRetryAfter counts those that do not.
type SpikeResult struct {
	Sent, Served, Rejected, RejectedWithoutRetryAfter int
	Urgent, UrgentServed                              int
}

// Spike sends requests at a rate, in addition to other load: lookups, and one urgent request in 20.
//
//	result := loadgen.Spike(ctx, target, 4*time.Second, 500)
func Spike(ctx context.Context, target Target, duration time.Duration, perSecond int) SpikeResult {
	generator := newGenerator(target, Mix{})
	var mutex sync.Mutex
	var pending sync.WaitGroup
	result := SpikeResult{}
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 3))
	for number := range int(duration.Seconds() * float64(perSecond)) {
		front := generator.pickFront(random)
		urgent := number%20 == 0
		pending.Go(func() {
			path, body := "/v1/lookups", map[string]any{"program": "dialogue", "kind": "lookup", "words": "where is everybody"}
			if urgent {
				path, body = "/v1/queries", map[string]any{"program": "counter", "kind": "activation", "words": "now", "query_key": fmt.Sprintf("crowd-%d-%d", time.Now().UnixNano(), number)}
			}
			callContext, cancel := context.WithTimeout(ctx, answerTimeout)
			defer cancel()
			response, apiError, err := generator.send(callContext, http.MethodPost, front, path, body)
			if err == nil && apiError == nil {
				response.Body.Close()
			}
			mutex.Lock()
			defer mutex.Unlock()
			result.Sent++
			served := err == nil && apiError == nil
			if served {
				result.Served++
			}
			if apiError != nil {
				result.Rejected++
				if apiError.RetryAfter == 0 && apiError.Kind == "not_run" {
					result.RejectedWithoutRetryAfter++
				}
			}
			if urgent {
				result.Urgent++
				if served {
					result.UrgentServed++
				}
			}
		})
		select {
		case <-time.After(time.Second / time.Duration(perSecond)):
		case <-ctx.Done():
		}
	}
	pending.Wait()
	return result
}
