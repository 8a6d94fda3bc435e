package controlplane

import (
	"testing"
	"time"
)

// A node that was frozen, or heard no majority, counts its contact anew.
func TestQuorumContactRestartsAfterPause(t *testing.T) {
	now := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	var contact quorumContact
	look := func(seconds, heard int) {
		for range 2 * seconds {
			now = now.Add(gossipInterval)
			contact.record(now, heard, 5)
		}
	}
	look(1, 3)
	look(10, 3)
	if lasts := contact.duration(now); lasts < lostTimeout {
		t.Fatalf("a majority was heard all the time, but the contact lasts %s", lasts)
	}
	look(1, 2)
	if lasts := contact.duration(now); lasts != 0 {
		t.Fatalf("a minority is heard, but the contact lasts %s", lasts)
	}
	look(3, 5)
	if lasts := contact.duration(now); lasts < replaceableTimeout || lasts > 3*time.Second {
		t.Fatalf("3 s after the cut the contact lasts %s", lasts)
	}
	now = now.Add(20 * time.Second)
	if lasts := contact.duration(now); lasts != 0 {
		t.Fatalf("a frozen node that has not looked yet has a contact of %s", lasts)
	}
	look(1, 5)
	if lasts := contact.duration(now); lasts > time.Second {
		t.Fatalf("a second after the thaw the contact lasts %s", lasts)
	}
}
