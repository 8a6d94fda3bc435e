package vfs

import (
	"errors"
	"os"
	"syscall"
)

// syncData makes a file's content and size durable. Unlike fsync, fdatasync does not write the
// timestamps.
func syncData(file *os.File) error {
	rawConn, err := file.SyscallConn()
	if err != nil {
		return err
	}
	syncErr := error(syscall.EINTR)
	for errors.Is(syncErr, syscall.EINTR) {
		if err := rawConn.Control(func(descriptor uintptr) { syncErr = syscall.Fdatasync(int(descriptor)) }); err != nil {
			return err
		}
	}
	return syncErr
}
