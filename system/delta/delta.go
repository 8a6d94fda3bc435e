// Package delta implements delta encoding of byte slices. A delta encodes a new version relative
// to a base, as ranges to copy from the base and bytes to insert.
//
// Guarantees:
//   - Applying a delta to the base that it was made from restores the new version exactly.
//     Applied to another base it may yield arbitrary bytes, so callers must verify a digest.
//   - Apply terminates without a panic on any input, and its result is at most maxResultSize.
//
// Format: the length of the result, followed by operations. All numbers are unsigned varints. An
// operation starts with its length shifted left by one, with copyFlag in the lowest bit. Then
// comes, for a copy, the offset in the base, and for an insertion, the bytes.
//
// Matches are found in a hash index of the base's blocks and extended in both directions.
package delta

import (
	"encoding/binary"
	"errors"
	"math"
	"math/bits"
)

const (
	// blockSize is the length in bytes of the indexed blocks; shorter matches may be missed.
	blockSize = 32
	// maxResultSize bounds the result in bytes, as a damaged delta may state any length.
	maxResultSize = 256 << 20
	// copyFlag in the first number of an operation marks a copy.
	copyFlag = 1
	// The search step grows by one after every missesPerStep consecutive misses, up to maxStep,
	// to limit the cost of unrelated content. maxStep is odd, and so coprime to blockSize: the
	// search reaches the start of a block in every long enough match.
	missesPerStep = 256
	maxStep       = 7
)

// ErrMismatch is returned by Apply for a delta that is damaged or was made from another base.
var ErrMismatch = errors.New("the delta is damaged or does not match its base")

// Make returns the delta that turns base into next.
//
//	encoded := delta.Make(base, next)
func Make(base, next []byte) []byte {
	delta, _ := MakeWithin(base, next, math.MaxInt)
	return delta
}

// MakeWithin is like Make, but gives up once the delta would exceed limit bytes. fits reports
// whether the delta is within the limit.
//
//	encoded, fits := delta.MakeWithin(base, next, len(next)/2)
func MakeWithin(base, next []byte, limit int) (delta []byte, fits bool) {
	writer := operationWriter{encoded: binary.AppendUvarint(nil, uint64(len(next)))}
	blocks := newBlockIndex(base)
	covered := 0 // length of the prefix of next that the operations so far encode
	misses := 0
	for position := 0; position+blockSize <= len(next); {
		offset, found := blocks.find(next[position : position+blockSize])
		if !found {
			misses++
			if len(writer.encoded)+position-covered > limit {
				return nil, false
			}
			position += min(1+misses/missesPerStep, maxStep)
			continue
		}
		misses = 0
		start := position
		for start > covered && offset > 0 && base[offset-1] == next[start-1] {
			start--
			offset--
		}
		length := commonPrefix(base[offset:], next[start:])
		writer.insert(next[covered:start])
		writer.copy(offset, length)
		covered, position = start+length, start+length
	}
	writer.insert(next[covered:])
	return writer.encoded, len(writer.encoded) <= limit
}

// operationWriter encodes the operations of a delta.
type operationWriter struct{ encoded []byte }

// insert encodes an insertion, unless data is empty.
func (writer *operationWriter) insert(data []byte) {
	if len(data) == 0 {
		return
	}
	writer.encoded = binary.AppendUvarint(writer.encoded, uint64(len(data))<<1)
	writer.encoded = append(writer.encoded, data...)
}

// copy encodes a copy of a range of the base.
func (writer *operationWriter) copy(offset, length int) {
	writer.encoded = binary.AppendUvarint(writer.encoded, uint64(length)<<1|copyFlag)
	writer.encoded = binary.AppendUvarint(writer.encoded, uint64(offset))
}

// blockIndex finds blocks of a base by a hash of their content. Of blocks with the same hash it
// holds only the first.
type blockIndex struct {
	base  []byte
	shift int // reduces a 64-bit hash to an index into blockNumbers
	// blockNumbers holds the number of a block, counted from 1, for each hash; 0 means none.
	blockNumbers []uint32
}

// newBlockIndex indexes the blocks of a base. A shorter block at the end is not indexed.
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

// hash hashes the first blockSize bytes of data (Fibonacci hashing).
func (index *blockIndex) hash(data []byte) uint64 {
	const factor = 0x9e3779b97f4a7c15
	mixed := uint64(0)
	for word := 0; word < blockSize; word += 8 {
		mixed = (mixed ^ binary.LittleEndian.Uint64(data[word:])) * factor
		mixed ^= mixed >> 29
	}
	return mixed * factor >> index.shift
}

// find returns the offset of a block of the base with the same content, and whether there is one.
func (index *blockIndex) find(block []byte) (int, bool) {
	number := index.blockNumbers[index.hash(block)]
	if number == 0 {
		return 0, false
	}
	offset := int(number-1) * blockSize
	return offset, string(index.base[offset:offset+blockSize]) == string(block)
}

// commonPrefix returns the length in bytes of the longest common prefix.
func commonPrefix(left, right []byte) int {
	length := min(len(left), len(right))
	for i := range length {
		if left[i] != right[i] {
			return i
		}
	}
	return length
}

// Apply applies a delta to its base. It returns ErrMismatch for an invalid delta, but does not
// detect every wrong base: callers must verify a digest of the result.
//
//	next, err := delta.Apply(base, encoded)
func Apply(base, delta []byte) ([]byte, error) {
	reader := uvarintReader{remaining: delta}
	size := reader.next()
	if reader.failed || size > maxResultSize {
		return nil, ErrMismatch
	}
	// The stated size may be wrong, so the initial allocation is bounded by the input.
	result := make([]byte, 0, min(size, uint64(len(base)+len(delta))))
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

// uvarintReader reads varints from the front of remaining.
type uvarintReader struct {
	remaining []byte
	failed    bool // a varint was truncated or overflowed; next returned 0
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
