package balancer

import (
	"slices"
	"time"
)

const (
	// The cache horizon is for how long a runner is assumed to keep a prompt part in its
	// prefix cache without using it: cacheHorizonFraction of the time in which new tokens
	// fill the cache, limited to minCacheHorizon and maxCacheHorizon.
	minCacheHorizon      = 4 * time.Second
	maxCacheHorizon      = 10 * time.Minute
	cacheHorizonFraction = 0.7
	// unknownPartsCachedFraction is the fraction of a prompt whose parts are not known that
	// the runner of the program's last request is assumed to have cached.
	unknownPartsCachedFraction = 0.8
)

// cachedPart is the set of runners that have processed a prompt part.
type cachedPart struct {
	copies []cachedCopy
}

// cachedCopy is one runner that has processed a prompt part.
type cachedCopy struct {
	state    *runnerState
	lastUsed time.Duration
	tokens   int // the longest extent of the part that it has seen
}

// recordCached records that a runner has processed prompt parts.
func (balancer *Balancer) recordCached(parts []PromptPart, state *runnerState) {
	now := balancer.elapsed()
	for _, part := range parts {
		key := hashOf(part.Name)
		cached, found := balancer.cachedParts.get(key)
		if !found {
			cached = &cachedPart{}
		}
		cached.record(state, part.Tokens, now)
		balancer.cachedParts.put(key, cached)
	}
}

// record adds a runner or renews its entry. Entries of runners that left the list are
// dropped when one is added.
func (part *cachedPart) record(state *runnerState, tokens int, now time.Duration) {
	index := slices.IndexFunc(part.copies, func(entry cachedCopy) bool { return entry.state == state })
	if index >= 0 {
		part.copies[index].lastUsed, part.copies[index].tokens = now, max(part.copies[index].tokens, tokens)
		return
	}
	part.copies = slices.DeleteFunc(part.copies, func(entry cachedCopy) bool { return !entry.state.listed })
	part.copies = append(part.copies, cachedCopy{state: state, lastUsed: now, tokens: tokens})
}

// markCached sets on every runner how many leading tokens of a request's prompt it has
// probably cached, as far as this front knows. A part counts only if all parts before it
// are cached completely, as a prefix cache needs. The marks are valid until the next call.
func (balancer *Balancer) markCached(pool *servicePool, request *Request, now time.Duration) {
	balancer.affinityEpoch++
	if pool.service.Engine == nil {
		return
	}
	balancer.markCacheLocation(request)
	horizon := balancer.cacheHorizon(pool, now)
	for depth, part := range request.PromptParts {
		cached, found := balancer.cachedParts.get(hashOf(part.Name))
		if !found {
			break
		}
		for _, entry := range cached.copies {
			if now-entry.lastUsed <= horizon {
				entry.state.markPart(depth, min(entry.tokens, part.Tokens), entry.tokens >= part.Tokens, balancer.affinityEpoch)
			}
		}
	}
	if len(request.PromptParts) > 0 {
		return
	}
	if last, found := balancer.lastRunner.get(affinityKeyOf(request, true)); found {
		last.resetMarks(balancer.affinityEpoch)
		last.cachedTokens = int(unknownPartsCachedFraction * promptTokens(request))
	}
}

// markCacheLocation marks the runner that served the conversation last.
func (balancer *Balancer) markCacheLocation(request *Request) {
	state, found := balancer.runners[request.CachedAt.Runner]
	if !found {
		return
	}
	state.resetMarks(balancer.affinityEpoch)
	state.cacheLocationTokens = min(request.CachedAt.Tokens, int(promptTokens(request)))
}

// resetMarks removes the marks of an earlier request.
func (state *runnerState) resetMarks(epoch uint64) {
	if state.affinityEpoch != epoch {
		state.affinityEpoch, state.cachedDepth, state.cachedTokens, state.cacheLocationTokens = epoch, 0, 0, 0
	}
}

// markPart adds the cached tokens of the part at a depth of the prompt.
func (state *runnerState) markPart(depth, tokens int, complete bool, epoch uint64) {
	state.resetMarks(epoch)
	if state.cachedDepth != depth {
		return
	}
	state.cachedTokens += tokens
	if complete {
		state.cachedDepth++
	}
}

// cachedTokens returns how many leading tokens of the prompt last passed to markCached a
// runner has probably cached: those that this front sent to it, or those that its conversation
// left there.
func (balancer *Balancer) cachedTokens(state *runnerState) float64 {
	if state.affinityEpoch != balancer.affinityEpoch {
		return 0
	}
	return float64(max(state.cachedTokens, state.cacheLocationTokens))
}

// cacheHorizon returns the cache horizon of a service's runners, assuming that the other
// fronts send as many new tokens as this one.
func (balancer *Balancer) cacheHorizon(pool *servicePool, now time.Duration) time.Duration {
	fillRate := pool.stats.prefillTokens.rateAt(now) * float64(balancer.topology.Load().frontCount) / float64(max(1, len(pool.candidates)))
	if fillRate <= 0 {
		return maxCacheHorizon
	}
	seconds := cacheHorizonFraction * float64(pool.service.Engine.CacheTokens) / fillRate
	if seconds > maxCacheHorizon.Seconds() {
		return maxCacheHorizon
	}
	return max(minCacheHorizon, time.Duration(seconds*float64(time.Second)))
}

// promptTokens returns the length of a request's prompt.
func promptTokens(request *Request) float64 {
	tokens := 0
	for _, part := range request.PromptParts {
		tokens += part.Tokens
	}
	return max(float64(tokens), float64(request.InputTokens))
}
