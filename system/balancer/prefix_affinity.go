package balancer

import (
	"slices"
	"time"
)

const (
	// The cache horizon is how long a runner is assumed to keep an unused prompt part in its
	// prefix cache: cacheHorizonFraction of the time in which new tokens fill the cache,
	// clamped to minCacheHorizon and maxCacheHorizon.
	minCacheHorizon      = 4 * time.Second
	maxCacheHorizon      = 10 * time.Minute
	cacheHorizonFraction = 0.7
	// unknownPartsCachedFraction is the fraction of a prompt with unknown parts that the
	// runner of the program's last request is assumed to have cached.
	unknownPartsCachedFraction = 0.8
)

// cachedPart lists the runners that have processed a prompt part.
type cachedPart struct {
	copies []cachedCopy
}

// cachedCopy is a runner's assumed copy of a prompt part in its prefix cache.
type cachedCopy struct {
	state    *runnerState
	lastUsed time.Duration
	tokens   int // the longest length of the part that the runner has processed
}

// recordCached records that a runner has processed prompt parts.
func (balancer *Balancer) recordCached(parts []PromptPart, state *runnerState) {
	now := balancer.elapsed()
	for _, part := range parts {
		key := hashOf(part.ID)
		cached, found := balancer.cachedParts.get(key)
		if !found {
			cached = &cachedPart{}
		}
		cached.record(state, part.Tokens, now)
		balancer.cachedParts.put(key, cached)
	}
}

// record adds or refreshes the copy of a runner. Adding one drops those of runners that
// left the runner list.
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
// probably cached. A part counts only if all parts before it are cached completely, because
// a prefix cache matches from the start of the prompt. The marks are valid until the next
// call.
func (balancer *Balancer) markCached(pool *servicePool, request *Request, now time.Duration) {
	balancer.affinityEpoch++
	if pool.service.Engine == nil {
		return
	}
	balancer.markCacheLocation(request)
	horizon := balancer.cacheHorizon(pool, now)
	for depth, part := range request.PromptParts {
		cached, found := balancer.cachedParts.get(hashOf(part.ID))
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

// markCacheLocation marks the runner that the request names in CachedAt.
func (balancer *Balancer) markCacheLocation(request *Request) {
	state, found := balancer.runners[request.CachedAt.Runner]
	if !found {
		return
	}
	state.resetMarks(balancer.affinityEpoch)
	state.cacheLocationTokens = min(request.CachedAt.Tokens, int(promptTokens(request)))
}

// resetMarks clears the marks of an earlier request.
func (state *runnerState) resetMarks(epoch uint64) {
	if state.affinityEpoch != epoch {
		state.affinityEpoch, state.cachedDepth, state.cachedTokens, state.cacheLocationTokens = epoch, 0, 0, 0
	}
}

// markPart adds the cached tokens of the prompt part with an index, if all parts before
// it are cached completely.
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
// runner has probably cached, by this front's own requests or by Request.CachedAt.
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

// promptTokens returns the length of a request's prompt in tokens.
func promptTokens(request *Request) float64 {
	tokens := 0
	for _, part := range request.PromptParts {
		tokens += part.Tokens
	}
	return max(float64(tokens), float64(request.InputTokens))
}
