// Package files is the narrow view of a data folder that the rest of yardrock
// uses, so that tests can put a failing disk in its place.
package vfs

// Directory is a flat folder of named files. Nothing lasts before Sync returned.
type Directory interface {
	// ReadFile gives a whole file; a missing one is fs.ErrNotExist.
	ReadFile(name string) ([]byte, error)
	// ReadRange gives length bytes from an offset on.
	ReadRange(name string, offset int64, length int) ([]byte, error)
	// WriteAt writes at an offset and makes the file if it is missing.
	WriteAt(name string, offset int64, data []byte) error
	// Truncate cuts a file to a size.
	Truncate(name string, size int64) error
	// Sync makes a file's content, and its presence in the folder, last.
	Sync(name string) error
	// Remove deletes a file; a missing one is no failure.
	Remove(name string) error
	// List lists the files in order.
	List() ([]string, error)
}
