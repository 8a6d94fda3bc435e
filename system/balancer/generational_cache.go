package balancer

const (
	cacheGenerationSize = 8192 // entries of one generation
)

// generationalCache is a bounded map that forgets what was unused for longest, by generations.
type generationalCache[Value any] struct {
	newer, older map[uint64]Value
}

func (cache *generationalCache[Value]) get(key uint64) (Value, bool) {
	value, found := cache.newer[key]
	if !found {
		value, found = cache.older[key]
	}
	return value, found
}

func (cache *generationalCache[Value]) put(key uint64, value Value) {
	if cache.newer == nil || len(cache.newer) >= cacheGenerationSize {
		cache.older, cache.newer = cache.newer, make(map[uint64]Value)
	}
	cache.newer[key] = value
}
