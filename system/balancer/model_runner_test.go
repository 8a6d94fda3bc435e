package balancer

import "slices"

// modelRunner simulates a runner that serves an LLM.
type modelRunner struct {
	sim                                    *simulation
	slots, chunk                           int
	stepTime, perSlot, rate, outputLatency float64
	cacheTokens, usedTokens                int
	cachedParts                            map[string]*cacheEntry
	running, waiting                       []*turn
	stepping                               bool
	slowdown                               float64 // how many times slower than the others
}

func (runner *modelRunner) accept(one *turn) {
	runner.waiting = append(runner.waiting, one)
	if !runner.stepping {
		runner.stepping = true
		runner.step()
	}
}

func (runner *modelRunner) step() {
	for len(runner.running) < runner.slots && len(runner.waiting) > 0 {
		one := runner.waiting[0]
		runner.waiting = runner.waiting[1:]
		one.prefillTokens = 0
		reading := false
		for _, part := range one.parts {
			known := runner.cachedParts[part.Name]
			if reading = reading || known == nil || known.tokens < part.Tokens; reading {
				one.prefillTokens += part.Tokens
			} else {
				known.lastUsed = runner.sim.now
			}
		}
		runner.running = append(runner.running, one)
	}
	if len(runner.running) == 0 {
		runner.stepping = false
		return
	}
	latency, left := runner.stepTime+runner.perSlot*float64(len(runner.running)), runner.chunk
	for _, one := range runner.running {
		read := min(left, one.prefillTokens)
		one.prefillTokens, left = one.prefillTokens-read, left-read
		latency += float64(read) / runner.rate
	}
	runner.sim.schedule(latency*runner.slowdown, func() {
		runner.running = slices.DeleteFunc(runner.running, func(one *turn) bool {
			if one.prefillTokens > 0 {
				return false
			}
			if !one.sent {
				one.sent = true
				runner.recordCached(one.parts)
				runner.sim.schedule(runner.outputLatency, one.first)
			}
			if one.outputTokens--; one.outputTokens > 0 {
				return false
			}
			runner.sim.schedule(runner.outputLatency, one.done)
			return true
		})
		runner.step()
	})
}

func (runner *modelRunner) recordCached(parts []PromptPart) {
	for _, part := range parts {
		if known := runner.cachedParts[part.Name]; known != nil {
			known.lastUsed = runner.sim.now
			continue
		}
		runner.cachedParts[part.Name] = &cacheEntry{part.Tokens, runner.sim.now}
		runner.usedTokens += part.Tokens
	}
	for runner.usedTokens > runner.cacheTokens {
		oldest := ""
		for name, known := range runner.cachedParts {
			if oldest == "" || known.lastUsed < runner.cachedParts[oldest].lastUsed {
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
	first, done                 func()
	sent                        bool
}
