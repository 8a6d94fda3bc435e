package wire

import (
	"time"

	"yardrock.example/system/sessionlog"
)

// CommandQuery asks a group's leader to commit commands.
type CommandQuery struct {
	Group    uint32
	Commands []sessionlog.Command
}

// CommandReply answers a CommandQuery. History is what a turn that began goes on from:
// the bytes of the chain of turns that it follows, oldest first.
type CommandReply struct {
	Outcomes []sessionlog.Outcome
	History  []byte
}

// FindTurnQuery asks a store whether a group that it leads knows a turn of a program.
type FindTurnQuery struct {
	Name string `capnp:"name"`
}

// FindTurnReply answers a FindTurnQuery for the groups that a quorum confirmed the store to
// lead. Chain is the turn found with all that it follows, oldest first; Open tells of
// a turn that has not ended.
type FindTurnReply struct {
	SearchedGroups []uint32                 `capnp:"covered"`
	Found          bool                     `capnp:"found"`
	Open           bool                     `capnp:"open"`
	Chain          []sessionlog.AdoptedTurn `capnp:"chain"`
}

// ReadQuery asks a group's leader for a line, or for a tally. With Wait it holds
// the answer until there is something after After.
type ReadQuery struct {
	Session    string
	After      uint64
	Limit      uint64
	Wait       time.Duration
	QuotaUsage bool
}

// ReadReply answers a ReadQuery. On the way Session loses its hot events,
// producers and open turns.
type ReadReply struct {
	Session  sessionlog.Session
	Events   []sessionlog.Event
	Spent    uint64
	Reserved uint64
	// Clock is the time of the line's group, by which keeping times and deadlines go.
	Clock int64
}

// SharedPrefixQuery asks a replica for its copy of an opening.
type SharedPrefixQuery struct {
	Group uint32 `capnp:"group"`
	Name  string `capnp:"name"`
}
