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

func TestOSDirectoryWritesTruncatesAndRemoves(t *testing.T) {
	directory, err := Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	want := []string{}
	for number := range 3 * maxOpenFiles { // more files than stay open
		name := fmt.Sprintf("log-%02d", number)
		want = append(want, name)
		for _, part := range []string{"one", "two"} {
			if err := errors.Join(directory.WriteAt(name, int64(len(part)-3), []byte(part)), directory.Sync(name)); err != nil {
				t.Fatal(err)
			}
		}
		if err := errors.Join(directory.WriteAt(name, 3, []byte(" three")), directory.Truncate(name, 7), directory.Sync(name)); err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range want {
		if data, err := directory.ReadFile(name); err != nil || string(data) != "two thr" {
			t.Fatalf("%s holds %q, %v", name, data, err)
		}
		if part, err := directory.ReadRange(name, 4, 3); err != nil || string(part) != "thr" {
			t.Fatalf("%s holds %q, %v", name, part, err)
		}
	}
	if names, err := directory.List(); err != nil || !slices.Equal(names, want) {
		t.Fatalf("%v, %v", names, err)
	}
	// A file that was removed and comes again is another one, also while it was open.
	last := want[len(want)-1]
	if err := errors.Join(directory.Remove(last), directory.Remove(last)); err != nil {
		t.Fatal(err)
	}
	if _, err := directory.ReadFile(last); !errors.Is(err, fs.ErrNotExist) {
		t.Fatalf("a removed file is there: %v", err)
	}
	if err := errors.Join(directory.WriteAt(last, 0, []byte("new")), directory.Sync(last)); err != nil {
		t.Fatal(err)
	}
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
		t.Errorf("a folder that was there: synced %v, want %v", synced, want)
	}
}

func TestDirectoryThatCannotBeSyncedIsNotOpened(t *testing.T) {
	failed := errors.New("no sync")
	if err := createDirectory(filepath.Join(t.TempDir(), "log"), func(string) error { return failed }); !errors.Is(err, failed) {
		t.Errorf("got %v, want %v", err, failed)
	}
}
