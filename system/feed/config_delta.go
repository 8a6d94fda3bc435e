package feed

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"

	"yardrock.example/system/delta"
)

// ErrBaseMismatch reports that a ConfigDelta cannot be applied: the config in the view is not its
// base, or the result has another digest. The view is unchanged; its holder must fetch a full
// one.
var ErrBaseMismatch = errors.New("config delta does not match the current config")

// ConfigDelta encodes a config as a delta on another one, its base. The zero value means that
// there is no delta.
type ConfigDelta struct {
	// Base is the number of the base config.
	Base uint64 `capnp:"base"`
	// Source and Compiled are deltas, in the format of package delta, of the two parts of the
	// config.
	Source   []byte `capnp:"source"`
	Compiled []byte `capnp:"compiled"`
	// Digest is the ConfigDigest of the resulting config. It is checked whenever the delta is
	// applied, so that replicas do not diverge on a wrong base.
	Digest []byte `capnp:"digest"`
}

// configDigestSize is the length in bytes of a config digest, a truncated SHA-256 sum.
const configDigestSize = 16

// ConfigDigest returns the digest of a config's source and compiled form: the first
// configDigestSize bytes of their SHA-256 sum.
//
//	digest := feed.ConfigDigest(view.Source, view.Compiled)
func ConfigDigest(source string, compiled []byte) []byte {
	hash := sha256.New()
	hash.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(source))))
	hash.Write([]byte(source))
	hash.Write(compiled)
	return hash.Sum(nil)[:configDigestSize]
}

// newConfigDelta encodes a config as a delta on the config of a view. Fits is false if the delta
// would exceed limit bytes.
func newConfigDelta(base *View, source string, compiled []byte, limit int) (configDelta ConfigDelta, fits bool) {
	configDelta.Base = base.ConfigNumber
	if configDelta.Source, fits = delta.MakeWithin([]byte(base.Source), []byte(source), limit); !fits {
		return ConfigDelta{}, false
	}
	if configDelta.Compiled, fits = delta.MakeWithin(base.Compiled, compiled, limit); !fits {
		return ConfigDelta{}, false
	}
	configDelta.Digest = ConfigDigest(source, compiled)
	return configDelta, configDelta.size() <= limit
}

// IsZero reports whether there is no delta.
//
//	if change.Delta.IsZero() { ... }
func (configDelta *ConfigDelta) IsZero() bool { return len(configDelta.Digest) == 0 }

// size returns the length of the delta in bytes.
func (configDelta *ConfigDelta) size() int {
	return len(configDelta.Source) + len(configDelta.Compiled) + len(configDelta.Digest)
}

// apply reconstructs the config from the one in a view. It fails with ErrBaseMismatch if that is
// not the base of the delta.
func (configDelta *ConfigDelta) apply(base *View) (source string, compiled []byte, err error) {
	if configDelta.Base != base.ConfigNumber {
		return "", nil, fmt.Errorf("%w: its base is config %d, the current config is %d", ErrBaseMismatch, configDelta.Base, base.ConfigNumber)
	}
	decodedSource, err := delta.Apply([]byte(base.Source), configDelta.Source)
	if err != nil {
		return "", nil, fmt.Errorf("%w: apply the source delta: %w", ErrBaseMismatch, err)
	}
	if compiled, err = delta.Apply(base.Compiled, configDelta.Compiled); err != nil {
		return "", nil, fmt.Errorf("%w: apply the compiled delta: %w", ErrBaseMismatch, err)
	}
	source = string(decodedSource)
	if !bytes.Equal(ConfigDigest(source, compiled), configDelta.Digest) {
		return "", nil, fmt.Errorf("%w: digest mismatch", ErrBaseMismatch)
	}
	return source, compiled, nil
}

// Compact returns a config change encoded as a delta on the config of a view, if that takes at
// most half the bytes. Any other change is returned unchanged.
//
//	change = change.Compact(view)
func (change Change) Compact(base *View) Change {
	if change.Kind != ChangeConfig || !change.Delta.IsZero() {
		return change
	}
	limit := (len(change.Source) + len(change.Compiled)) / 2
	if configDelta, fits := newConfigDelta(base, change.Source, change.Compiled, limit); fits {
		change.Source, change.Compiled, change.Delta = "", nil, configDelta
	}
	return change
}
