package wire

import (
	"encoding/binary"
	"errors"

	"capnproto.org/go/capnp/v3/packed"
)

// Queries and replies of moderate size are packed, as most of their bytes are zeros: the
// segment table stays as it is, except that packedMarker stands where an unpacked message
// has its count of further segments, which is always 0 here. What follows is in Cap'n
// Proto's packed form. Longer messages are mostly data, for which packing costs more time
// than it saves.
const (
	wordSize         = 8 // bytes of a Cap'n Proto word
	packedMarker     = 1
	maxPackedMessage = 64 << 10 // bytes, unpacked
	segmentTableSize = 8        // bytes, for one segment
	// maxPackedRatio bounds how many times its packed length a message may have.
	maxPackedRatio = 1024
)

var (
	errPackedSize   = errors.New("the packed message states a size that is out of bounds")
	errPackedLength = errors.New("the packed message does not have the size that it states")
)

// packMessage packs the message that begins at start in target, if that makes it shorter.
func packMessage(target []byte, start int) []byte {
	message := target[start:]
	if len(message) <= segmentTableSize || len(message) > maxPackedMessage {
		return target
	}
	content := packed.Pack(make([]byte, 0, len(message)+len(message)/64+segmentTableSize), message[segmentTableSize:])
	if len(content) >= len(message)-segmentTableSize {
		return target
	}
	binary.LittleEndian.PutUint32(message, packedMarker)
	return append(target[:start+segmentTableSize], content...)
}

// unpackMessage gives the unpacked form of a message; one that is not packed is returned as
// it is. The stated size is checked before memory is allocated for it.
func unpackMessage(data []byte) ([]byte, error) {
	if len(data) < segmentTableSize || binary.LittleEndian.Uint32(data) != packedMarker {
		return data, nil
	}
	size := uint64(binary.LittleEndian.Uint32(data[4:])) * wordSize
	if size > maxPackedRatio*uint64(len(data)) || size > maxPackedMessage {
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
