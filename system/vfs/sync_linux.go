package vfs

import (
	"os"
	"syscall"
)

// syncData makes a file's bytes and its length last, but not its times.
func syncData(file *os.File) error {
	raw, err := file.SyscallConn()
	if err != nil {
		return err
	}
	failed := error(syscall.EINTR)
	for failed == syscall.EINTR {
		if err := raw.Control(func(descriptor uintptr) { failed = syscall.Fdatasync(int(descriptor)) }); err != nil {
			return err
		}
	}
	return failed
}
