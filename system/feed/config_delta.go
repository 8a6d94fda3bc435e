package feed

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"

	"yardrock.example/system/delta"
)

// ErrBaseMismatch reports that a ConfigDelta cannot be applied: it was made from a config
// other than the one in the view, or its result has another digest. The view is unchanged;
// whoever holds it must fetch a complete view.
var ErrBaseMismatch = errors.New("the difference of the config does not fit the config held")

// ConfigDelta encodes a config as its difference from an older one. The zero value means
// that there is no difference.
type ConfigDelta struct {
	// Base is the number of the config that the difference was made from.
	Base uint64 `capnp:"base"`
	// Source and Compiled are the two parts of the config, each as a difference in the
	// format of package delta.
	Source   []byte `capnp:"source"`
	Compiled []byte `capnp:"compiled"`
	// Digest is the ConfigDigest of the resulting config. It is checked whenever the
	// difference is applied, so that replicas never diverge on a wrong base.
	Digest []byte `capnp:"digest"`
}

// configDigestSize is how many bytes of a SHA-256 sum are kept as the digest of a config.
const configDigestSize = 16

// ConfigDigest identifies a config by its source and its compiled form: 16 bytes of a
// SHA-256 sum.
//
//	digest := feed.ConfigDigest(view.Source, view.Compiled)
func ConfigDigest(source string, compiled []byte) []byte {
	hash := sha256.New()
	hash.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(source))))
	hash.Write([]byte(source))
	hash.Write(compiled)
	return hash.Sum(nil)[:configDigestSize]
}

// newConfigDelta encodes a config as its difference from the config of a view. Fits is
// false if the difference would be longer than limit bytes.
func newConfigDelta(base *View, source string, compiled []byte, limit int) (difference ConfigDelta, fits bool) {
	difference.Base = base.ConfigNumber
	if difference.Source, fits = delta.MakeWithin([]byte(base.Source), []byte(source), limit); !fits {
		return ConfigDelta{}, false
	}
	if difference.Compiled, fits = delta.MakeWithin(base.Compiled, compiled, limit); !fits {
		return ConfigDelta{}, false
	}
	difference.Digest = ConfigDigest(source, compiled)
	return difference, difference.size() <= limit
}

// IsZero reports whether there is no difference.
//
//	if change.Delta.IsZero() { ... }
func (difference *ConfigDelta) IsZero() bool { return len(difference.Digest) == 0 }

// size is the length of the difference in bytes.
func (difference *ConfigDelta) size() int {
	return len(difference.Source) + len(difference.Compiled) + len(difference.Digest)
}

// apply reconstructs the config from the one in a view. It fails with ErrBaseMismatch if
// the view has another config than the one the difference was made from.
func (difference *ConfigDelta) apply(base *View) (source string, compiled []byte, err error) {
	if difference.Base != base.ConfigNumber {
		return "", nil, fmt.Errorf("%w: it builds on config %d, not %d", ErrBaseMismatch, difference.Base, base.ConfigNumber)
	}
	decodedSource, err := delta.Apply([]byte(base.Source), difference.Source)
	if err != nil {
		return "", nil, fmt.Errorf("%w: its source: %w", ErrBaseMismatch, err)
	}
	if compiled, err = delta.Apply(base.Compiled, difference.Compiled); err != nil {
		return "", nil, fmt.Errorf("%w: its compiled form: %w", ErrBaseMismatch, err)
	}
	source = string(decodedSource)
	if !bytes.Equal(ConfigDigest(source, compiled), difference.Digest) {
		return "", nil, fmt.Errorf("%w: it gives another config", ErrBaseMismatch)
	}
	return source, compiled, nil
}

// Compact returns a config change encoded as the difference from the config of a view, if
// that takes at most half the bytes. Any other change is returned as it is.
//
//	change = change.Compact(view)
func (change Change) Compact(base *View) Change {
	if change.Kind != ChangeConfig || !change.Delta.IsZero() {
		return change
	}
	limit := (len(change.Source) + len(change.Compiled)) / 2
	if difference, fits := newConfigDelta(base, change.Source, change.Compiled, limit); fits {
		change.Source, change.Compiled, change.Delta = "", nil, difference
	}
	return change
}
