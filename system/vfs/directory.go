// Package vfs is the file system as the rest of the system uses it: flat directories of named
// files, with explicit syncs. Tests and trials replace it by directories that fail.
//
// [OSDirectory] is a directory of the operating system. [FaultDirectory] adds faults to
// another one, as an operator's trial asks for them. Package simulator has one in memory that
// loses what was not synced.
package vfs

// Directory is a flat directory of named files. Its methods may be called from several
// goroutines.
//
// What was written is read back at once, but after a loss of power only what was synced is
// certain to be there: of later writes any part may be.
type Directory interface {
	// ReadFile returns the content of a file. The error of a missing one is fs.ErrNotExist.
	ReadFile(name string) ([]byte, error)
	// ReadRange returns length bytes from an offset on. It is an error if the file is shorter.
	ReadRange(name string, offset int64, length int) ([]byte, error)
	// Size returns the length of a file in bytes. The error of a missing one is fs.ErrNotExist.
	Size(name string) (int64, error)
	// WriteAt writes at an offset. It creates the file if it is missing, also without data.
	WriteAt(name string, offset int64, data []byte) error
	// Truncate shortens a file to a size in bytes.
	Truncate(name string, size int64) error
	// Sync makes a file's content, and its name in the directory, durable.
	Sync(name string) error
	// Remove removes a file; it is no error if it is missing. The removal need not be durable:
	// the file may be back after a loss of power.
	Remove(name string) error
	// List returns the names of the files, sorted.
	List() ([]string, error)
}
