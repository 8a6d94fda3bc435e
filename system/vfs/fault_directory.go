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

// stallPollInterval is how often a stalled sync looks whether the stall has ended.
const stallPollInterval = 20 * time.Millisecond

var errNoSpace = errors.New("no space left on device")

// DiskFaults is the content of the file with which an operator injects faults in a trial.
type DiskFaults struct {
	// Stalled blocks syncs until it is false again.
	Stalled bool `json:"stalled"`
	// Full makes writes fail.
	Full bool `json:"full"`
	// Slow delays each sync, by a duration such as "150ms".
	Slow string `json:"slow"`
}

// FaultDirectory is a [Directory] for trials on real processes: it injects the faults that a
// file has. What is not synced stays in memory, so that killing the process loses it as a
// loss of power would.
type FaultDirectory struct {
	Directory
	faultsPath string
	mutex      sync.Mutex // guards pending, and files against being synced while they are read
	// pending are the writes to each file that are not synced, in order.
	pending map[string][]PendingWrite
}

// NewFaultDirectory returns a directory with the faults that the file at faultsPath has, which
// is read for each operation. While there is no such file there are no faults.
func NewFaultDirectory(directory Directory, faultsPath string) *FaultDirectory {
	return &FaultDirectory{Directory: directory, faultsPath: faultsPath, pending: map[string][]PendingWrite{}}
}

func (directory *FaultDirectory) currentFaults() DiskFaults {
	var faults DiskFaults
	if data, err := os.ReadFile(directory.faultsPath); err == nil {
		_ = json.Unmarshal(data, &faults) // a file that is being written has no faults yet
	}
	return faults
}

// ReadFile returns the content of a file, with what is not synced.
func (directory *FaultDirectory) ReadFile(name string) ([]byte, error) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.read(name)
}

// read returns the content of a file. The mutex must be held.
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

// ReadRange returns a part of a file, with what is not synced.
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

// Size returns the length of a file, with what is not synced.
func (directory *FaultDirectory) Size(name string) (int64, error) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if len(directory.pending[name]) == 0 {
		return directory.Directory.Size(name)
	}
	data, err := directory.read(name)
	return int64(len(data)), err
}

// WriteAt adds a write to those that are not synced.
func (directory *FaultDirectory) WriteAt(name string, offset int64, data []byte) error {
	if directory.currentFaults().Full && len(data) > 0 {
		return errNoSpace
	}
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	// The copy is not nil even if data is: that would be a truncation.
	directory.pending[name] = append(directory.pending[name], PendingWrite{Offset: offset, Data: append([]byte{}, data...)})
	return nil
}

// Truncate adds a truncation to the writes that are not synced.
func (directory *FaultDirectory) Truncate(name string, size int64) error {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if _, err := directory.read(name); err != nil {
		return err
	}
	directory.pending[name] = append(directory.pending[name], PendingWrite{Offset: size})
	return nil
}

// Sync makes the writes to a file durable, after the present stall or delay.
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

// flush makes one pending write in the directory itself.
func (directory *FaultDirectory) flush(name string, write PendingWrite) error {
	if write.Data == nil {
		return directory.Directory.Truncate(name, write.Offset)
	}
	return directory.Directory.WriteAt(name, write.Offset, write.Data)
}

// Remove removes a file.
func (directory *FaultDirectory) Remove(name string) error {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	delete(directory.pending, name)
	return directory.Directory.Remove(name)
}

// List returns the names of the files, with those that are not synced.
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
