//go:build !linux

package vfs

import "os"

// syncData makes a file's content and size durable.
func syncData(file *os.File) error { return file.Sync() }
