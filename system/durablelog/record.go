package durablelog

import "encoding/binary"

// Record is one group-tagged piece of state.
type Record struct {
	Group uint32
	Kind  uint16
	Data  []byte
}

func appendRecordHeader(target []byte, record Record) []byte {
	target = binary.LittleEndian.AppendUint32(target, record.Group)
	target = binary.LittleEndian.AppendUint16(target, record.Kind)
	return binary.LittleEndian.AppendUint32(target, uint32(len(record.Data)))
}

// decodeRecords splits a frame's body; false means that a record is cut.
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

const (
	frameMagic          = 0x79724652 // "yrFR": records of the log, or a whole slot of format 1
	snapshotRecordMagic = 0x79725352 // "yrSR": one record of a slot
	snapshotEndMagic    = 0x79725345 // "yrSE": the end of a slot
	frameHeaderBytes    = 20
	recordHeaderBytes   = 10
)
