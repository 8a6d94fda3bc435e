// Package vfs is the file system abstraction of the system: flat directories of named files, with
// explicit syncs. Tests replace it to inject faults.
//
// [OSDirectory] is a directory of the operating system. [FaultDirectory] wraps another
// [Directory] and injects faults on an operator's request. Package simulator has an in-memory
// implementation that loses unsynced writes.
package vfs

// Directory is a flat directory of named files. It is safe for concurrent use.
//
// Reads see all earlier writes. After a power failure only synced writes are certain to be
// there; any part of the unsynced ones may be.
type Directory interface {
	// ReadFile returns the content of a file. If it does not exist, the error is fs.ErrNotExist.
	ReadFile(name string) ([]byte, error)
	// ReadRange returns length bytes from an offset. It is an error if the file is shorter.
	ReadRange(name string, offset int64, length int) ([]byte, error)
	// Size returns the size of a file in bytes. If it does not exist, the error is
	// fs.ErrNotExist.
	Size(name string) (int64, error)
	// WriteAt writes data at an offset. It creates the file if it does not exist, even if data
	// is empty.
	WriteAt(name string, offset int64, data []byte) error
	// Truncate shortens a file to a size in bytes.
	Truncate(name string, size int64) error
	// Sync makes a file's content, and its name in the directory, durable.
	Sync(name string) error
	// Remove removes a file; it is no error if it does not exist. The removal need not be
	// durable: the file may reappear after a power failure.
	Remove(name string) error
	// List returns the names of the files, sorted.
	List() ([]string, error)
}
