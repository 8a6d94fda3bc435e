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

// Log is an open data folder. One goroutine at a time may use it, and one process at a time the
// folder.
type Log struct {
	directory vfs.Directory
	identity  Identity

	// generation is that of the log that is appended to, offset its length in bytes, and
	// sequence the number of its last frame.
	generation uint64
	offset     int64
	sequence   uint64
	// appendFailed says that a part of a frame may follow offset.
	appendFailed bool

	// snapshotGeneration is that of the newest complete snapshot, in snapshotFile with a size
	// of snapshotBytes. It is 0 and "" if there is none.
	snapshotGeneration uint64
	snapshotFile       string
	snapshotBytes      int64
	// oldestLogGeneration is that of the oldest log in the folder.
	oldestLogGeneration uint64
}

func logName(generation uint64) string { return fmt.Sprintf("%s%020d", logPrefix, generation) }

// Open opens a data folder, or makes the identity of an empty one, and returns the records in
// the order in which they are to be replayed. Each has its data to itself.
// role is that of the process, such as "store".
//
// Beside errors of the directory, the error is an [apierror.Error]: Damaged if something that
// was durable is missing, FormatTooNew if a newer version made the folder, BadSettings if a
// process of another role did.
func Open(directory vfs.Directory, role string) (*Log, []Record, error) {
	log := &Log{directory: directory}
	names, err := directory.List()
	if err != nil {
		return nil, nil, fmt.Errorf("list the data folder: %w", err)
	}
	if err := log.loadIdentity(names, role); err != nil {
		return nil, nil, err
	}
	if names, err = directory.List(); err != nil { // a new folder has its first log now
		return nil, nil, fmt.Errorf("list the data folder: %w", err)
	}
	records, err := log.replay(names)
	return log, records, err
}

// createLog makes an empty log durable.
func (log *Log) createLog(generation uint64) error {
	return log.writeSynced(logName(generation), nil)
}

// writeSynced makes a file durable, in place of the one before.
func (log *Log) writeSynced(name string, data []byte) error {
	if err := log.directory.WriteAt(name, 0, data); err != nil {
		return err
	}
	if err := log.directory.Truncate(name, int64(len(data))); err != nil {
		return err
	}
	return log.directory.Sync(name)
}

// Identity returns the identity of the data folder.
func (log *Log) Identity() Identity { return log.identity }

// Append appends records as one frame and returns once they are durable. After an error, which
// is an [apierror.Error] DiskUnavailable, they may be durable or not; the caller must append
// the same records again until it succeeds, or end.
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

// LogBytes returns the size in bytes of the log since the newest snapshot.
func (log *Log) LogBytes() int64 { return log.offset }

// SnapshotBytes returns the size in bytes of the newest snapshot; 0 if there is none.
func (log *Log) SnapshotBytes() int64 { return log.snapshotBytes }
