package durablelog

import (
	"encoding/binary"
	"hash/crc32"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// putFrameHeader fills a frame's header, for a body that is given in parts, and gives the
// checksum in it.
func putFrameHeader(header []byte, magic uint32, sequence uint64, size int, body ...[]byte) uint32 {
	binary.LittleEndian.PutUint32(header[0:], magic)
	binary.LittleEndian.PutUint32(header[4:], uint32(size))
	binary.LittleEndian.PutUint64(header[8:], sequence)
	checksum := crc32.Checksum(header[4:16], castagnoli)
	for _, part := range body {
		checksum = crc32.Update(checksum, castagnoli, part)
	}
	binary.LittleEndian.PutUint32(header[16:], checksum)
	return checksum
}

// frameBody gives the body of the frame at the start of data; false means there is none
// of that kind, or it is damaged.
func frameBody(data []byte, magic uint32) (sequence uint64, body []byte, complete bool) {
	if len(data) < frameHeaderBytes || binary.LittleEndian.Uint32(data) != magic {
		return 0, nil, false
	}
	length := int(binary.LittleEndian.Uint32(data[4:]))
	if length > len(data)-frameHeaderBytes {
		return 0, nil, false
	}
	body = data[frameHeaderBytes : frameHeaderBytes+length]
	if crc32.Update(crc32.Checksum(data[4:16], castagnoli), castagnoli, body) != binary.LittleEndian.Uint32(data[16:]) {
		return 0, nil, false
	}
	return binary.LittleEndian.Uint64(data[8:]), body, true
}

// decodeFrame gives the frame at the start of data; size 0 means there is none.
func decodeFrame(data []byte) (sequence uint64, records []Record, size int) {
	sequence, body, complete := frameBody(data, frameMagic)
	if !complete {
		return 0, nil, 0
	}
	if records, complete = decodeRecords(body); !complete {
		return 0, nil, 0
	}
	return sequence, records, frameHeaderBytes + len(body)
}
