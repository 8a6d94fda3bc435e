// Package delta makes and applies deltas between two versions of some bytes (delta encoding): a
// delta is a list of ranges to copy from the base and of bytes to insert. It has no state.
//
// Guarantees:
//   - A delta applied to the base that it was made on gives the other version byte for byte. On
//     another base the result may be any bytes, so callers compare a digest.
//   - Apply ends, without a panic and within maxResultSize, whatever the delta's bytes are.
//
// Format: the length of the result, then operations, all numbers as unsigned varints. An
// operation begins with its length shifted left by one, with copyFlag in the lowest bit. A copy
// has the offset in the base next, an insertion its bytes.
//
// Equal parts are found with an index of the base's blocks by hash, and extended in both
// directions.
package delta

import (
	"encoding/binary"
	"errors"
	"math"
	"math/bits"
)

const (
	// blockSize is the length in bytes of the blocks by which equal parts are found; shorter
	// equal parts may be inserted anew.
	blockSize = 32
	// maxResultSize bounds, in bytes, the result that a damaged delta may state.
	maxResultSize = 256 << 20
	// copyFlag marks a copy in the first number of an operation.
	copyFlag = 1
	// After each missesPerStep positions in a row without a match the search takes larger
	// steps, up to maxStep, so that unrelated content costs little. maxStep is odd, so that the
	// search meets the start of a block in every long enough equal part.
	missesPerStep = 256
	maxStep       = 7
)

// ErrMismatch is the error of a delta that is damaged or was made on another base.
var ErrMismatch = errors.New("the delta does not fit its base")

// Make returns the delta that turns base into next.
//
//	encoded := delta.Make(base, next)
func Make(base, next []byte) []byte {
	delta, _ := MakeWithin(base, next, math.MaxInt)
	return delta
}

// MakeWithin is Make, but gives up as soon as the delta would be longer than limit bytes.
//
//	encoded, fits := delta.MakeWithin(base, next, len(next)/2)
func MakeWithin(base, next []byte, limit int) (delta []byte, fits bool) {
	writer := operationWriter{encoded: binary.AppendUvarint(nil, uint64(len(next)))}
	blocks := newBlockIndex(base)
	covered := 0 // up to here the operations so far give next
	misses := 0
	for at := 0; at+blockSize <= len(next); {
		offset, found := blocks.find(next[at : at+blockSize])
		if !found {
			misses++
			if len(writer.encoded)+at-covered > limit {
				return nil, false
			}
			at += min(1+misses/missesPerStep, maxStep)
			continue
		}
		misses = 0
		start := at
		for start > covered && offset > 0 && base[offset-1] == next[start-1] {
			start--
			offset--
		}
		length := commonPrefix(base[offset:], next[start:])
		writer.insert(next[covered:start])
		writer.copy(offset, length)
		covered, at = start+length, start+length
	}
	writer.insert(next[covered:])
	return writer.encoded, len(writer.encoded) <= limit
}

// operationWriter encodes the operations of a delta.
type operationWriter struct{ encoded []byte }

// insert encodes an insertion; of nothing, none.
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

// blockIndex finds blocks of a base by a hash of their content. Of blocks with the same hash the
// first counts.
type blockIndex struct {
	base  []byte
	shift int // takes a 64-bit hash to an index of blockNumbers
	// blockNumbers has, for each hash, the number of a block, counted from 1; 0: none.
	blockNumbers []uint32
}

// newBlockIndex indexes the whole blocks of a base.
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

// hash mixes the words of a block (Fibonacci hashing).
func (index *blockIndex) hash(data []byte) uint64 {
	const factor = 0x9e3779b97f4a7c15
	mixed := uint64(0)
	for word := 0; word < blockSize; word += 8 {
		mixed = (mixed ^ binary.LittleEndian.Uint64(data[word:])) * factor
		mixed ^= mixed >> 29
	}
	return mixed * factor >> index.shift
}

// find returns the offset in the base of a block with the same content.
func (index *blockIndex) find(block []byte) (int, bool) {
	number := index.blockNumbers[index.hash(block)]
	if number == 0 {
		return 0, false
	}
	offset := int(number-1) * blockSize
	return offset, string(index.base[offset:offset+blockSize]) == string(block)
}

// commonPrefix returns the length of the longest common prefix.
func commonPrefix(left, right []byte) int {
	length := min(len(left), len(right))
	for at := range length {
		if left[at] != right[at] {
			return at
		}
	}
	return length
}

// Apply returns the result of a delta on its base, or ErrMismatch. See the package comment for what
// a result on another base is worth.
//
//	next, err := delta.Apply(base, encoded)
func Apply(base, delta []byte) ([]byte, error) {
	reader := uvarintReader{remaining: delta}
	size := reader.next()
	if reader.failed || size > maxResultSize {
		return nil, ErrMismatch
	}
	// No more is allocated at first than data is there: the stated size may be wrong.
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

// uvarintReader reads numbers from the start of a delta, and has what remains.
type uvarintReader struct {
	remaining []byte
	failed    bool // a number was cut off or out of range; it was read as 0
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
