package durablelog

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is the unit of atomicity: a header of 20 bytes and a body. The header contains, in
// little-endian order, the magic number (uint32), the body length (uint32), a number (uint64)
// and the CRC-32C of length, number and body (uint32). In a log the number is the sequence
// number of the frame, starting at 1, and the body contains the records of one append. In a
// snapshot file the number is the generation.
const (
	frameMagic          = 0x79724652 // "yrFR": records of one append, or a complete snapshot in format 1
	snapshotRecordMagic = 0x79725352 // "yrSR": one record of a snapshot
	snapshotEndMagic    = 0x79725345 // "yrSE": the end of a snapshot
	frameHeaderBytes    = 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// putFrameHeader encodes the header of a frame whose body is given in parts, and returns the
// checksum that it contains.
func putFrameHeader(header []byte, magic uint32, number uint64, size int, body ...[]byte) uint32 {
	binary.LittleEndian.PutUint32(header[0:], magic)
	binary.LittleEndian.PutUint32(header[4:], uint32(size))
	binary.LittleEndian.PutUint64(header[8:], number)
	checksum := crc32.Checksum(header[4:16], castagnoli)
	for _, part := range body {
		checksum = crc32.Update(checksum, castagnoli, part)
	}
	binary.LittleEndian.PutUint32(header[16:], checksum)
	return checksum
}

// frameBody returns the number and body of the frame at the start of data. complete is false if
// the magic number differs or the frame is torn or corrupt.
func frameBody(data []byte, magic uint32) (number uint64, body []byte, complete bool) {
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

// decodeFrame decodes the frame of records at the start of data. size is 0 if there is no
// complete one.
func decodeFrame(data []byte) (number uint64, records []Record, size int) {
	number, body, complete := frameBody(data, frameMagic)
	if !complete {
		return 0, nil, 0
	}
	if records, complete = decodeRecords(body); !complete {
		return 0, nil, 0
	}
	return number, records, frameHeaderBytes + len(body)
}
