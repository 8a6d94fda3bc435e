package raft

import (
	"errors"
	"testing"
)

var errUnreadable = errors.New("unreadable snapshot content")

func TestUnreadableSnapshotIsNeitherInstalledNorAcknowledged(t *testing.T) {
	core := New(Settings{Name: "b", ElectionTicks: 10, HeartbeatTicks: 2, InstallSnapshot: func(snapshot Snapshot) error {
		if string(snapshot.Data) != "readable" {
			return errUnreadable
		}
		return nil
	}}, PersistentState{HardState: HardState{Term: 2}})
	send := func(data string) Output {
		snapshot := Snapshot{Index: 7, Term: 2, Membership: Membership{Voters: []string{"a", "b"}}, Data: []byte(data)}
		return core.Step(Input{Kind: InputMessage, Message: Message{Kind: MessageSnapshot, From: "a", To: "b", Term: 2, Snapshot: snapshot}})
	}
	rejected := send("something else")
	if rejected.Snapshot != nil || rejected.Write != nil || core.AppliedIndex() != 0 || len(core.Status().Membership.Voters) != 0 {
		t.Fatalf("an unreadable snapshot changed the replica: %+v", core.Status())
	}
	if rejected.SnapshotRejected == nil || rejected.SnapshotRejected.Reason != SnapshotUnreadable || !errors.Is(rejected.SnapshotRejected, errUnreadable) {
		t.Fatalf("unexpected rejection: %v", rejected.SnapshotRejected)
	}
	if len(rejected.Messages) != 1 || !rejected.Messages[0].Rejected || rejected.Messages[0].Index != 0 {
		t.Fatalf("unexpected reply: %+v", rejected.Messages)
	}
	installed := send("readable")
	if installed.Snapshot == nil || core.AppliedIndex() != 7 || installed.SnapshotRejected != nil {
		t.Fatalf("a readable snapshot was not installed: %+v, rejection: %v", core.Status(), installed.SnapshotRejected)
	}
}
