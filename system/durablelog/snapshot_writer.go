package durablelog

import (
	"encoding/binary"
	"hash/crc32"
	"iter"

	"yardrock.example/system/apierror"
)

// snapshotWriter writes a snapshot file record by record, so that only one record need be in
// memory.
type snapshotWriter struct {
	bufferedWriter
	generation uint64
	records    uint64
	// chain is the checksum of the checksums of all frames so far.
	chain uint32
}

// add writes a record as one frame.
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

// finish writes the last frame, cuts off what is left of an older snapshot, and syncs.
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

// WriteSnapshot compacts the log: it creates the next log and writes records, which must be the
// complete state, to the snapshot file that is not the newest. The newest one and its log stay
// until the next snapshot is complete. After an error, which is an [apierror.Error]
// DiskUnavailable, the caller must repeat the call, with the same or a later state, before it
// appends: an append to the old log that is torn beside the new one would count as damage. It
// must not follow an append that failed and was not repeated.
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
	previous := log.snapshotGeneration
	log.generation, log.snapshotGeneration, log.snapshotFile = next, next, file
	log.offset, log.sequence, log.snapshotBytes = 0, 0, writer.offset
	return log.removeLogsBefore(previous)
}

// removeLogsBefore removes the logs that no snapshot in the folder needs any more. After an
// error the next snapshot removes them.
func (log *Log) removeLogsBefore(generation uint64) error {
	for ; log.oldestLogGeneration < generation; log.oldestLogGeneration++ {
		if err := log.directory.Remove(logName(log.oldestLogGeneration)); err != nil {
			return diskError(err)
		}
	}
	return nil
}
