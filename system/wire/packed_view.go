package wire

import (
	"bytes"
	"errors"
	"fmt"
	"sync"

	"github.com/klauspost/compress/s2"

	"yardrock.example/system/feed"
	"yardrock.example/system/wire/schema"
)

// A packed view is packedViewMarker followed by the S2-compressed stored form of a view. A
// stored form that is not packed begins with a zero, the first byte of its segment table.
const (
	packedViewMarker = 2
	maxViewSize      = 256 << 20 // bytes, unpacked
	// maxViewRatio is the maximum ratio of a view's unpacked size to its packed length. S2 needs
	// a few bytes for each 64 KiB of repeated content.
	maxViewRatio = 1 << 14
)

var errCorruptView = errors.New("packed view is corrupt")

// PackView returns the packed form of a view.
//
//	data := wire.PackView(view)
func PackView(view *feed.View) []byte {
	encoded := MustEncode(schema.View_TypeID, view)
	buffer := make([]byte, 1+s2.MaxEncodedLen(len(encoded)))
	buffer[0] = packedViewMarker
	compressed := s2.Encode(buffer[1:], encoded)
	return bytes.Clone(buffer[:1+len(compressed)]) // long-lived, so without the excess capacity of buffer
}

// UnpackView decodes a packed view, or the unpacked stored form that earlier versions wrote. It
// fails if the data is corrupt or declares a size that is out of bounds.
//
//	view, err := wire.UnpackView(reply.PackedView)
func UnpackView(data []byte) (*feed.View, error) {
	encoded, err := decompressView(data)
	if err != nil {
		return nil, err
	}
	view := &feed.View{}
	return view, Decode(schema.View_TypeID, encoded, view)
}

// decompressView returns the unpacked stored form of a view.
func decompressView(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != packedViewMarker {
		return data, nil
	}
	size, err := s2.DecodedLen(data[1:])
	if err != nil || size > maxViewSize || size > maxViewRatio*len(data) {
		return nil, errCorruptView
	}
	encoded, err := s2.Decode(nil, data[1:])
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCorruptView, err)
	}
	return encoded, nil
}

// PackedViewCache caches the packed form of the last view passed to Get, so that it is packed
// once for all followers. Its zero value is empty. It is safe for concurrent use.
type PackedViewCache struct {
	mutex  sync.Mutex
	fleet  string
	number uint64
	packed []byte
}

// Get returns the packed form of a view. Views with the same fleet and number must be equal.
// The bytes are shared and must not be modified.
//
//	reply.PackedView = node.views.Get(view)
func (cache *PackedViewCache) Get(view *feed.View) []byte {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	if cache.packed == nil || cache.number != view.Number || cache.fleet != view.Fleet {
		cache.fleet, cache.number, cache.packed = view.Fleet, view.Number, PackView(view)
	}
	return cache.packed
}
