package vfs

import (
	"errors"
	"os"
	"syscall"
)

// syncData makes a file's content and size durable. It leaves out the times, which fsync would
// write too.
func syncData(file *os.File) error {
	connection, err := file.SyscallConn()
	if err != nil {
		return err
	}
	syncError := error(syscall.EINTR)
	for errors.Is(syncError, syscall.EINTR) {
		if err := connection.Control(func(descriptor uintptr) { syncError = syscall.Fdatasync(int(descriptor)) }); err != nil {
			return err
		}
	}
	return syncError
}
