package balancer

import (
	"slices"
	"time"
)

const (
	// The horizon is how long an unused part is thought to be kept.
	minCacheHorizon      = 4 * time.Second
	maxCacheHorizon      = 10 * time.Minute
	cacheHorizonFraction = 0.7 // of the time in which new parts fill the runner's memory
)

// cachedPart tells which runners have read a part of a prompt, and when last.
type cachedPart struct {
	runners []cachedAt
}

type cachedAt struct {
	state    *runnerState
	lastUsed time.Duration
	tokens   int
}

// recordCached notes that a runner has read these parts.
func (balancer *Balancer) recordCached(parts []PromptPart, state *runnerState) {
	now := balancer.elapsed()
	for _, part := range parts {
		key := hashOf(part.Name)
		known, found := balancer.cachedParts.get(key)
		if !found {
			known = &cachedPart{}
		}
		at := slices.IndexFunc(known.runners, func(one cachedAt) bool { return one.state == state })
		if at < 0 {
			known.runners = slices.DeleteFunc(known.runners, func(one cachedAt) bool { return !one.state.listed })
			known.runners = append(known.runners, cachedAt{state: state, lastUsed: now, tokens: part.Tokens})
		} else {
			known.runners[at].lastUsed, known.runners[at].tokens = now, max(known.runners[at].tokens, part.Tokens)
		}
		balancer.cachedParts.put(key, known)
	}
}

// markCached marks every runner with how many tokens of the start of a prompt it has
// kept, as far as this front knows: a part counts only after all before it.
func (balancer *Balancer) markCached(pool *servicePool, request *Request, now time.Duration) {
	balancer.affinityEpoch++
	if pool.service.Engine == nil {
		return
	}
	horizon := balancer.cacheHorizon(pool, now)
	for depth, part := range request.PromptParts {
		known, found := balancer.cachedParts.get(hashOf(part.Name))
		if !found {
			break
		}
		for _, one := range known.runners {
			if now-one.lastUsed > horizon {
				continue
			}
			if one.state.affinityEpoch != balancer.affinityEpoch {
				one.state.affinityEpoch, one.state.cachedDepth, one.state.cachedTokens = balancer.affinityEpoch, 0, 0
			}
			if one.state.cachedDepth != depth {
				continue
			}
			one.state.cachedTokens += min(one.tokens, part.Tokens)
			if one.tokens >= part.Tokens {
				one.state.cachedDepth++
			}
		}
	}
	if len(request.PromptParts) > 0 {
		return
	}
	if last, found := balancer.lastRunner.get(affinityKeyOf(request, true)); found {
		last.affinityEpoch, last.cachedDepth, last.cachedTokens = balancer.affinityEpoch, 0, int(0.8*promptTokens(request))
	}
}

// cachedTokens is what markCached marked a runner with.
func (balancer *Balancer) cachedTokens(state *runnerState) int {
	if state.affinityEpoch != balancer.affinityEpoch {
		return 0
	}
	return state.cachedTokens
}

// cacheHorizon is how long a part that is not used is thought to stay: a part of the time
// in which all fronts together, if they are like this one, fill a runner's memory.
func (balancer *Balancer) cacheHorizon(pool *servicePool, now time.Duration) time.Duration {
	fill := pool.stats.prefillTokens.now(now) * float64(balancer.topology.Load().frontCount) / float64(max(1, len(pool.candidates)))
	if fill <= 0 {
		return maxCacheHorizon
	}
	seconds := cacheHorizonFraction * float64(pool.service.Engine.CacheTokens) / fill
	if seconds > maxCacheHorizon.Seconds() {
		return maxCacheHorizon
	}
	return max(minCacheHorizon, time.Duration(seconds*float64(time.Second)))
}

// promptTokens is how many tokens a prompt has.
func promptTokens(request *Request) float64 {
	tokens := 0
	for _, part := range request.PromptParts {
		tokens += part.Tokens
	}
	return max(float64(tokens), float64(request.InputTokens))
}
