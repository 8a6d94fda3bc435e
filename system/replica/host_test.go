package replica

import (
	"context"
	"testing"

	"yardrock.example/system/raft"
)

func TestUnreadableSnapshotFromPeerChangesNothing(t *testing.T) {
	machine := &textStateMachine{}
	host, err := openHost(t, t.TempDir(), DefaultSettings(1), machine)
	if err != nil {
		t.Fatal(err)
	}
	send := func(data string) raft.Status {
		snapshot := raft.Snapshot{Index: 9, Term: 2, Membership: raft.Membership{Voters: []string{"a", host.Name()}}, Data: []byte(data)}
		host.Receive(context.Background(), []raft.Message{{Group: 1, Kind: raft.MessageSnapshot, From: "a", To: host.Name(), Term: 2, Snapshot: snapshot}})
		status, _ := host.Status(1)
		return status
	}
	if status := send("no such form"); status.CommitIndex != 0 || status.LastIndex != 0 || len(status.Membership.Voters) != 0 || len(machine.content) != 0 {
		t.Fatalf("after an unreadable snapshot: %+v, %q", status, machine.content)
	}
	if status := send(textPrefix + "hello"); status.CommitIndex != 9 || string(machine.content) != "hello" {
		t.Fatalf("after a readable snapshot: %+v, %q", status, machine.content)
	}
	if status := send("no such form"); status.CommitIndex != 9 || string(machine.content) != "hello" {
		t.Fatalf("after the second unreadable snapshot: %+v, %q", status, machine.content)
	}
}
