package balancer

import "slices"

// modelRunner simulates a runner that serves an LLM with batching, chunked prefill and a
// prefix cache.
type modelRunner struct {
	sim                                                      *simulation
	slots, prefillChunk                                      int
	stepTime, stepTimePerRequest, prefillRate, outputLatency float64
	cacheTokens, usedTokens                                  int
	cachedParts                                              map[string]*cacheEntry
	running, waiting                                         []*turn
	stepping                                                 bool
	slowdown                                                 float64 // factor on the duration of a step
}

func (runner *modelRunner) accept(accepted *turn) {
	runner.waiting = append(runner.waiting, accepted)
	if !runner.stepping {
		runner.stepping = true
		runner.step()
	}
}

func (runner *modelRunner) step() {
	for len(runner.running) < runner.slots && len(runner.waiting) > 0 {
		next := runner.waiting[0]
		runner.waiting = runner.waiting[1:]
		next.prefillTokens = 0
		missed := false
		for _, part := range next.parts {
			entry := runner.cachedParts[part.ID]
			if missed = missed || entry == nil || entry.tokens < part.Tokens; missed {
				next.prefillTokens += part.Tokens
			} else {
				entry.lastUsed = runner.sim.now
			}
		}
		runner.running = append(runner.running, next)
	}
	if len(runner.running) == 0 {
		runner.stepping = false
		return
	}
	latency, budget := runner.stepTime+runner.stepTimePerRequest*float64(len(runner.running)), runner.prefillChunk
	for _, active := range runner.running {
		processed := min(budget, active.prefillTokens)
		active.prefillTokens, budget = active.prefillTokens-processed, budget-processed
		latency += float64(processed) / runner.prefillRate
	}
	runner.sim.schedule(latency*runner.slowdown, func() {
		runner.running = slices.DeleteFunc(runner.running, func(active *turn) bool {
			if active.prefillTokens > 0 {
				return false
			}
			if !active.firstEventSent {
				active.firstEventSent = true
				runner.recordCached(active.parts)
				runner.sim.schedule(runner.outputLatency, active.onFirstEvent)
			}
			if active.outputTokens--; active.outputTokens > 0 {
				return false
			}
			runner.sim.schedule(runner.outputLatency, active.onDone)
			return true
		})
		runner.step()
	})
}

func (runner *modelRunner) recordCached(parts []PromptPart) {
	for _, part := range parts {
		if entry := runner.cachedParts[part.ID]; entry != nil {
			entry.lastUsed = runner.sim.now
			continue
		}
		runner.cachedParts[part.ID] = &cacheEntry{part.Tokens, runner.sim.now}
		runner.usedTokens += part.Tokens
	}
	for runner.usedTokens > runner.cacheTokens {
		oldest := ""
		for name, entry := range runner.cachedParts {
			if oldest == "" || entry.lastUsed < runner.cachedParts[oldest].lastUsed {
				oldest = name
			}
		}
		runner.usedTokens -= runner.cachedParts[oldest].tokens
		delete(runner.cachedParts, oldest)
	}
}

type cacheEntry struct {
	tokens   int
	lastUsed float64
}

type turn struct {
	parts                       []PromptPart
	prefillTokens, outputTokens int
	requested                   float64
	onFirstEvent, onDone        func()
	firstEventSent              bool
}
