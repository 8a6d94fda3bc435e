package durablelog

import (
	"encoding/binary"
	"hash/crc32"
	"iter"

	"yardrock.example/system/apierror"
)

// snapshotWriter writes a slot's records one after the other, so that no two of them need be
// in memory.
type snapshotWriter struct {
	bufferedWriter
	generation uint64
	records    uint64
	chain      uint32
}

func (writer *snapshotWriter) add(record Record) error {
	header := make([]byte, frameHeaderBytes, frameHeaderBytes+recordHeaderBytes)
	header = appendRecordHeader(header, record)
	checksum := putFrameHeader(header, snapshotRecordMagic, writer.generation, recordHeaderBytes+len(record.Data), header[frameHeaderBytes:], record.Data)
	writer.chain = crc32.Update(writer.chain, castagnoli, binary.LittleEndian.AppendUint32(nil, checksum))
	writer.records++
	if err := writer.write(header); err != nil {
		return err
	}
	return writer.write(record.Data)
}

// finish writes the slot's end, cuts off what an older slot left behind it, and syncs.
func (writer *snapshotWriter) finish() error {
	end := make([]byte, frameHeaderBytes, frameHeaderBytes+snapshotEndBytes)
	end = binary.LittleEndian.AppendUint64(end, writer.records)
	end = binary.LittleEndian.AppendUint32(end, writer.chain)
	putFrameHeader(end, snapshotEndMagic, writer.generation, snapshotEndBytes, end[frameHeaderBytes:])
	if err := writer.write(end); err != nil {
		return err
	}
	if err := writer.flush(); err != nil {
		return err
	}
	if err := writer.directory.Truncate(writer.file, writer.offset); err != nil {
		return err
	}
	return writer.directory.Sync(writer.file)
}

// WriteSnapshot starts a new log and stores the whole state, which it takes record by record,
// in the slot that is not the newest. The newest slot and its logs stay until the slot
// after, so that one bad slot is survived. After a failure it may be called again.
//
//	err := log.WriteSnapshot(slices.Values(records))
func (log *Log) WriteSnapshot(records iter.Seq[Record]) error {
	if log.appendFailed {
		return apierror.New(apierror.DiskUnavailable, "the log's last write is not settled", "append again first")
	}
	next := log.generation + 1
	if err := log.createLog(next); err != nil {
		return diskError(err)
	}
	file := snapshotFiles[0]
	if log.snapshotFile == file {
		file = snapshotFiles[1]
	}
	writer := &snapshotWriter{bufferedWriter: bufferedWriter{directory: log.directory, file: file}, generation: next}
	for record := range records {
		if err := writer.add(record); err != nil {
			return diskError(err)
		}
	}
	if err := writer.finish(); err != nil {
		return diskError(err)
	}
	kept := log.snapshotGeneration
	log.generation, log.snapshotGeneration, log.snapshotFile = next, next, file
	log.offset, log.sequence, log.snapshotBytes = 0, 0, writer.offset
	for ; log.oldestLogGeneration < kept; log.oldestLogGeneration++ {
		if err := log.directory.Remove(logName(log.oldestLogGeneration)); err != nil {
			return diskError(err)
		}
	}
	return nil
}
