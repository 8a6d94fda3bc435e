package durablelog

import (
	"encoding/binary"
	"slices"
)

// recordHeaderBytes is the size of a record header: group (uint32), kind (uint16) and data
// length (uint32), all little-endian.
const recordHeaderBytes = 10

// Record is a unit of state of one group. The log does not interpret its contents.
type Record struct {
	Group uint32
	// Kind identifies the type of Data to the caller.
	Kind uint16
	Data []byte
}

func appendRecordHeader(buffer []byte, record Record) []byte {
	buffer = binary.LittleEndian.AppendUint32(buffer, record.Group)
	buffer = binary.LittleEndian.AppendUint16(buffer, record.Kind)
	return binary.LittleEndian.AppendUint32(buffer, uint32(len(record.Data)))
}

// cloneRecords copies the data of each record out of the frame that they were decoded from, so
// that a record still in use does not keep the superseded ones in memory.
func cloneRecords(records []Record) []Record {
	for position := range records {
		records[position].Data = slices.Clone(records[position].Data)
	}
	return records
}

// decodeRecords decodes the records in the body of a frame. They share its memory. complete is
// false if the last record is truncated.
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
