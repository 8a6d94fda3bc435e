package wire

import (
	"time"

	"yardrock.example/system/feed"
)

// FollowQuery is a node's heartbeat to a control node, and asks for the changes of the feed
// after a number. A quorum of control nodes confirms the reply. With Wait the reply is
// delayed, at most that long, while nothing changes (long polling). MembersDigest is that of
// the member list that the sender has.
type FollowQuery struct {
	Member feed.Member `capnp:"member"`
	After  uint64      `capnp:"after"`
	// ConfirmOnly is set by control nodes: the query is no heartbeat, and only asks the leader to
	// confirm the number.
	ConfirmOnly   bool          `capnp:"sessionOnly"`
	Wait          time.Duration `capnp:"wait"`
	MembersDigest uint64        `capnp:"known"`
	// Packed is set by senders that can read packed views and config deltas.
	Packed bool `capnp:"packed"`
}

// FollowReply answers a FollowQuery: nothing newer than Newest existed when the confirmation
// began. With Reset it brings a full view, else the Changes after the number asked for.
// Members is filled if the sender's list is out of date; MembersDigest is 0 without one.
type FollowReply struct {
	Newest  uint64        `capnp:"newest"`
	Reset   bool          `capnp:"reset"`
	View    feed.View     `capnp:"view"`
	Changes []feed.Change `capnp:"changes"`
	Members []feed.Member `capnp:"members"`
	// ConfirmationDelay is a lower bound of the time from the query's arrival to the start
	// of the confirmation.
	ConfirmationDelay time.Duration `capnp:"held"`
	MembersDigest     uint64        `capnp:"known"`

	// RunnerListAge is how long before the query's arrival the runner list was read whose
	// content is in force at Newest; it is negative if it was read later. It has no meaning
	// without HasRunnerListAge.
	HasRunnerListAge bool          `capnp:"rosterRead"`
	RunnerListAge    time.Duration `capnp:"rosterAge"`
	// PackedView takes the place of View for senders with Packed; the same bytes go to all.
	PackedView []byte `capnp:"packedView"`
}

// FullView gives the view of a reply with Reset.
//
//	view, err := reply.Follow.FullView()
func (reply *FollowReply) FullView() (*feed.View, error) {
	return fullView(&reply.View, reply.PackedView)
}

// fullView gives the packed view if there is one, else the other.
func fullView(view *feed.View, packedView []byte) (*feed.View, error) {
	if len(packedView) > 0 {
		return UnpackView(packedView)
	}
	return view, nil
}

// ReplicateViewQuery asks a store to sync a view: a full one, or the Changes that follow on
// the view that it has.
type ReplicateViewQuery struct {
	View       feed.View     `capnp:"view"`
	PackedView []byte        `capnp:"packedView"`
	Changes    []feed.Change `capnp:"changes"`
}

// ViewFrom gives the view to sync, for a store whose view is current. Changes that do not
// follow on it are an error.
//
//	view, err := query.ReplicateView.ViewFrom(current)
func (query *ReplicateViewQuery) ViewFrom(current *feed.View) (*feed.View, error) {
	if len(query.Changes) == 0 {
		return fullView(&query.View, query.PackedView)
	}
	view, err := feed.FoldAll(*current, query.Changes)
	return &view, err
}

// NewestViewQuery asks a store for the newest view that it has synced, if its number is above
// After. Packed is set by senders that can read packed views.
type NewestViewQuery struct {
	After  uint64 `capnp:"after"`
	Packed bool   `capnp:"packed"`
}

// NewestViewReply answers a NewestViewQuery. Number is that of the newest view synced; the
// view itself is filled only if the number is above the one asked for.
type NewestViewReply struct {
	Number uint64    `capnp:"number"`
	View   feed.View `capnp:"view"`
	// HeardControlQuorum is set if a control quorum of this fleet confirmed a view lately.
	HeardControlQuorum bool   `capnp:"controlled"`
	PackedView         []byte `capnp:"packedView"`
}

// FullView gives the newer view, or an empty one if there is none.
//
//	view, err := reply.NewestView.FullView()
func (reply *NewestViewReply) FullView() (*feed.View, error) {
	return fullView(&reply.View, reply.PackedView)
}

// ChangeQuery asks the control leader to commit a change of the feed. With AwaitView above 0
// it commits nothing, and is answered once a majority of the stores that replicate views has
// synced the view of that number or a newer one.
type ChangeQuery struct {
	Change    feed.Change `capnp:"change"`
	AwaitView uint64      `capnp:"await"`
}

// ChangeReply is the number of a committed change. Acknowledged is set once a majority of the
// stores that replicate views has synced it.
type ChangeReply struct {
	Number       uint64 `capnp:"number"`
	Acknowledged bool   `capnp:"acknowledged"`
}

// MemberSessionBatch has the nodes from which a control node has heartbeats.
type MemberSessionBatch struct {
	From     string          `capnp:"from"`
	Sessions []MemberSession `capnp:"sessions"`
}

// MemberSession is a node and the age of its last heartbeat.
type MemberSession struct {
	Member feed.Member   `capnp:"member"`
	Age    time.Duration `capnp:"age"`
}

// ControlSnapshot is the state of the control group. Version 1 has a View and Changes with
// full configs; later ones have a PackedView and a feed.History: Changes whose configs are
// deltas, and EarlierConfigs.
type ControlSnapshot struct {
	Version        uint32               `capnp:"version"`
	View           feed.View            `capnp:"view"`
	Changes        []feed.Change        `capnp:"changes"`
	PackedView     []byte               `capnp:"packedView"`
	EarlierConfigs []feed.EarlierConfig `capnp:"earlier"`
}
