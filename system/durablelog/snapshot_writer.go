package durablelog

import (
	"encoding/binary"
	"hash/crc32"
	"iter"

	"yardrock.example/system/apierror"
)

// snapshotWriter writes a snapshot file record by record, so that only one record must be in
// memory at a time.
type snapshotWriter struct {
	bufferedWriter
	generation uint64
	records    uint64
	// recordsChecksum is the CRC-32C of the checksums of all frames written so far.
	recordsChecksum uint32
}

// add writes a record as one frame.
func (writer *snapshotWriter) add(record Record) error {
	header := make([]byte, frameHeaderBytes, frameHeaderBytes+recordHeaderBytes)
	header = appendRecordHeader(header, record)
	checksum := putFrameHeader(header, snapshotRecordMagic, writer.generation, recordHeaderBytes+len(record.Data), header[frameHeaderBytes:], record.Data)
	writer.recordsChecksum = crc32.Update(writer.recordsChecksum, castagnoli, binary.LittleEndian.AppendUint32(nil, checksum))
	writer.records++
	if err := writer.write(header); err != nil {
		return err
	}
	return writer.write(record.Data)
}

// finish writes the last frame, truncates the remainder of an older snapshot and syncs the file.
func (writer *snapshotWriter) finish() error {
	end := make([]byte, frameHeaderBytes, frameHeaderBytes+snapshotEndBytes)
	end = binary.LittleEndian.AppendUint64(end, writer.records)
	end = binary.LittleEndian.AppendUint32(end, writer.recordsChecksum)
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
// complete state, to the snapshot file that does not contain the newest snapshot. The newest
// snapshot and its log are kept until the next snapshot is complete.
//
// The error is an [apierror.Error] of kind DiskUnavailable. The caller must then retry the call,
// with the same or a later state, before it appends: a torn append to the old log would count as
// damage, because the new log already exists. A failed append must be retried successfully
// before WriteSnapshot is called.
func (log *Log) WriteSnapshot(records iter.Seq[Record]) error {
	if log.appendFailed {
		return apierror.New(apierror.DiskUnavailable, "the last append to the log failed", "retry the append first")
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

// removeLogsBefore removes the logs of earlier generations, which no snapshot file needs any
// more. After an error the next snapshot removes them.
func (log *Log) removeLogsBefore(generation uint64) error {
	for ; log.oldestLogGeneration < generation; log.oldestLogGeneration++ {
		if err := log.directory.Remove(logName(log.oldestLogGeneration)); err != nil {
			return diskError(err)
		}
	}
	return nil
}
