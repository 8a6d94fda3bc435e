// Package wire holds what yardrock processes say to each other, and turns it and
// what the disk keeps into Cap'n Proto and back.
package wire

import (
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire/schema"
)

// Version is the newest form of query that this program understands.
const Version = 1

// Query is what one process asks another. Which tells the filled field.
type Query struct {
	Version        uint32 `capnp:"version"`
	Fleet          string `capnp:"fleet"`
	Which          schema.Query_Which
	Status         *StatusQuery        `capnp:"status"`
	Raft           *RaftBatch          `capnp:"agreement"`
	Command        *CommandQuery       `capnp:"command"`
	Read           *ReadQuery          `capnp:"read"`
	Follow         *FollowQuery        `capnp:"follow"`
	ReplicateView  *ReplicateViewQuery `capnp:"hold"`
	NewestView     *NewestViewQuery    `capnp:"newest"`
	MemberSessions *MemberSessionBatch `capnp:"sessions"`
	PutArchive     *ArchiveChunkBatch  `capnp:"putCold"`
	Change         *ChangeQuery        `capnp:"change"`
	Digests        *DigestQuery        `capnp:"digests"`
	ReadArchive    *ReadArchiveQuery   `capnp:"getCold"`
	RunnerWarmUp   *RunnerWarmUpNote   `capnp:"runner"`
	FindTurn       *FindTurnQuery      `capnp:"find"`
	SharedPrefix   *SharedPrefixQuery  `capnp:"opening"`
	// Forwarded tells that a process passes on what it was asked itself; it is not passed
	// on again.
	Forwarded bool `capnp:"forwarded"`
	// To is the name of the process that is meant; another one that listens at its address
	// refuses. "" means whoever listens there.
	To string `capnp:"to"`
}

// MisdirectedReply gives the refusal of a query that is meant for another process, or nil.
//
//	if refusal := query.MisdirectedReply(node.Name()); refusal != nil {
//		return refusal
//	}
func (query *Query) MisdirectedReply(name string) *Reply {
	if query.To == "" || query.To == name {
		return nil
	}
	return ErrorReply(apierror.New(apierror.Unavailable, "this is "+name+", and the query is meant for "+query.To, "ask the address that "+query.To+" has now, if it still runs"))
}

// Reply answers a Query; a Error with a Kind says that it failed.
type Reply struct {
	Failure      Failure `capnp:"failure"`
	Which        schema.Reply_Which
	Status       *StatusReply                   `capnp:"status"`
	Outcomes     *CommandReply                  `capnp:"outcomes"`
	Read         *ReadReply                     `capnp:"read"`
	Follow       *FollowReply                   `capnp:"follow"`
	NewestView   *NewestViewReply               `capnp:"newest"`
	Change       *ChangeReply                   `capnp:"change"`
	Digests      *DigestReply                   `capnp:"digests"`
	Chunks       *ArchiveChunkBatch             `capnp:"chunks"`
	FoundTurn    *FindTurnReply                 `capnp:"found"`
	SharedPrefix *sessionlog.SharedPrefixRecord `capnp:"opening"`
}

// Failure is a typed failure on its way.
type Failure struct {
	Kind       string        `capnp:"kind"`
	Message    string        `capnp:"message"`
	Remedy     string        `capnp:"remedy"`
	Leader     string        `capnp:"leader"`
	RetryAfter time.Duration `capnp:"retryAfter"`
}

// ErrorReply makes the reply that carries an error.
//
//	return wire.ErrorReply(err)
func ErrorReply(err error) *Reply {
	typed := apierror.Of(err)
	return &Reply{Failure: Failure{Kind: string(typed.Kind), Message: typed.Message, Remedy: typed.Remedy, Leader: typed.Leader, RetryAfter: typed.RetryAfter}}
}

// Err gives the error that a reply carries, if any.
//
//	if err := reply.Err(); err != nil { return err }
func (reply *Reply) Err() error {
	if reply.Failure.Kind == "" {
		return nil
	}
	return &apierror.Error{Kind: apierror.Kind(reply.Failure.Kind), Message: reply.Failure.Message, Remedy: reply.Failure.Remedy, Leader: reply.Failure.Leader, RetryAfter: reply.Failure.RetryAfter}
}
