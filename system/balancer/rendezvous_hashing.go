package balancer

// affinityKeyOf returns the hash key of a request; requests with equal keys should go to the
// same runner. It is that of the program, or else of the session, for model work, otherwise
// that of the request's affinity key on a sticky route. 0 means no preference.
func affinityKeyOf(request *Request, isModel bool) uint64 {
	switch {
	case isModel && request.Program != "":
		return hashOf(request.Program)
	case isModel && request.Session != "":
		return hashOf(request.Session)
	case request.Route.Sticky && request.AffinityKey != "":
		return mixBits(hashOf(request.AffinityKey) + 1)
	}
	return 0
}

// rendezvousRunner returns the runner with the highest rendezvous hash for a key. All
// fronts of a domain compute the same one from the same list without coordination, and a
// change of the list moves only the keys of the runners that changed.
func (pool *servicePool) rendezvousRunner(key uint64) *runnerState {
	var best *runnerState
	highest := uint64(0)
	for index := range pool.candidates {
		candidate := &pool.candidates[index]
		if pool.preferLocal && !candidate.local {
			continue
		}
		if weight := mixBits(key ^ candidate.state.hash); best == nil || weight > highest {
			best, highest = candidate.state, weight
		}
	}
	return best
}

// The parameters of the 64-bit FNV-1a hash.
const (
	fnvOffsetBasis = 14695981039346656037
	fnvPrime       = 1099511628211
)

// hashOf returns the FNV-1a hash of a text, passed through mixBits. It is the same in every
// process, unlike that of hash/maphash.
func hashOf(text string) uint64 {
	hash := uint64(fnvOffsetBasis)
	for index := range len(text) {
		hash = (hash ^ uint64(text[index])) * fnvPrime
	}
	return mixBits(hash)
}

// mixBits spreads the entropy of a hash over all its bits (the finalizer of SplitMix64).
func mixBits(hash uint64) uint64 {
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}
