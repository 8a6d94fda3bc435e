package durablelog

import (
	"errors"
	"fmt"
	"io/fs"

	"yardrock.example/system/vfs"
)

const (
	logPrefix      = "log-"
	snapshotPrefix = "slot-"
)

// Log is an open data directory. It is not safe for concurrent use, and only one process at a
// time may open the directory.
type Log struct {
	directory vfs.Directory
	identity  Identity

	// generation identifies the log that is appended to, offset is its length in bytes, and
	// sequence the number of its last frame.
	generation uint64
	offset     int64
	sequence   uint64
	// appendFailed is true if a partial frame may follow offset.
	appendFailed bool

	// snapshotGeneration, snapshotFile and snapshotBytes describe the newest complete snapshot.
	// They are zero if there is none.
	snapshotGeneration uint64
	snapshotFile       string
	snapshotBytes      int64
	// oldestLogGeneration is the generation of the oldest log in the directory.
	oldestLogGeneration uint64
}

func logName(generation uint64) string { return fmt.Sprintf("%s%020d", logPrefix, generation) }

// Open opens a data directory, initializing an empty one, and returns the records in replay
// order. The records do not share memory. role is the role of the process, such as "store".
//
// Apart from errors of the file system, the error is an [apierror.Error]: Damaged if durable
// data is missing, FormatTooNew if a newer version created the directory, BadSettings if a
// process of another role did.
func Open(directory vfs.Directory, role string) (*Log, []Record, error) {
	log := &Log{directory: directory}
	names, err := directory.List()
	if err != nil {
		return nil, nil, fmt.Errorf("list the data directory: %w", err)
	}
	if err := log.loadIdentity(names, role); err != nil {
		return nil, nil, err
	}
	if names, err = directory.List(); err != nil { // includes the first log of a new directory
		return nil, nil, fmt.Errorf("list the data directory: %w", err)
	}
	records, err := log.replay(names)
	return log, records, err
}

// createLog creates an empty log and makes it durable.
func (log *Log) createLog(generation uint64) error {
	return log.writeSynced(logName(generation), nil)
}

// writeSynced replaces the contents of a file and makes them durable.
func (log *Log) writeSynced(name string, data []byte) error {
	if err := log.directory.WriteAt(name, 0, data); err != nil {
		return err
	}
	if err := log.directory.Truncate(name, int64(len(data))); err != nil {
		return err
	}
	return log.directory.Sync(name)
}

// Identity returns the identity of the data directory.
func (log *Log) Identity() Identity { return log.identity }

// Append appends records as one frame and returns once they are durable. The error is an
// [apierror.Error] of kind DiskUnavailable. It leaves open whether the records are durable: the
// caller must retry with the same records until the call succeeds, or stop using the log.
func (log *Log) Append(records []Record) error {
	name := logName(log.generation)
	if log.appendFailed {
		if err := log.directory.Truncate(name, log.offset); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return diskError(err)
		}
	}
	log.appendFailed = true
	writer := &bufferedWriter{directory: log.directory, file: name, offset: log.offset}
	if err := writer.writeFrame(log.sequence+1, records); err != nil {
		return diskError(err)
	}
	if err := log.directory.Sync(name); err != nil {
		return diskError(err)
	}
	log.appendFailed = false
	log.offset = writer.offset
	log.sequence++
	return nil
}

// LogBytes returns the size of the log since the newest snapshot, in bytes.
func (log *Log) LogBytes() int64 { return log.offset }

// SnapshotBytes returns the size of the newest snapshot in bytes, or 0 if there is none.
func (log *Log) SnapshotBytes() int64 { return log.snapshotBytes }
