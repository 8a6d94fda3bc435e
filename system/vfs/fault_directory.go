package vfs

import (
	"encoding/json"
	"errors"
	"io/fs"
	"maps"
	"os"
	"slices"
	"sync"
	"time"
)

// DiskFaults is what the file of the trial setting says.
type DiskFaults struct {
	Stalled bool   `json:"stalled"`
	Full    bool   `json:"full"`
	Slow    string `json:"slow"` // how long each sync takes
}

// FaultDirectory is a Folder for trials of failure. What is not synced stays in memory, so
// that killing the process loses it as a loss of power would; syncs and writes obey
// the faults that a file names.
type FaultDirectory struct {
	Directory
	faultsPath string
	mutex      sync.Mutex
	pending    map[string][]PendingWrite
}

// NewFaultDirectory puts a folder under the faults that a file names, while it is there.
//
//	folder := files.NewFaultDirectory(folder, "/tmp/store-1.faultsPath")
func NewFaultDirectory(directory Directory, faultsPath string) *FaultDirectory {
	return &FaultDirectory{Directory: directory, faultsPath: faultsPath, pending: map[string][]PendingWrite{}}
}

const stallPollInterval = 20 * time.Millisecond

func (directory *FaultDirectory) currentFaults() DiskFaults {
	var faults DiskFaults
	if data, err := os.ReadFile(directory.faultsPath); err == nil {
		_ = json.Unmarshal(data, &faults) // a half written file names no faults
	}
	return faults
}

// ReadFile gives a whole file, with what is not synced.
func (directory *FaultDirectory) ReadFile(name string) ([]byte, error) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.read(name)
}

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

// ReadRange gives a part of a file, with what is not synced.
func (directory *FaultDirectory) ReadRange(name string, offset int64, length int) ([]byte, error) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if len(directory.pending[name]) == 0 {
		return directory.Directory.ReadRange(name, offset, length)
	}
	data, err := directory.read(name)
	if err == nil && offset+int64(length) > int64(len(data)) {
		err = errors.New("short file")
	}
	if err != nil {
		return nil, err
	}
	return data[offset : offset+int64(length)], nil
}

// WriteAt keeps a write in memory.
func (directory *FaultDirectory) WriteAt(name string, offset int64, data []byte) error {
	if directory.currentFaults().Full && len(data) > 0 {
		return errors.New("no space left on device")
	}
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.pending[name] = append(directory.pending[name], PendingWrite{Offset: offset, Data: append([]byte{}, data...)})
	return nil
}

// Truncate keeps a cut in memory.
func (directory *FaultDirectory) Truncate(name string, size int64) error {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if _, err := directory.read(name); err != nil {
		return err
	}
	directory.pending[name] = append(directory.pending[name], PendingWrite{Offset: size})
	return nil
}

// Sync writes what is in memory and makes it last, after a stall or slowness.
func (directory *FaultDirectory) Sync(name string) error {
	for directory.currentFaults().Stalled {
		time.Sleep(stallPollInterval)
	}
	if slow, err := time.ParseDuration(directory.currentFaults().Slow); err == nil {
		time.Sleep(slow)
	}
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	for _, write := range directory.pending[name] {
		failed := error(nil)
		if write.Data == nil {
			failed = directory.Directory.Truncate(name, write.Offset)
		} else {
			failed = directory.Directory.WriteAt(name, write.Offset, write.Data)
		}
		if failed != nil {
			return failed
		}
	}
	delete(directory.pending, name)
	return directory.Directory.Sync(name)
}

// Remove deletes a file.
func (directory *FaultDirectory) Remove(name string) error {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	delete(directory.pending, name)
	return directory.Directory.Remove(name)
}

// List lists the files, with those that are not synced.
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
