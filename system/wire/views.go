package wire

import (
	"time"

	"yardrock.example/system/feed"
)

// FollowQuery renews a node's session and asks for changes after a number. The
// answer counts as confirmed by a control quorum. With Wait it is held so long while
// nothing changes. Known is the digest of the members that the asker knows.
type FollowQuery struct {
	Member        feed.Member   `capnp:"member"`
	After         uint64        `capnp:"after"`
	SessionOnly   bool          `capnp:"sessionOnly"`
	Wait          time.Duration `capnp:"wait"`
	MembersDigest uint64        `capnp:"known"`
	// Packed tells that the asker reads packed views and config differences.
	Packed bool `capnp:"packed"`
}

// FollowReply answers a FollowQuery. Held is how long after the query came the
// confirmation began, at least. Members are told if they are not those of Known.
// RunnerListAge is how long before the query came the leader read the runner list whose
// content is in force at Newest; it is negative if the list was read later than that, and
// means nothing without HasRunnerListAge.
type FollowReply struct {
	Newest            uint64        `capnp:"newest"`
	Reset             bool          `capnp:"reset"`
	View              feed.View     `capnp:"view"`
	Changes           []feed.Change `capnp:"changes"`
	Members           []feed.Member `capnp:"members"`
	ConfirmationDelay time.Duration `capnp:"held"`
	MembersDigest     uint64        `capnp:"known"`

	HasRunnerListAge bool          `capnp:"rosterRead"`
	RunnerListAge    time.Duration `capnp:"rosterAge"`
	// PackedView is the View, packed; the same bytes go to all who ask.
	PackedView []byte `capnp:"packedView"`
}

// FullView gives the view that an answer brings in place of changes.
//
//	view, err := reply.Follow.FullView()
func (reply *FollowReply) FullView() (*feed.View, error) {
	return fullView(&reply.View, reply.PackedView)
}

func fullView(view *feed.View, packed []byte) (*feed.View, error) {
	if len(packed) > 0 {
		return UnpackView(packed)
	}
	return view, nil
}

// ReplicateViewQuery gives a store a view to sync: whole, or as the Changes that follow on what it
// holds.
type ReplicateViewQuery struct {
	View       feed.View     `capnp:"view"`
	PackedView []byte        `capnp:"packedView"`
	Changes    []feed.Change `capnp:"changes"`
}

// ViewFrom gives the view to hold, to one who holds a view.
//
//	view, err := query.ReplicateView.ViewFrom(held)
func (query *ReplicateViewQuery) ViewFrom(current *feed.View) (*feed.View, error) {
	if len(query.Changes) == 0 {
		return fullView(&query.View, query.PackedView)
	}
	view, err := feed.FoldAll(*current, query.Changes)
	return &view, err
}

// NewestViewQuery asks a store for the newest view it has synced. Packed tells that the asker
// reads packed views.
type NewestViewQuery struct {
	After  uint64 `capnp:"after"`
	Packed bool   `capnp:"packed"`
}

// NewestViewReply answers a NewestViewQuery; View is filled if it is newer than asked.
type NewestViewReply struct {
	Number uint64    `capnp:"number"`
	View   feed.View `capnp:"view"`
	// HeardControlQuorum tells that a control quorum of this fleet was heard lately.
	HeardControlQuorum bool   `capnp:"controlled"`
	PackedView         []byte `capnp:"packedView"`
}

// FullView gives the view that is newer than asked, or an empty one.
//
//	view, err := reply.NewestView.FullView()
func (reply *NewestViewReply) FullView() (*feed.View, error) {
	return fullView(&reply.View, reply.PackedView)
}

// ChangeQuery asks the control leader for a change of the feed. With Await it asks only
// that the view of this number, or a newer one, be held by a store majority.
type ChangeQuery struct {
	Change    feed.Change `capnp:"change"`
	AwaitView uint64      `capnp:"await"`
}

// ChangeReply tells a change's number and whether it is acknowledged.
type ChangeReply struct {
	Number       uint64 `capnp:"number"`
	Acknowledged bool   `capnp:"acknowledged"`
}

// MemberSessionBatch tells the sessions that a control node holds.
type MemberSessionBatch struct {
	From     string          `capnp:"from"`
	Sessions []MemberSession `capnp:"sessions"`
}

// MemberSession is one session and how long ago it was renewed.
type MemberSession struct {
	Member feed.Member   `capnp:"member"`
	Age    time.Duration `capnp:"age"`
}

// ControlSnapshot is the control group's snapshot. In the first version it has a View and
// whole Changes, since then a PackedView and a feed.History.
type ControlSnapshot struct {
	Version        uint32               `capnp:"version"`
	View           feed.View            `capnp:"view"`
	Changes        []feed.Change        `capnp:"changes"`
	PackedView     []byte               `capnp:"packedView"`
	EarlierConfigs []feed.EarlierConfig `capnp:"earlier"`
}
