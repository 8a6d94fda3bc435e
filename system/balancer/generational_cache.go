package balancer

// cacheGenerationSize is the number of entries in one generation.
const cacheGenerationSize = 8192

// generationalCache is a map of bounded size that evicts approximately the entries that
// were put least recently: when the newer generation is full, it replaces the older one.
type generationalCache[Value any] struct {
	newer, older map[uint64]Value
}

// get returns the value of a key and whether there is one.
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
