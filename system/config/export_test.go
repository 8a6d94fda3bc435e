package config

// The tests are in package config_test because they use package configsource, which imports this
// package. The following exports what they need.

// Equal exports equal.
func (routing *Routing) Equal(other *Routing) bool { return routing.equal(other) }

// HasIndex reports whether BuildIndex was called.
func (routing *Routing) HasIndex() bool { return routing.index != nil }
