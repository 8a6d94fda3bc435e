package vfs

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"os"
	"slices"
	"sync"
	"time"
)

// stallPollInterval is how often a stalled sync checks whether the stall has ended.
const stallPollInterval = 20 * time.Millisecond

var errNoSpace = errors.New("no space left on device")

// DiskFaults is the content of the JSON file with which an operator injects disk faults.
type DiskFaults struct {
	// Stalled blocks syncs while it is set.
	Stalled bool `json:"stalled"`
	// Full makes writes fail as on a full disk.
	Full bool `json:"full"`
	// Slow is the duration by which each sync is delayed, such as "150ms"; "" means no delay.
	Slow string `json:"slow"`
}

// FaultDirectory is a [Directory] for fault injection in real processes. It injects the faults
// that a file describes, and holds unsynced writes in memory, so that killing the process loses
// them as a power failure would.
type FaultDirectory struct {
	Directory
	faultsPath string
	mutex      sync.Mutex // guards pending, and keeps files from being flushed while they are read
	// pending holds the unsynced writes to each file, by name, in order.
	pending map[string][]PendingWrite
}

// NewFaultDirectory wraps a directory and injects the faults that the file at faultsPath
// describes. The file is read on each write and sync; while it does not exist there are no
// faults.
func NewFaultDirectory(directory Directory, faultsPath string) *FaultDirectory {
	return &FaultDirectory{Directory: directory, faultsPath: faultsPath, pending: map[string][]PendingWrite{}}
}

func (directory *FaultDirectory) currentFaults() DiskFaults {
	var faults DiskFaults
	if data, err := os.ReadFile(directory.faultsPath); err == nil {
		_ = json.Unmarshal(data, &faults) // a partly written file is ignored
	}
	return faults
}

// ReadFile returns the content of a file, including unsynced writes.
func (directory *FaultDirectory) ReadFile(name string) ([]byte, error) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.read(name)
}

// read returns the content of a file, including unsynced writes. The mutex must be held.
func (directory *FaultDirectory) read(name string) ([]byte, error) {
	data, err := directory.Directory.ReadFile(name)
	writes := directory.pending[name]
	if errors.Is(err, fs.ErrNotExist) && len(writes) > 0 {
		err = nil
	}
	for _, write := range writes {
		data = write.ApplyTo(data)
	}
	return data, err
}

// ReadRange returns a part of a file, including unsynced writes.
func (directory *FaultDirectory) ReadRange(name string, offset int64, length int) ([]byte, error) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if len(directory.pending[name]) == 0 {
		return directory.Directory.ReadRange(name, offset, length)
	}
	data, err := directory.read(name)
	if err != nil {
		return nil, err
	}
	if end := offset + int64(length); end > int64(len(data)) {
		return nil, fmt.Errorf("%s has %d bytes, not %d: %w", name, len(data), end, io.ErrUnexpectedEOF)
	}
	return data[offset : offset+int64(length)], nil
}

// Size returns the size of a file in bytes, including unsynced writes.
func (directory *FaultDirectory) Size(name string) (int64, error) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if len(directory.pending[name]) == 0 {
		return directory.Directory.Size(name)
	}
	data, err := directory.read(name)
	return int64(len(data)), err
}

// WriteAt holds a write in memory until the file is synced.
func (directory *FaultDirectory) WriteAt(name string, offset int64, data []byte) error {
	if directory.currentFaults().Full && len(data) > 0 {
		return errNoSpace
	}
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	// The copy is never nil, as nil would mean a truncation.
	directory.pending[name] = append(directory.pending[name], PendingWrite{Offset: offset, Data: append([]byte{}, data...)})
	return nil
}

// Truncate holds a truncation in memory until the file is synced.
func (directory *FaultDirectory) Truncate(name string, size int64) error {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if _, err := directory.read(name); err != nil {
		return err
	}
	directory.pending[name] = append(directory.pending[name], PendingWrite{Offset: size})
	return nil
}

// Sync writes and syncs the pending writes to a file, after an injected stall or delay.
func (directory *FaultDirectory) Sync(name string) error {
	for directory.currentFaults().Stalled {
		time.Sleep(stallPollInterval)
	}
	if delay, err := time.ParseDuration(directory.currentFaults().Slow); err == nil {
		time.Sleep(delay)
	}
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	for _, write := range directory.pending[name] {
		if err := directory.flush(name, write); err != nil {
			return err
		}
	}
	delete(directory.pending, name)
	return directory.Directory.Sync(name)
}

// flush applies one pending write to the underlying directory.
func (directory *FaultDirectory) flush(name string, write PendingWrite) error {
	if write.Data == nil {
		return directory.Directory.Truncate(name, write.Offset)
	}
	return directory.Directory.WriteAt(name, write.Offset, write.Data)
}

// Remove removes a file and discards its unsynced writes.
func (directory *FaultDirectory) Remove(name string) error {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	delete(directory.pending, name)
	return directory.Directory.Remove(name)
}

// List returns the names of the files, including unsynced ones, sorted.
func (directory *FaultDirectory) List() ([]string, error) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	names, err := directory.Directory.List()
	all := map[string]bool{}
	for _, name := range names {
		all[name] = true
	}
	for name := range directory.pending {
		all[name] = true
	}
	return slices.Sorted(maps.Keys(all)), err
}
