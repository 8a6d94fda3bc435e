package vfs

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// must fails the test if any of the errors is not nil.
func must(t *testing.T, errs ...error) {
	t.Helper()
	if err := errors.Join(errs...); err != nil {
		t.Fatal(err)
	}
}

// newDirectoryWithFiles returns a directory with more files than stay open, each with the content
// "two thr", and their names.
func newDirectoryWithFiles(t *testing.T) (*OSDirectory, []string) {
	t.Helper()
	directory, err := Open(t.TempDir())
	must(t, err)
	names := []string{}
	for number := range 3 * maxOpenFiles {
		name := fmt.Sprintf("log-%02d", number)
		names = append(names, name)
		for _, part := range []string{"one", "two"} {
			must(t, directory.WriteAt(name, int64(len(part)-3), []byte(part)), directory.Sync(name))
		}
		must(t, directory.WriteAt(name, 3, []byte(" three")), directory.Truncate(name, 7), directory.Sync(name))
	}
	return directory, names
}

func TestOSDirectoryWritesTruncatesAndRemoves(t *testing.T) {
	directory, want := newDirectoryWithFiles(t)
	for _, name := range want {
		if data, err := directory.ReadFile(name); err != nil || string(data) != "two thr" {
			t.Fatalf("%s has %q, %v", name, data, err)
		}
		if part, err := directory.ReadRange(name, 4, 3); err != nil || string(part) != "thr" {
			t.Fatalf("%s has %q, %v", name, part, err)
		}
	}
	if names, err := directory.List(); err != nil || !slices.Equal(names, want) {
		t.Fatalf("%v, %v", names, err)
	}
	// Writing to a removed name creates a new file, even if the old one was open.
	last := want[len(want)-1]
	must(t, directory.Remove(last), directory.Remove(last))
	if _, err := directory.ReadFile(last); !errors.Is(err, fs.ErrNotExist) {
		t.Fatalf("reading a removed file: %v, want fs.ErrNotExist", err)
	}
	must(t, directory.WriteAt(last, 0, []byte("new")), directory.Sync(last))
	if data, err := os.ReadFile(directory.filePath(last)); err != nil || string(data) != "new" {
		t.Fatalf("%q, %v", data, err)
	}
}

func BenchmarkAppendAndSync(b *testing.B) {
	directory, err := Open(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	data := make([]byte, 2000)
	for number := range b.N {
		if err := errors.Join(directory.WriteAt("log", int64(number*len(data)), data), directory.Sync("log")); err != nil {
			b.Fatal(err)
		}
	}
}

func TestNewDirectoryIsSyncedInItsParents(t *testing.T) {
	root := t.TempDir()
	var synced []string
	record := func(path string) error {
		synced = append(synced, path)
		return nil
	}
	if err := createDirectory(filepath.Join(root, "data", "log"), record); err != nil {
		t.Fatal(err)
	}
	if want := []string{filepath.Join(root, "data"), root}; !slices.Equal(synced, want) {
		t.Errorf("synced %v, want %v", synced, want)
	}
	synced = nil
	if err := createDirectory(filepath.Join(root, "data", "log"), record); err != nil {
		t.Fatal(err)
	}
	if want := []string{filepath.Join(root, "data")}; !slices.Equal(synced, want) {
		t.Errorf("existing directory: synced %v, want %v", synced, want)
	}
}

func TestDirectoryThatCannotBeSyncedIsNotOpened(t *testing.T) {
	failed := errors.New("no sync")
	if err := createDirectory(filepath.Join(t.TempDir(), "log"), func(string) error { return failed }); !errors.Is(err, failed) {
		t.Errorf("got %v, want %v", err, failed)
	}
}
