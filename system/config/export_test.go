package config

// The tests of this package are apart from it, as they use package configsource, which builds
// on it. They need to see the following.

// Equal reports whether two routings are equal.
func (routing *Routing) Equal(other *Routing) bool { return routing.equal(other) }

// HasIndex reports whether the routing has been indexed.
func (routing *Routing) HasIndex() bool { return routing.index != nil }
