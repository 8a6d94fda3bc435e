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

// OSDirectory is a Folder in the machine's file system. The files written last stay open.
type OSDirectory struct {
	path      string
	mutex     sync.Mutex
	openFiles []openFile
	// syncedNames are the files whose presence in the folder was synced since it was opened.
	syncedNames map[string]bool
}

type openFile struct {
	name string
	file *os.File
}

// maxOpenFiles bounds the files that stay open.
const maxOpenFiles = 4

// Open makes the folder if it is missing, and makes its presence last: a power loss
// must not take it away together with the synced files in it.
//
//	folder, err := files.Open("/var/lib/yardrock")
func Open(path string) (*OSDirectory, error) {
	if err := createDirectory(path, syncDirectory); err != nil {
		return nil, err
	}
	return &OSDirectory{path: path, syncedNames: map[string]bool{}}, nil
}

// createDirectory makes a folder and those above it that are missing, and syncs each folder
// that names one of them. The folder above is synced also if the folder is there: an
// earlier process may have made it and ended before the sync.
func createDirectory(path string, sync func(path string) error) error {
	path = filepath.Clean(path)
	parents := []string{filepath.Dir(path)}
	for !exists(parents[len(parents)-1]) {
		parents = append(parents, filepath.Dir(parents[len(parents)-1]))
	}
	if err := os.MkdirAll(path, 0o750); err != nil {
		return err
	}
	for _, parent := range parents {
		if err := sync(parent); err != nil {
			return err
		}
	}
	return nil
}

func exists(path string) bool {
	_, err := os.Stat(path)
	return !errors.Is(err, fs.ErrNotExist)
}

// syncDirectory makes the names in a folder last.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}

// openForWriting gives a file for writing; the mutex must be held.
func (directory *OSDirectory) openForWriting(name string) (*os.File, error) {
	for _, one := range directory.openFiles {
		if one.name == name {
			return one.file, nil
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

// closeFile closes a file that is open; the mutex must be held.
func (directory *OSDirectory) closeFile(name string) error {
	delete(directory.syncedNames, name)
	for position, one := range directory.openFiles {
		if one.name == name {
			directory.openFiles = slices.Delete(directory.openFiles, position, position+1)
			return one.file.Close()
		}
	}
	return nil
}

func (directory *OSDirectory) filePath(name string) string {
	return filepath.Join(directory.path, name)
}

// ReadFile gives a whole file.
//
//	data, err := folder.ReadFile("identity")
func (directory *OSDirectory) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(directory.filePath(name))
}

// ReadRange gives a part of a file.
//
//	data, err := folder.ReadRange("cold-7", 128, 64)
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

// WriteAt writes without syncing.
//
//	err := folder.WriteAt("log-1", 0, header)
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

// Truncate cuts a file.
//
//	err := folder.Truncate("log-1", 4096)
func (directory *OSDirectory) Truncate(name string, size int64) error {
	return os.Truncate(directory.filePath(name), size)
}

// Sync syncs the file, and the first time the folder that names it.
//
//	err := folder.Sync("log-1")
func (directory *OSDirectory) Sync(name string) error {
	// The mutex is not held while the disk works, so that other files can be used.
	directory.mutex.Lock()
	file, err := directory.openForWriting(name)
	named := directory.syncedNames[name]
	directory.mutex.Unlock()
	if err != nil {
		return err
	}
	if err := syncData(file); err != nil {
		return err
	}
	if named {
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

// Remove deletes a file.
//
//	err := folder.Remove("log-1")
func (directory *OSDirectory) Remove(name string) error {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	closed := directory.closeFile(name)
	if err := os.Remove(directory.filePath(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return closed
}

// List lists the regular files.
//
//	names, err := folder.List()
func (directory *OSDirectory) List() ([]string, error) {
	found, err := os.ReadDir(directory.path)
	if err != nil {
		return nil, err
	}
	names := []string{}
	for _, entry := range found {
		if entry.Type().IsRegular() && !strings.HasPrefix(entry.Name(), ".") {
			names = append(names, entry.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}
