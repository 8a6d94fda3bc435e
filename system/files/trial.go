package files

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

// Unsynced is one write that is not synced yet, or with no data one cut.
type Unsynced struct {
	Offset int64
	Data   []byte
}

// On gives a file's content after the write.
//
//	content = write.On(content)
func (write Unsynced) On(content []byte) []byte {
	if write.Data == nil {
		return content[:min(int64(len(content)), write.Offset)]
	}
	if missing := int(write.Offset) + len(write.Data) - len(content); missing > 0 {
		content = append(content, make([]byte, missing)...)
	}
	copy(content[write.Offset:], write.Data)
	return content
}

// TrialFaults is what the file of the trial setting says.
type TrialFaults struct {
	Stalled bool   `json:"stalled"`
	Full    bool   `json:"full"`
	Slow    string `json:"slow"` // how long each sync takes
}

// Trial is a Folder for trials of failure. What is not synced stays in memory, so
// that killing the process loses it as a loss of power would; syncs and writes obey
// the faults that a file names.
type Trial struct {
	Folder
	faults  string
	mutex   sync.Mutex
	pending map[string][]Unsynced
}

// NewTrial puts a folder under the faults that a file names, while it is there.
//
//	folder := files.NewTrial(folder, "/tmp/store-1.faults")
func NewTrial(folder Folder, faults string) *Trial {
	return &Trial{Folder: folder, faults: faults, pending: map[string][]Unsynced{}}
}

const trialPause = 20 * time.Millisecond

func (trial *Trial) now() TrialFaults {
	var faults TrialFaults
	if data, err := os.ReadFile(trial.faults); err == nil {
		_ = json.Unmarshal(data, &faults) // a half written file names no faults
	}
	return faults
}

// ReadFile gives a whole file, with what is not synced.
func (trial *Trial) ReadFile(name string) ([]byte, error) {
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	return trial.read(name)
}

func (trial *Trial) read(name string) ([]byte, error) {
	data, err := trial.Folder.ReadFile(name)
	writes := trial.pending[name]
	if errors.Is(err, fs.ErrNotExist) && len(writes) > 0 {
		err = nil
	}
	for _, write := range writes {
		data = write.On(data)
	}
	return data, err
}

// ReadPart gives a part of a file, with what is not synced.
func (trial *Trial) ReadPart(name string, offset int64, length int) ([]byte, error) {
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	if len(trial.pending[name]) == 0 {
		return trial.Folder.ReadPart(name, offset, length)
	}
	data, err := trial.read(name)
	if err == nil && offset+int64(length) > int64(len(data)) {
		err = errors.New("short file")
	}
	if err != nil {
		return nil, err
	}
	return data[offset : offset+int64(length)], nil
}

// WriteAt keeps a write in memory.
func (trial *Trial) WriteAt(name string, offset int64, data []byte) error {
	if trial.now().Full && len(data) > 0 {
		return errors.New("no space left on device")
	}
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	trial.pending[name] = append(trial.pending[name], Unsynced{Offset: offset, Data: append([]byte{}, data...)})
	return nil
}

// Truncate keeps a cut in memory.
func (trial *Trial) Truncate(name string, size int64) error {
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	if _, err := trial.read(name); err != nil {
		return err
	}
	trial.pending[name] = append(trial.pending[name], Unsynced{Offset: size})
	return nil
}

// Sync writes what is in memory and makes it last, after a stall or slowness.
func (trial *Trial) Sync(name string) error {
	for trial.now().Stalled {
		time.Sleep(trialPause)
	}
	if slow, err := time.ParseDuration(trial.now().Slow); err == nil {
		time.Sleep(slow)
	}
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	for _, write := range trial.pending[name] {
		failed := error(nil)
		if write.Data == nil {
			failed = trial.Folder.Truncate(name, write.Offset)
		} else {
			failed = trial.Folder.WriteAt(name, write.Offset, write.Data)
		}
		if failed != nil {
			return failed
		}
	}
	delete(trial.pending, name)
	return trial.Folder.Sync(name)
}

// Remove deletes a file.
func (trial *Trial) Remove(name string) error {
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	delete(trial.pending, name)
	return trial.Folder.Remove(name)
}

// Names lists the files, with those that are not synced.
func (trial *Trial) Names() ([]string, error) {
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	names, err := trial.Folder.Names()
	all := map[string]bool{}
	for _, name := range names {
		all[name] = true
	}
	for name := range trial.pending {
		all[name] = true
	}
	return slices.Sorted(maps.Keys(all)), err
}
