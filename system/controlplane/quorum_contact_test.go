package controlplane

import (
	"testing"
	"time"
)

// TestQuorumContactRestartsAfterPause checks that the contact restarts after a node heard from
// only a minority, and after its process was paused.
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
		t.Fatalf("contact with an uninterrupted majority lasts only %s", duration)
	}
	record(1, 2)
	if duration := contact.duration(now); duration != 0 {
		t.Fatalf("contact with only a minority lasts %s, want 0", duration)
	}
	record(3, 5)
	if duration := contact.duration(now); duration < replaceableTimeout || duration > 3*time.Second {
		t.Fatalf("3 s after the partition ended the contact lasts %s", duration)
	}
	now = now.Add(20 * time.Second)
	if duration := contact.duration(now); duration != 0 {
		t.Fatalf("after a pause and before the next check the contact lasts %s, want 0", duration)
	}
	record(1, 5)
	if duration := contact.duration(now); duration > time.Second {
		t.Fatalf("1 s after the pause ended the contact lasts %s", duration)
	}
}
