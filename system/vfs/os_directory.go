package vfs

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
)

// maxOpenFiles is the number of files that an OSDirectory keeps open: the log and the snapshot
// being written, and two more.
const maxOpenFiles = 4

// OSDirectory is a [Directory] in the file system of the operating system. It keeps the files
// opened last for writing open for the life of the process.
type OSDirectory struct {
	path  string
	mutex sync.Mutex // guards openFiles and syncedNames
	// openFiles are the files open for writing, in the order in which they were opened.
	openFiles []openFile
	// syncedNames are the files whose names in the directory are durable.
	syncedNames map[string]bool
}

type openFile struct {
	name string
	file *os.File
}

// Open opens a directory, creating it if it does not exist. It syncs the parent directory, as a
// power failure could otherwise remove the directory with the synced files in it.
func Open(path string) (*OSDirectory, error) {
	if err := createDirectory(path, syncDirectory); err != nil {
		return nil, err
	}
	return &OSDirectory{path: path, syncedNames: map[string]bool{}}, nil
}

// createDirectory creates a directory and its missing parents, and syncs each directory that got
// a new entry. The direct parent is synced even if the directory exists, as an earlier process
// may have crashed between creating and syncing.
func createDirectory(path string, syncParent func(path string) error) error {
	path = filepath.Clean(path)
	parents := []string{filepath.Dir(path)}
	for !exists(parents[len(parents)-1]) {
		parents = append(parents, filepath.Dir(parents[len(parents)-1]))
	}
	if err := os.MkdirAll(path, 0o750); err != nil {
		return err
	}
	for _, parent := range parents {
		if err := syncParent(parent); err != nil {
			return err
		}
	}
	return nil
}

func exists(path string) bool {
	_, err := os.Stat(path)
	return !errors.Is(err, fs.ErrNotExist)
}

// syncDirectory makes the entries of a directory durable.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}

// openForWriting returns a file open for writing, opening or creating it if necessary. It closes
// the one opened first if maxOpenFiles are open already. The mutex must be held.
func (directory *OSDirectory) openForWriting(name string) (*os.File, error) {
	for _, open := range directory.openFiles {
		if open.name == name {
			return open.file, nil
		}
	}
	file, err := os.OpenFile(directory.filePath(name), os.O_WRONLY|os.O_CREATE, 0o640)
	if err != nil {
		return nil, err
	}
	if len(directory.openFiles) == maxOpenFiles {
		err = directory.openFiles[0].file.Close()
		directory.openFiles = slices.Delete(directory.openFiles, 0, 1)
	}
	directory.openFiles = append(directory.openFiles, openFile{name, file})
	return file, err
}

// closeFile closes a file if it is open, and removes it from syncedNames. The mutex must be held.
func (directory *OSDirectory) closeFile(name string) error {
	delete(directory.syncedNames, name)
	for position, open := range directory.openFiles {
		if open.name == name {
			directory.openFiles = slices.Delete(directory.openFiles, position, position+1)
			return open.file.Close()
		}
	}
	return nil
}

func (directory *OSDirectory) filePath(name string) string {
	return filepath.Join(directory.path, name)
}

// ReadFile returns the content of a file.
func (directory *OSDirectory) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(directory.filePath(name))
}

// ReadRange returns a part of a file.
func (directory *OSDirectory) ReadRange(name string, offset int64, length int) ([]byte, error) {
	file, err := os.Open(directory.filePath(name))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	data := make([]byte, length)
	_, err = file.ReadAt(data, offset)
	return data, err
}

// Size returns the size of a file in bytes.
func (directory *OSDirectory) Size(name string) (int64, error) {
	info, err := os.Stat(directory.filePath(name))
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// WriteAt writes to a file without syncing it.
func (directory *OSDirectory) WriteAt(name string, offset int64, data []byte) error {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	file, err := directory.openForWriting(name)
	if err != nil {
		return err
	}
	_, err = file.WriteAt(data, offset)
	return err
}

// Truncate shortens a file without syncing it.
func (directory *OSDirectory) Truncate(name string, size int64) error {
	return os.Truncate(directory.filePath(name), size)
}

// Sync syncs a file and, the first time, the directory. It does not block operations on other
// files.
func (directory *OSDirectory) Sync(name string) error {
	directory.mutex.Lock()
	file, err := directory.openForWriting(name)
	nameSynced := directory.syncedNames[name]
	directory.mutex.Unlock()
	if err != nil {
		return err
	}
	if err := syncData(file); err != nil {
		return err
	}
	if nameSynced {
		return nil
	}
	if err := syncDirectory(directory.path); err != nil {
		return err
	}
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.syncedNames[name] = true
	return nil
}

// Remove closes and removes a file. The removal is not synced.
func (directory *OSDirectory) Remove(name string) error {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	closeErr := directory.closeFile(name)
	if err := os.Remove(directory.filePath(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return closeErr
}

// List returns the names of the regular files that are not hidden, sorted.
func (directory *OSDirectory) List() ([]string, error) {
	entries, err := os.ReadDir(directory.path)
	if err != nil {
		return nil, err
	}
	names := []string{}
	for _, entry := range entries {
		if entry.Type().IsRegular() && !strings.HasPrefix(entry.Name(), ".") {
			names = append(names, entry.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}
