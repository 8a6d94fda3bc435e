package durablelog

import (
	"errors"
	"fmt"
	"io/fs"

	"yardrock.example/system/vfs"
)

// Log is an open data folder.
type Log struct {
	directory     vfs.Directory
	identity      Identity
	generation    uint64
	offset        int64
	sequence      uint64
	snapshotBytes int64
	syncs         uint64
	appendFailed  bool
	// snapshotGeneration is the generation of the newest whole slot, in snapshotFile; 0 if there is none.
	snapshotGeneration uint64
	snapshotFile       string
	// oldestLogGeneration is the generation of the oldest log that is kept.
	oldestLogGeneration uint64
}

const (
	// formatVersion 2: the first log is made before the identity, and a slot's log before
	// the slot, so that a missing log is always a loss.
	formatVersion  = 2
	logFirstFormat = 2
	identityFile   = "identity"
	logPrefix      = "log-"
	snapshotPrefix = "slot-"
)

func logName(generation uint64) string { return fmt.Sprintf("%s%020d", logPrefix, generation) }

// Open reads a data folder, or makes the identity of an empty one, and gives
// the records in the order in which they are to be replayed.
//
//	log, records, err := durablelog.Open(folder, "store")
func Open(directory vfs.Directory, role string) (*Log, []Record, error) {
	log := &Log{directory: directory}
	names, err := directory.List()
	if err != nil {
		return nil, nil, err
	}
	if err := log.loadIdentity(names, role); err != nil {
		return nil, nil, err
	}
	if names, err = directory.List(); err != nil { // a new folder got its first log
		return nil, nil, err
	}
	records, err := log.replay(names)
	return log, records, err
}

func (log *Log) createLog(generation uint64) error {
	if err := log.directory.WriteAt(logName(generation), 0, nil); err != nil {
		return err
	}
	if err := log.directory.Truncate(logName(generation), 0); err != nil {
		return err
	}
	return log.directory.Sync(logName(generation))
}

func (log *Log) writeSynced(name string, data []byte) error {
	if err := log.directory.WriteAt(name, 0, data); err != nil {
		return err
	}
	if err := log.directory.Truncate(name, int64(len(data))); err != nil {
		return err
	}
	return log.directory.Sync(name)
}

// Identity tells the disk's name.
//
//	name := log.Identity().Name
func (log *Log) Identity() Identity { return log.identity }

// Syncs counts the syncs of frames so far.
//
//	before := log.Syncs()
func (log *Log) Syncs() uint64 { return log.syncs }

// Append writes records as one frame and returns once they last. After a
// failure the same call may be made again: it writes over what did not last.
//
//	err := log.Append([]durablelog.Record{{Group: 3, Kind: 1, Data: data}})
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
	log.syncs++
	return nil
}

// LogBytes tells how long the log since the newest slot is.
//
//	if log.LogBytes() > 8<<20 { ... }
func (log *Log) LogBytes() int64 { return log.offset }

// SnapshotBytes tells the size of the newest slot.
//
//	limit := max(8<<20, 2*log.SnapshotBytes())
func (log *Log) SnapshotBytes() int64 { return log.snapshotBytes }
