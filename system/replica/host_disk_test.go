package replica

import (
	"testing"
	"time"

	"yardrock.example/system/durablelog"
	"yardrock.example/system/link"
	"yardrock.example/system/vfs"
)

// stallingDirectory stalls one sync per value in stall: the sync signals on entered that it has
// started, and continues once resume is closed.
type stallingDirectory struct {
	vfs.Directory
	stall, entered, resume chan struct{}
}

func (directory *stallingDirectory) Sync(name string) error {
	select {
	case <-directory.stall:
		directory.entered <- struct{}{}
		<-directory.resume
	default:
	}
	return directory.Directory.Sync(name)
}

// A stalled disk must not block Close. The disk goroutine ends after the write in progress.
func TestCloseDoesNotWaitForAStalledDisk(t *testing.T) {
	osDirectory, err := vfs.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	directory := &stallingDirectory{Directory: osDirectory, stall: make(chan struct{}, 1), entered: make(chan struct{}), resume: make(chan struct{})}
	durableLog, records, err := durablelog.Open(directory, "test")
	if err != nil {
		t.Fatal(err)
	}
	transport := NewTransport(link.NewClient(link.TCP{}), func(string) string { return "" }, func() string { return "" })
	host, err := Open(fastSettings(), durableLog, records, func(uint32) StateMachine { return &textStateMachine{} }, transport)
	if err != nil {
		t.Fatal(err)
	}
	directory.stall <- struct{}{}
	host.Bootstrap(1, []string{host.Name()}, nil)
	<-directory.entered

	closed := make(chan struct{})
	go func() { host.Close(); close(closed) }()
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatalf("Close did not return within %s while a sync was stalled", testTimeout)
	}
	select {
	case <-host.diskStopped:
		t.Fatal("the disk goroutine ended before its write completed")
	default:
	}
	close(directory.resume)
	select {
	case <-host.diskStopped:
	case <-time.After(testTimeout):
		t.Fatalf("the disk goroutine did not end within %s after the stall", testTimeout)
	}
}
