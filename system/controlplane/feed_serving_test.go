package controlplane

import (
	"testing"
	"time"

	"yardrock.example/system/wire"
)

// TestFollowReplies guards against a follower that gets changes it cannot apply, or a full view
// where changes suffice.
func TestFollowReplies(t *testing.T) {
	machine, node := newFeedStateMachine(), &Node{}
	applyRouteChanges(t, machine, 20, 40)
	state := &quorumState{feedState: machine.state()}
	state.view.Fleet = "fleet"
	for name, test := range map[string]struct {
		fleet   string
		follow  wire.FollowQuery
		reset   bool
		packed  bool
		changes int
	}{
		"up to date":           {"fleet", wire.FollowQuery{After: 40, Packed: true}, false, false, 0},
		"slightly behind":      {"fleet", wire.FollowQuery{After: 37, Packed: true}, false, false, 3},
		"new":                  {"fleet", wire.FollowQuery{Packed: true}, true, true, 0},
		"ahead":                {"fleet", wire.FollowQuery{After: 50, Packed: true}, true, false, 0},
		"no packed views":      {"fleet", wire.FollowQuery{After: 37}, true, false, 0},
		"unpacked, up to date": {"fleet", wire.FollowQuery{After: 40}, false, false, 0},
		"no fleet yet":         {"", wire.FollowQuery{After: 37, Packed: true}, true, true, 0},
	} {
		reply := node.followReply(state, &wire.Query{Fleet: test.fleet, Follow: &test.follow}, time.Now())
		if reply.Newest != 40 || reply.Reset != test.reset || (len(reply.PackedView) > 0) != test.packed || len(reply.Changes) != test.changes {
			t.Errorf("%s: newest %d, reset %v, packed view of %d bytes, %d changes", name, reply.Newest, reply.Reset, len(reply.PackedView), len(reply.Changes))
		}
		if view, err := reply.FullView(); err != nil || (test.reset && view.Number != 40) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
