package wire

import (
	"encoding/binary"
	"errors"

	"capnproto.org/go/capnp/v3/packed"
)

// Queries and replies of up to maxPackableSize are packed, as most of their bytes are zeros.
// The segment table is not packed, but has packedMarker in the place of the number of further
// segments, which is always 0 in an unpacked message of this package. The rest is in Cap'n
// Proto's packed encoding. Larger messages are mostly data, for which packing costs more time
// than it saves.
const (
	wordSize         = 8 // bytes of a Cap'n Proto word
	packedMarker     = 1
	maxPackableSize  = 64 << 10 // bytes, unpacked
	segmentTableSize = 8        // bytes, for one segment
	// maxPackedRatio is the maximum ratio of a message's unpacked size to its packed length.
	maxPackedRatio = 1024
)

var (
	errPackedSize   = errors.New("declared size of the packed message is out of bounds")
	errPackedLength = errors.New("unpacked message does not have its declared size")
)

// packMessage packs the message that starts at start in target, if that makes it shorter.
func packMessage(target []byte, start int) []byte {
	message := target[start:]
	if len(message) <= segmentTableSize || len(message) > maxPackableSize {
		return target
	}
	content := packed.Pack(make([]byte, 0, len(message)+len(message)/64+segmentTableSize), message[segmentTableSize:])
	if len(content) >= len(message)-segmentTableSize {
		return target
	}
	binary.LittleEndian.PutUint32(message, packedMarker)
	return append(target[:start+segmentTableSize], content...)
}

// unpackMessage returns the unpacked form of a message; one that is not packed is returned
// unchanged. The declared size is checked before memory is allocated for it.
func unpackMessage(data []byte) ([]byte, error) {
	if len(data) < segmentTableSize || binary.LittleEndian.Uint32(data) != packedMarker {
		return data, nil
	}
	size := uint64(binary.LittleEndian.Uint32(data[4:])) * wordSize
	if size > maxPackedRatio*uint64(len(data)) || size > maxPackableSize {
		return nil, errPackedSize
	}
	message := make([]byte, segmentTableSize, segmentTableSize+int(size))
	copy(message[4:], data[4:segmentTableSize])
	message, err := packed.Unpack(message, data[segmentTableSize:])
	if err != nil {
		return nil, err
	}
	if len(message) != segmentTableSize+int(size) {
		return nil, errPackedLength
	}
	return message, nil
}
