package balancer

import (
	"slices"
	"time"
)

const (
	memoryMost = 8192 // entries of one generation
	// The horizon is how long an unused part is thought to be kept.
	horizonLeast = 4 * time.Second
	horizonMost  = 10 * time.Minute
	horizonPart  = 0.7 // of the time in which new parts fill the runner's memory
)

// memory is a bounded map that forgets what was unused for longest, by generations.
type memory[Value any] struct {
	newer, older map[uint64]Value
}

func (kept *memory[Value]) get(key uint64) (Value, bool) {
	value, found := kept.newer[key]
	if !found {
		value, found = kept.older[key]
	}
	return value, found
}

func (kept *memory[Value]) put(key uint64, value Value) {
	if kept.newer == nil || len(kept.newer) >= memoryMost {
		kept.older, kept.newer = kept.newer, make(map[uint64]Value)
	}
	kept.newer[key] = value
}

// keptPart tells which runners have read a part of a prompt, and when last.
type keptPart struct {
	holders []holder
}

type holder struct {
	state  *runnerState
	at     time.Duration
	tokens int
}

// keep notes that a runner has read these parts.
func (balancer *Balancer) keep(parts []Part, state *runnerState) {
	now := balancer.clock()
	for _, part := range parts {
		key := hashOf(part.Name)
		known, found := balancer.parts.get(key)
		if !found {
			known = &keptPart{}
		}
		at := slices.IndexFunc(known.holders, func(one holder) bool { return one.state == state })
		if at < 0 {
			known.holders = slices.DeleteFunc(known.holders, func(one holder) bool { return !one.state.listed })
			known.holders = append(known.holders, holder{state: state, at: now, tokens: part.Tokens})
		} else {
			known.holders[at].at, known.holders[at].tokens = now, max(known.holders[at].tokens, part.Tokens)
		}
		balancer.parts.put(key, known)
	}
}

// markKept marks every runner with how many tokens of the start of a prompt it has
// kept, as far as this front knows: a part counts only after all before it.
func (balancer *Balancer) markKept(from *group, need *Need, now time.Duration) {
	balancer.epoch++
	if from.service.Engine == nil {
		return
	}
	horizon := balancer.horizon(from, now)
	for depth, part := range need.Parts {
		known, found := balancer.parts.get(hashOf(part.Name))
		if !found {
			break
		}
		for _, one := range known.holders {
			if now-one.at > horizon {
				continue
			}
			if one.state.epoch != balancer.epoch {
				one.state.epoch, one.state.depth, one.state.kept = balancer.epoch, 0, 0
			}
			if one.state.depth != depth {
				continue
			}
			one.state.kept += min(one.tokens, part.Tokens)
			if one.tokens >= part.Tokens {
				one.state.depth++
			}
		}
	}
	if len(need.Parts) > 0 {
		return
	}
	if last, found := balancer.places.get(lineOf(need, true)); found {
		last.epoch, last.depth, last.kept = balancer.epoch, 0, int(0.8*tokensOf(need))
	}
}

// keptBy is what markKept marked a runner with.
func (balancer *Balancer) keptBy(state *runnerState) int {
	if state.epoch != balancer.epoch {
		return 0
	}
	return state.kept
}

// horizon is how long a part that is not used is thought to stay: a part of the time
// in which all fronts together, if they are like this one, fill a runner's memory.
func (balancer *Balancer) horizon(from *group, now time.Duration) time.Duration {
	fill := from.state.tokens.now(now) * float64(balancer.table.Load().fronts) / float64(max(1, len(from.candidates)))
	if fill <= 0 {
		return horizonMost
	}
	seconds := horizonPart * float64(from.service.Engine.CacheTokens) / fill
	if seconds > horizonMost.Seconds() {
		return horizonMost
	}
	return max(horizonLeast, time.Duration(seconds*float64(time.Second)))
}

// tokensOf is how many tokens a prompt has.
func tokensOf(need *Need) float64 {
	tokens := 0
	for _, part := range need.Parts {
		tokens += part.Tokens
	}
	return max(float64(tokens), float64(need.TokensIn))
}

// lineOf is what queries have in common that should go to the same runner: the program
// of turns, or the subject of plain work; 0: nothing.
func lineOf(need *Need, engine bool) uint64 {
	switch {
	case engine && need.Program != "":
		return hashOf(need.Program)
	case engine && need.Session != "":
		return hashOf(need.Session)
	case need.Route.Sticky && need.Subject != "":
		return mixed(hashOf(need.Subject) + 1)
	}
	return 0
}
