package feed

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"

	"yardrock.example/system/delta"
)

// ErrBaseMismatch tells that a config difference does not fit the config that is held: whoever
// holds it needs a whole view.
var ErrBaseMismatch = errors.New("the difference of the config does not fit the config held")

// ConfigDelta is a config as the difference from the one of the number Base. Digest is that
// of the config it gives. The zero value is no difference.
type ConfigDelta struct {
	Base     uint64 `capnp:"base"`
	Source   []byte `capnp:"source"`
	Compiled []byte `capnp:"compiled"`
	Digest   []byte `capnp:"digest"`
}

// configDigestSize is how much of a SHA-256 sum tells configs apart.
const configDigestSize = 16

// ConfigDigest tells configs apart.
//
//	digest := feed.ConfigDigest(view.Source, view.Compiled)
func ConfigDigest(source string, compiled []byte) []byte {
	hash := sha256.New()
	hash.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(source))))
	hash.Write([]byte(source))
	hash.Write(compiled)
	return hash.Sum(nil)[:configDigestSize]
}

// NewConfigDelta gives the difference from a view's config to another, unless it would be
// longer than a limit.
//
//	difference, fits := feed.NewConfigDelta(view, source, compiled, limit)
func NewConfigDelta(base *View, source string, compiled []byte, limit int) (difference ConfigDelta, fits bool) {
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

// IsZero tells that there is no difference.
//
//	if change.Delta.IsZero() { ... }
func (difference *ConfigDelta) IsZero() bool { return len(difference.Digest) == 0 }

func (difference *ConfigDelta) size() int {
	return len(difference.Source) + len(difference.Compiled) + len(difference.Digest)
}

// apply gives the config that the difference makes of a view's.
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

// Compact gives a config change as the difference from the config of a view, if that is
// at most half as long. Other changes stay as they are.
//
//	change = change.Compact(view)
func (change Change) Compact(base *View) Change {
	if change.Kind != ChangeConfig || !change.Delta.IsZero() {
		return change
	}
	limit := (len(change.Source) + len(change.Compiled)) / 2
	if difference, fits := NewConfigDelta(base, change.Source, change.Compiled, limit); fits {
		change.Source, change.Compiled, change.Delta = "", nil, difference
	}
	return change
}
