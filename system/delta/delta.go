// Package delta makes and applies the difference between two versions of some bytes: a
// list of copies from the base and of inserted bytes. Applying a difference to the base
// that it was made on gives the other version byte for byte; on another base the result
// is arbitrary, so callers check a digest of it.
package delta

import (
	"encoding/binary"
	"errors"
	"math"
	"math/bits"
)

const (
	// blockSize is the length of the blocks by which equal parts are found; shorter parts
	// are inserted again.
	blockSize = 32
	// maxResultSize bounds what a damaged difference can ask for.
	maxResultSize = 256 << 20
	// copyFlag marks a copy in an operation's first number; the rest of it is a length.
	copyFlag = 1
	// After missesPerStep places without a match the search takes larger steps, so that
	// unrelated content costs little. The largest step is odd: then any long equal part is
	// met at the start of a block sooner or later.
	missesPerStep = 256
	maxStep       = 7
)

// ErrMismatch tells that a difference is damaged or was made on another base.
var ErrMismatch = errors.New("the difference does not fit its base")

// Make gives the difference that turns base into next.
//
//	difference := delta.Make(base, next)
func Make(base, next []byte) []byte {
	difference, _ := MakeWithin(base, next, math.MaxInt)
	return difference
}

// MakeWithin is Make, but gives up as soon as the difference would be longer than a limit.
//
//	difference, fits := delta.MakeWithin(base, next, len(next)/2)
func MakeWithin(base, next []byte, limit int) (difference []byte, fits bool) {
	writer := operationWriter{encoded: binary.AppendUvarint(nil, uint64(len(next)))}
	blocks := newBlockIndex(base)
	inserted := 0 // where the bytes begin that no operation covers yet
	misses := 0
	for at := 0; at+blockSize <= len(next); {
		offset, found := blocks.find(next[at : at+blockSize])
		if !found {
			misses++
			if len(writer.encoded)+at-inserted > limit {
				return nil, false
			}
			at += min(1+misses/missesPerStep, maxStep)
			continue
		}
		misses = 0
		begin := at
		for begin > inserted && offset > 0 && base[offset-1] == next[begin-1] {
			begin--
			offset--
		}
		length := commonPrefix(base[offset:], next[begin:])
		writer.insert(next[inserted:begin])
		writer.copy(offset, length)
		inserted, at = begin+length, begin+length
	}
	writer.insert(next[inserted:])
	return writer.encoded, len(writer.encoded) <= limit
}

// operationWriter encodes a difference.
type operationWriter struct{ encoded []byte }

func (writer *operationWriter) insert(data []byte) {
	if len(data) == 0 {
		return
	}
	writer.encoded = binary.AppendUvarint(writer.encoded, uint64(len(data))<<1)
	writer.encoded = append(writer.encoded, data...)
}

func (writer *operationWriter) copy(offset, length int) {
	writer.encoded = binary.AppendUvarint(writer.encoded, uint64(length)<<1|copyFlag)
	writer.encoded = binary.AppendUvarint(writer.encoded, uint64(offset))
}

// blockIndex finds blocks of a base by a hash.
type blockIndex struct {
	base  []byte
	shift int
	// blockNumbers holds for each hash the number of a block, counted from 1.
	blockNumbers []uint32
}

func newBlockIndex(base []byte) blockIndex {
	count := len(base) / blockSize
	width := bits.Len(uint(count)) + 1
	index := blockIndex{base: base, shift: 64 - width, blockNumbers: make([]uint32, 1<<width)}
	for number := range count {
		slot := index.hash(base[number*blockSize:])
		if index.blockNumbers[slot] == 0 {
			index.blockNumbers[slot] = uint32(number + 1)
		}
	}
	return index
}

func (index *blockIndex) hash(data []byte) uint64 {
	const factor = 0x9e3779b97f4a7c15
	mixed := uint64(0)
	for word := 0; word < blockSize; word += 8 {
		mixed = (mixed ^ binary.LittleEndian.Uint64(data[word:])) * factor
		mixed ^= mixed >> 29
	}
	return mixed * factor >> index.shift
}

// find gives where in the base a block is.
func (index *blockIndex) find(block []byte) (int, bool) {
	number := index.blockNumbers[index.hash(block)]
	if number == 0 {
		return 0, false
	}
	offset := int(number-1) * blockSize
	return offset, string(index.base[offset:offset+blockSize]) == string(block)
}

func commonPrefix(left, right []byte) int {
	length := min(len(left), len(right))
	for at := range length {
		if left[at] != right[at] {
			return at
		}
	}
	return length
}

// Apply gives the version that a difference makes of base.
//
//	next, err := delta.Apply(base, difference)
func Apply(base, difference []byte) ([]byte, error) {
	reader := uvarintReader{remaining: difference}
	size := reader.next()
	if reader.failed || size > maxResultSize {
		return nil, ErrMismatch
	}
	result := make([]byte, 0, min(size, uint64(len(base)+len(difference))))
	for len(reader.remaining) > 0 {
		operation := reader.next()
		source, offset, length := reader.remaining, uint64(0), operation>>1
		if operation&copyFlag != 0 {
			source, offset = base, reader.next()
		}
		total := uint64(len(source))
		if reader.failed || offset > total || length > total-offset || length > size-uint64(len(result)) {
			return nil, ErrMismatch
		}
		result = append(result, source[offset:offset+length]...)
		if operation&copyFlag == 0 {
			reader.remaining = reader.remaining[length:]
		}
	}
	if uint64(len(result)) != size {
		return nil, ErrMismatch
	}
	return result, nil
}

// uvarintReader reads the numbers of a difference.
type uvarintReader struct {
	remaining []byte
	failed    bool
}

func (reader *uvarintReader) next() uint64 {
	number, length := binary.Uvarint(reader.remaining)
	if length <= 0 {
		reader.failed = true
		return 0
	}
	reader.remaining = reader.remaining[length:]
	return number
}
