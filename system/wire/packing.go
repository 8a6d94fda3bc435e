package wire

import (
	"encoding/binary"
	"errors"

	"capnproto.org/go/capnp/v3/packed"
)

// Between processes a message that is not long is packed, as what it says is mostly
// zeros. A packed message begins with packedMarker, where one that is not has the count
// of its further segments, of which there are none.
const (
	packedMarker     = 1
	maxPackedMessage = 64 << 10
	segmentTableSize = 8
	maxPackedRatio   = 1024 // how many times its packed length a message may have, at most
)

// packMessage packs the message at the end of bytes, which begins at a position.
func packMessage(target []byte, start int) []byte {
	message := target[start:]
	if len(message) <= segmentTableSize || len(message) > maxPackedMessage {
		return target
	}
	packedMessage := packed.Pack(make([]byte, 0, len(message)+len(message)/64+segmentTableSize), message[segmentTableSize:])
	if len(packedMessage) >= len(message)-segmentTableSize {
		return target
	}
	binary.LittleEndian.PutUint32(message, packedMarker)
	return append(target[:start+segmentTableSize], packedMessage...)
}

// unpackMessage gives a message as it was before it was packed.
func unpackMessage(data []byte) ([]byte, error) {
	if len(data) < segmentTableSize || binary.LittleEndian.Uint32(data) != packedMarker {
		return data, nil
	}
	size := uint64(binary.LittleEndian.Uint32(data[4:])) * 8
	if size > maxPackedRatio*uint64(len(data)) || size > maxPackedMessage {
		return nil, errors.New("a packed message tells a wrong length")
	}
	plain := make([]byte, segmentTableSize, segmentTableSize+int(size))
	copy(plain[4:], data[4:segmentTableSize])
	plain, err := packed.Unpack(plain, data[segmentTableSize:])
	if err != nil {
		return nil, err
	}
	if len(plain) != segmentTableSize+int(size) {
		return nil, errors.New("a packed message has another length than it tells")
	}
	return plain, nil
}
