//go:build !linux

package vfs

import "os"

// syncData makes a file's bytes and its length last.
func syncData(file *os.File) error { return file.Sync() }
