package wire

import (
	"time"

	"yardrock.example/system/sessionlog"
)

// CommandQuery asks the leader of a group to commit commands, in order.
type CommandQuery struct {
	Group    uint32
	Commands []sessionlog.Command
}

// CommandReply answers a CommandQuery with an outcome for each command. If a turn began,
// History has the bytes of the turns that it follows, oldest first.
type CommandReply struct {
	Outcomes []sessionlog.Result
	History  []byte
}

// FindTurnQuery asks a store for a turn, in whichever of the groups that it leads it is.
type FindTurnQuery struct {
	Name string `capnp:"name"`
}

// FindTurnReply answers a FindTurnQuery. SearchedGroups are the groups whose quorum confirmed
// the store as leader; about others it says nothing. Chain is the turn with all that it
// follows, oldest first; Open is set for a turn that has not ended.
type FindTurnReply struct {
	SearchedGroups []uint32                 `capnp:"covered"`
	Found          bool                     `capnp:"found"`
	Open           bool                     `capnp:"open"`
	Chain          []sessionlog.AdoptedTurn `capnp:"chain"`
}

// ReadQuery asks the leader of a session's group for the events after a sequence number, at
// most Limit of them (0: as many as the store gives). With Wait the reply is delayed, at most
// that long, until there is such an event. With QuotaUsage, Session is the name of a quota,
// and its usage is read.
type ReadQuery struct {
	Session    string
	After      uint64
	Limit      uint64
	Wait       time.Duration
	QuotaUsage bool
}

// ReadReply answers a ReadQuery. Session travels without its unarchived events, producers and
// open turns; Spent and Reserved are a quota's usage, in its unit.
type ReadReply struct {
	Session  sessionlog.Session
	Events   []sessionlog.Event
	Spent    uint64
	Reserved uint64
	// Clock is the time of the session's group in Unix nanoseconds, by which retention and
	// deadlines are judged.
	Clock int64
}

// SharedPrefixQuery asks a replica of a group for the content of a shared prefix.
type SharedPrefixQuery struct {
	Group uint32 `capnp:"group"`
	Name  string `capnp:"name"`
}
