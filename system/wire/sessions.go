package wire

import (
	"time"

	"yardrock.example/system/sessionlog"
)

// CommandQuery requests that the leader of a group commit commands, in order.
type CommandQuery struct {
	Group    uint32
	Commands []sessionlog.Command
}

// CommandReply is the response to a CommandQuery, with one result per command. If a turn
// began, History has the content of the turns that it follows, oldest first.
type CommandReply struct {
	Results []sessionlog.Result
	History []byte
}

// FindTurnQuery requests a turn from a store, which searches all groups that it leads.
//
// Scope restricts the search to the sessions that belong to it (sessionlog.InScope).
type FindTurnQuery struct {
	Scope string `capnp:"scope"`
	Name  string `capnp:"name"`
}

// FindTurnReply is the response to a FindTurnQuery. It covers only SearchedGroups, the groups
// whose quorum confirmed the store as leader. Chain has the turn and all turns that it follows,
// oldest first; Open is set if the turn has not ended.
type FindTurnReply struct {
	SearchedGroups []uint32                 `capnp:"covered"`
	Found          bool                     `capnp:"found"`
	Open           bool                     `capnp:"open"`
	Chain          []sessionlog.AdoptedTurn `capnp:"chain"`
}

// ReadQuery requests, from the leader of a session's group, the events after a sequence number,
// at most Limit of them (0: as many as the store returns). Wait is the longest time that the
// reply is delayed until there is such an event. With QuotaUsage, Session is the name of a quota
// and its usage is read instead.
type ReadQuery struct {
	Session    string
	After      uint64
	Limit      uint64
	Wait       time.Duration
	QuotaUsage bool
}

// ReadReply is the response to a ReadQuery. Session is sent without its unarchived events,
// producers and open turns. Spent and Reserved are the usage of a quota, in its unit.
type ReadReply struct {
	Session  sessionlog.Session
	Events   []sessionlog.Event
	Spent    uint64
	Reserved uint64
	// Clock is the time of the session's group in Unix nanoseconds, against which retention and
	// deadlines are checked.
	Clock int64
}

// SharedPrefixQuery requests the content of a shared prefix from a replica of a group.
type SharedPrefixQuery struct {
	Group uint32 `capnp:"group"`
	Name  string `capnp:"name"`
}
