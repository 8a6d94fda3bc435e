package balancer

// cacheGenerationSize is the number of entries in one generation.
const cacheGenerationSize = 8192

// generationalCache is a map with a bounded number of entries that drops those that were
// not put for longest. When the newer generation is full, it becomes the older one and
// what was older is dropped.
type generationalCache[Value any] struct {
	newer, older map[uint64]Value
}

// get returns the value of a key, if it is there.
func (cache *generationalCache[Value]) get(key uint64) (Value, bool) {
	value, found := cache.newer[key]
	if !found {
		value, found = cache.older[key]
	}
	return value, found
}

// put sets the value of a key.
func (cache *generationalCache[Value]) put(key uint64, value Value) {
	if cache.newer == nil || len(cache.newer) >= cacheGenerationSize {
		cache.older, cache.newer = cache.newer, make(map[uint64]Value)
	}
	cache.newer[key] = value
}
