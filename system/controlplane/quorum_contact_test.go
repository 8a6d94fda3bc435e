package controlplane

import (
	"testing"
	"time"
)

// TestQuorumContactRestartsAfterPause has a node hear a minority, and freeze.
func TestQuorumContactRestartsAfterPause(t *testing.T) {
	now := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	var contact quorumContact
	record := func(seconds, heard int) {
		for range 2 * seconds {
			now = now.Add(gossipInterval)
			contact.record(now, heard, 5)
		}
	}
	record(1, 3)
	record(10, 3)
	if duration := contact.duration(now); duration < lostTimeout {
		t.Fatalf("a majority was heard all the time, but the contact lasts %s", duration)
	}
	record(1, 2)
	if duration := contact.duration(now); duration != 0 {
		t.Fatalf("a minority is heard, but the contact lasts %s", duration)
	}
	record(3, 5)
	if duration := contact.duration(now); duration < replaceableTimeout || duration > 3*time.Second {
		t.Fatalf("3 s after the cut the contact lasts %s", duration)
	}
	now = now.Add(20 * time.Second)
	if duration := contact.duration(now); duration != 0 {
		t.Fatalf("a frozen node that has not checked yet has a contact of %s", duration)
	}
	record(1, 5)
	if duration := contact.duration(now); duration > time.Second {
		t.Fatalf("a second after the thaw the contact lasts %s", duration)
	}
}
