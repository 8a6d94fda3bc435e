package wire

import (
	"time"

	"yardrock.example/system/feed"
)

// FollowQuery is a node's heartbeat to a control node, and requests the changes of the feed
// after the number After. A quorum of control nodes confirms the reply. Wait is the longest
// time that the reply is delayed while there is no change (long polling). MembersDigest is the
// digest of the sender's member list.
type FollowQuery struct {
	Member feed.Member `capnp:"member"`
	After  uint64      `capnp:"after"`
	// ConfirmOnly is set by control nodes: the query is not a heartbeat and only requests that
	// the leader confirm the newest number.
	ConfirmOnly   bool          `capnp:"sessionOnly"`
	Wait          time.Duration `capnp:"wait"`
	MembersDigest uint64        `capnp:"known"`
	// Packed is set by senders that can read packed views and config deltas.
	Packed bool `capnp:"packed"`
}

// FollowReply is the response to a FollowQuery. Nothing newer than Newest existed when the
// confirmation started. With Reset it has a full view, otherwise the Changes after the requested
// number. Members is set if the requester's list is out of date; without it, MembersDigest is 0.
type FollowReply struct {
	Newest  uint64        `capnp:"newest"`
	Reset   bool          `capnp:"reset"`
	View    feed.View     `capnp:"view"`
	Changes []feed.Change `capnp:"changes"`
	Members []feed.Member `capnp:"members"`
	// ConfirmationDelay is a lower bound on the time from the arrival of the query to the start
	// of the confirmation.
	ConfirmationDelay time.Duration `capnp:"held"`
	MembersDigest     uint64        `capnp:"known"`

	// RunnerListAge is how long before the arrival of the query the runner list that is current
	// at Newest was read; it is negative if it was read later. It is valid only with
	// HasRunnerListAge.
	HasRunnerListAge bool          `capnp:"rosterRead"`
	RunnerListAge    time.Duration `capnp:"rosterAge"`
	// PackedView replaces View if the query has Packed; the bytes are shared by the replies to
	// many followers.
	PackedView []byte `capnp:"packedView"`
}

// FullView returns the view of a reply with Reset.
//
//	view, err := reply.Follow.FullView()
func (reply *FollowReply) FullView() (*feed.View, error) {
	return fullView(&reply.View, reply.PackedView)
}

// fullView returns the unpacked packedView, or view if there is no packed one.
func fullView(view *feed.View, packedView []byte) (*feed.View, error) {
	if len(packedView) > 0 {
		return UnpackView(packedView)
	}
	return view, nil
}

// ReplicateViewQuery requests that a store sync a view, which is given in full or as the
// Changes to the store's current view.
type ReplicateViewQuery struct {
	View       feed.View     `capnp:"view"`
	PackedView []byte        `capnp:"packedView"`
	Changes    []feed.Change `capnp:"changes"`
}

// ViewFrom returns the view to sync, given the store's current view. It is an error if the
// changes do not apply to that view.
//
//	view, err := query.ReplicateView.ViewFrom(current)
func (query *ReplicateViewQuery) ViewFrom(current *feed.View) (*feed.View, error) {
	if len(query.Changes) == 0 {
		return fullView(&query.View, query.PackedView)
	}
	view, err := feed.FoldAll(*current, query.Changes)
	return &view, err
}

// NewestViewQuery requests the newest view that a store has synced, if its number is greater
// than After. Packed is set by senders that can read packed views.
type NewestViewQuery struct {
	After  uint64 `capnp:"after"`
	Packed bool   `capnp:"packed"`
}

// NewestViewReply is the response to a NewestViewQuery. Number is that of the newest synced
// view; the view itself is set only if the number is greater than After.
type NewestViewReply struct {
	Number uint64    `capnp:"number"`
	View   feed.View `capnp:"view"`
	// ControlConfirmed is set if a control quorum of the store's fleet confirmed a view
	// recently.
	ControlConfirmed bool   `capnp:"controlled"`
	PackedView       []byte `capnp:"packedView"`
}

// FullView returns the view of the reply, or an empty one if there is none.
//
//	view, err := reply.NewestView.FullView()
func (reply *NewestViewReply) FullView() (*feed.View, error) {
	return fullView(&reply.View, reply.PackedView)
}

// ChangeQuery requests that the control leader commit a change of the feed. If AwaitView is not
// 0, it commits nothing and is answered once a majority of the stores that replicate views has
// synced the view with that number or a newer one.
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

// MemberSessionBatch lists the nodes from which the control node From receives heartbeats, and
// From itself.
type MemberSessionBatch struct {
	From     string          `capnp:"from"`
	Sessions []MemberSession `capnp:"sessions"`
}

// MemberSession is a node and the time since its last heartbeat.
type MemberSession struct {
	Member feed.Member   `capnp:"member"`
	Age    time.Duration `capnp:"age"`
}

// ControlSnapshot is the state of the control group. Version 1 has a View and Changes with
// full configs; later versions have a PackedView and a feed.History: Changes whose configs are
// deltas, and EarlierConfigs.
type ControlSnapshot struct {
	Version        uint32               `capnp:"version"`
	View           feed.View            `capnp:"view"`
	Changes        []feed.Change        `capnp:"changes"`
	PackedView     []byte               `capnp:"packedView"`
	EarlierConfigs []feed.EarlierConfig `capnp:"earlier"`
}
