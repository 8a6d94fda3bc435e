package durablelog

import (
	"encoding/binary"
	"slices"
)

// recordHeaderBytes is the size of a record's header: group (uint32), kind (uint16) and length
// of the data (uint32), little-endian.
const recordHeaderBytes = 10

// Record is a piece of state of one group. The log does not interpret it.
type Record struct {
	Group uint32
	// Kind says what Data is, to the caller.
	Kind uint16
	Data []byte
}

func appendRecordHeader(target []byte, record Record) []byte {
	target = binary.LittleEndian.AppendUint32(target, record.Group)
	target = binary.LittleEndian.AppendUint16(target, record.Kind)
	return binary.LittleEndian.AppendUint32(target, uint32(len(record.Data)))
}

// cloneRecords returns records that do not share memory with the frame that they were read
// from, nor with each other: most of them are soon superseded, and must not keep the rest.
func cloneRecords(records []Record) []Record {
	for position := range records {
		records[position].Data = slices.Clone(records[position].Data)
	}
	return records
}

// decodeRecords decodes the records in a frame's body, whose memory they share. It returns
// false if the last one is incomplete.
func decodeRecords(body []byte) (records []Record, complete bool) {
	for len(body) >= recordHeaderBytes {
		end := recordHeaderBytes + int(binary.LittleEndian.Uint32(body[6:]))
		if end > len(body) {
			return nil, false
		}
		records = append(records, Record{Group: binary.LittleEndian.Uint32(body), Kind: binary.LittleEndian.Uint16(body[4:]), Data: body[recordHeaderBytes:end]})
		body = body[end:]
	}
	return records, true
}
