package balancer

// agreed is the runner that all fronts of a domain choose for a line of turns, by
// rendezvous hashing.
func (pool *servicePool) rendezvousRunner(affinityKey uint64) *runnerState {
	var best *runnerState
	highest := uint64(0)
	for at := range pool.candidates {
		one := &pool.candidates[at]
		if pool.preferLocal && !one.local {
			continue
		}
		if weight := mixBits(affinityKey ^ one.state.hash); best == nil || weight > highest {
			best, highest = one.state, weight
		}
	}
	return best
}

// affinityKeyOf is what queries have in common that should go to the same runner: the program
// of turns, or the subject of plain work; 0: nothing.
func affinityKeyOf(request *Request, engine bool) uint64 {
	switch {
	case engine && request.Program != "":
		return hashOf(request.Program)
	case engine && request.Session != "":
		return hashOf(request.Session)
	case request.Route.Sticky && request.AffinityKey != "":
		return mixBits(hashOf(request.AffinityKey) + 1)
	}
	return 0
}

// hashOf gives the same number for a text at every front.
func hashOf(text string) uint64 {
	hash := uint64(14695981039346656037)
	for at := range len(text) {
		hash = (hash ^ uint64(text[at])) * 1099511628211
	}
	return mixBits(hash)
}

// mixBits spreads a number over all its bits.
func mixBits(hash uint64) uint64 {
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}
