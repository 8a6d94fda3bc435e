// Package durablelog keeps a node's whole durable state in one data folder: two
// slots written in turn, and a short log after the newer one. Records of all
// groups share the log; one Append is one frame and one sync.
package durablelog

import (
	"encoding/json"
	"errors"
	"fmt"

	"io/fs"
	"slices"
	"strings"

	"github.com/google/uuid"

	"yardrock.example/system/apierror"
	"yardrock.example/system/vfs"
)

const (
	// formatVersion 2: the first log is made before the identity, and a slot's log before
	// the slot, so that a missing log is always a loss.
	formatVersion  = 2
	logFirstFormat = 2
	identityFile   = "identity"
	logPrefix      = "log-"
	snapshotPrefix = "slot-"
)

const emptyDirectoryRemedy = "empty the data folder so that the node joins as a new one and is healed from its peers"

func damagedError(format string, values ...any) error {
	return apierror.New(apierror.Damaged, fmt.Sprintf(format, values...), emptyDirectoryRemedy)
}

// Record is one group-tagged piece of state.
type Record struct {
	Group uint32
	Kind  uint16
	Data  []byte
}

// Identity is the random name of a disk, made when it was empty. A wiped disk
// gets a new one and so is a new node.
type Identity struct {
	Name   string `json:"name"`
	Format int    `json:"format"`
	Role   string `json:"role"`
}

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

func (log *Log) loadIdentity(names []string, role string) error {
	data, err := log.directory.ReadFile(identityFile)
	if errors.Is(err, fs.ErrNotExist) {
		if err := log.checkNoState(names); err != nil {
			return err
		}
		if err := log.createLog(0); err != nil {
			return err
		}
		log.identity = Identity{Name: role + "-" + uuid.NewString(), Format: formatVersion, Role: role}
		data, err := json.Marshal(log.identity)
		if err != nil {
			return err
		}
		return log.writeSynced(identityFile, data)
	}
	if err != nil {
		return err
	}
	if json.Unmarshal(data, &log.identity) != nil {
		others := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == identityFile })
		if log.checkNoState(others) != nil || slices.ContainsFunc(others, func(name string) bool { return name != logName(0) }) {
			return apierror.New(apierror.Damaged, "the identity file cannot be read", "empty the data folder so that the node joins as a new one")
		}
		// Power was lost while an empty disk got its first file: still empty.
		if err := log.directory.Remove(identityFile); err != nil {
			return err
		}
		return log.loadIdentity(nil, role)
	}
	if log.identity.Format > formatVersion {
		return apierror.New(apierror.FormatTooNew, fmt.Sprintf("the data folder has format %d, this program knows up to %d", log.identity.Format, formatVersion), "run the newer version of the program that wrote it")
	}
	if log.identity.Role != role {
		return apierror.New(apierror.BadSettings, fmt.Sprintf("the data folder belongs to a %s node", log.identity.Role), "give each process a data folder of its own")
	}
	return nil
}

// checkNoState refuses a folder without identity that has state. Only the first log may
// be there, still empty: it is made before the identity.
func (log *Log) checkNoState(names []string) error {
	for _, name := range names {
		if name == logName(0) {
			if data, err := log.directory.ReadFile(name); err == nil && len(data) == 0 {
				continue
			}
		}
		if strings.HasPrefix(name, logPrefix) || strings.HasPrefix(name, snapshotPrefix) {
			return apierror.New(apierror.Damaged, "the data folder has state but no identity file", "restore the folder from this machine, or empty it so that the node joins as a new one")
		}
	}
	return nil
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

func diskError(err error) error {
	return apierror.New(apierror.DiskUnavailable, "the data folder took no write: "+err.Error(), "free space on the disk or replace it; the node goes on by itself")
}

// LogBytes tells how long the log since the newest slot is.
//
//	if log.LogBytes() > 8<<20 { ... }
func (log *Log) LogBytes() int64 { return log.offset }

// SnapshotBytes tells the size of the newest slot.
//
//	limit := max(8<<20, 2*log.SnapshotBytes())
func (log *Log) SnapshotBytes() int64 { return log.snapshotBytes }
