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

// A packed view is packedViewMarker and the S2-compressed stored form of a view. A stored form
// that is not packed begins with a zero, the first byte of its segment table.
const (
	packedViewMarker = 2
	maxViewSize      = 256 << 20 // bytes, unpacked
	// maxViewRatio bounds how many times its packed length a view may have. S2 needs a few
	// bytes for each 64 KiB of repeated content.
	maxViewRatio = 1 << 14
)

var errDamagedView = errors.New("the packed view is damaged")

// PackView gives the packed form of a view.
//
//	data := wire.PackView(view)
func PackView(view *feed.View) []byte {
	plain := MustEncode(schema.View_TypeID, view)
	buffer := make([]byte, 1+s2.MaxEncodedLen(len(plain)))
	buffer[0] = packedViewMarker
	compressed := s2.Encode(buffer[1:], plain)
	return bytes.Clone(buffer[:1+len(compressed)]) // kept for long; the buffer is larger
}

// UnpackView reads a packed view, or the stored form of one, as older versions kept it. Data
// that cannot be read, or states a size out of bounds, is an error.
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

// decompressView gives the stored form of a view.
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

// PackedViewCache keeps the packed form of one view, the newest, for all followers that ask for
// it. Its zero value is empty. It may be used concurrently.
type PackedViewCache struct {
	mutex  sync.Mutex
	fleet  string
	number uint64
	packed []byte
}

// Get gives the packed form of a view. Views of one fleet and number must be equal. The bytes
// are shared and must not be changed.
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
