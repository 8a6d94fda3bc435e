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

// A packed view is an encoded and compressed one. It begins with packedViewMarker, where an
// encoded view that is not packed has a zero.
const (
	packedViewMarker = 2
	maxViewSize      = 256 << 20
	// maxViewRatio is how many times its packed length a view may have, at most: what is
	// repeated takes a few bytes for each 64 KiB.
	maxViewRatio = 1 << 14
)

var errDamagedView = errors.New("a packed view is damaged")

// PackView encodes and compresses a view.
//
//	data := wire.PackView(view)
func PackView(view *feed.View) []byte {
	plain := MustEncode(schema.View_TypeID, view)
	packed := make([]byte, 1+s2.MaxEncodedLen(len(plain)))
	packed[0] = packedViewMarker
	used := s2.Encode(packed[1:], plain)
	return bytes.Clone(packed[:1+len(used)])
}

// UnpackView reads a packed view, or one that is only encoded, as older versions kept it.
//
//	view, err := wire.UnpackView(reply.PackedView)
func UnpackView(data []byte) (*feed.View, error) {
	plain, err := decompressView(data)
	if err != nil {
		return nil, err
	}
	view := &feed.View{}
	return view, Decode(schema.View_TypeID, plain, view)
}

func decompressView(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != packedViewMarker {
		return data, nil
	}
	size, err := s2.DecodedLen(data[1:])
	if err != nil || size > maxViewSize || size > maxViewRatio*len(data) {
		return nil, errDamagedView
	}
	plain, err := s2.Decode(nil, data[1:])
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errDamagedView, err)
	}
	return plain, nil
}

// PackedViewCache packs the view that is in force, once for all who ask for it.
type PackedViewCache struct {
	mutex  sync.Mutex
	fleet  string
	number uint64
	packed []byte
}

// Get is PackView for a view that others may have asked for as well.
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
