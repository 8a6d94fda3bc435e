package modelcheck

import "slices"

// shorten takes actions out of a walk for as long as what is left breaks the same
// invariant, and gives that violation with its trace.
func shorten(model *Model, actions []Action, broken *Violation) *Violation {
	shortest, kept := replay(model, actions)
	if shortest == nil || shortest.Invariant != broken.Invariant {
		return broken // not repeatable; its trace is empty
	}
	for size := len(kept) / 2; size > 0; {
		shorter := false
		for from := 0; from < len(kept); {
			without := slices.Delete(slices.Clone(kept), from, min(from+size, len(kept)))
			found, possible := replay(model, without)
			if found == nil || found.Invariant != broken.Invariant {
				from += size
				continue
			}
			shortest, kept, shorter = found, possible, true
		}
		if !shorter || size > 1 {
			size /= 2
		}
	}
	return shortest
}

// replay does those of the actions that are possible, and returns which they were and what
// they broke.
func replay(model *Model, actions []Action) (*Violation, []Action) {
	world := NewWorld(model)
	possible := []Action{}
	lines := []string{}
	for _, action := range actions {
		if world.replica(action.Replica) == nil {
			continue
		}
		line := action.describe(world)
		if !world.Apply(action) {
			continue
		}
		possible = append(possible, action)
		lines = append(lines, line)
		if broken := world.violation; broken != nil {
			broken.Trace = lines
			return broken, possible
		}
	}
	return nil, possible
}
