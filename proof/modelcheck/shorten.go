package modelcheck

import "slices"

// shorten removes actions from a walk as long as the rest still violates the same invariant,
// and returns that violation with its trace.
func shorten(model *Model, actions []Action, violation *Violation) *Violation {
	shortest, kept := replay(model, actions)
	if shortest == nil || shortest.Invariant != violation.Invariant {
		return violation // the replay did not reproduce it; its trace is empty
	}
	for size := len(kept) / 2; size > 0; {
		reduced := false
		for from := 0; from < len(kept); {
			candidate := slices.Delete(slices.Clone(kept), from, min(from+size, len(kept)))
			found, possible := replay(model, candidate)
			if found == nil || found.Invariant != violation.Invariant {
				from += size
				continue
			}
			shortest, kept, reduced = found, possible, true
		}
		if !reduced || size > 1 {
			size /= 2
		}
	}
	return shortest
}

// replay applies the actions that are enabled until one violates an invariant. It returns
// the violation, if any, and the applied actions.
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
		if violation := world.violation; violation != nil {
			violation.Trace = lines
			return violation, possible
		}
	}
	return nil, possible
}
