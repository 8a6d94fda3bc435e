// Package wire defines the messages between processes of a fleet and the records that they
// store, and converts both to and from Cap'n Proto. It holds no state; package link transports
// the messages, packages durablelog and archive store the records.
//
// A message is a Query or a Reply: an envelope with a union whose discriminant is Which. The
// types of each family of messages (status, sessions, archive, views, raft) are in one file;
// the hand-written codecs are in the files whose names end in _codec.
//
// Guarantees:
//   - Compatibility: the schema (package schema, wire.capnp) only ever gains fields and
//     union members. Its names and identifiers are those that earlier versions read and wrote;
//     where a Go name differs, the capnp tag has the schema's name. Stored records of every
//     earlier version can be decoded (testdata/stored).
//   - Bounds: a size declared in packed data is checked before memory is allocated for it
//     (maxPackedRatio, maxViewRatio), and the number of bytes that decoding one message may
//     traverse is limited (readLimit).
//   - Aliasing: decoded byte fields may alias the input, which must not be modified. Encoded
//     bytes never alias the value.
//
// The types of the hot path (Raft messages, commands, reads, archive chunks) have hand-written
// codecs that use the generated accessors. All others use the library's reflection (pogs),
// which finds fields by tag. Reflection reads the schema on every call, which costs more than
// all other work for a query (docs/measurements.md).
package wire

import (
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire/schema"
)

// Version is the newest query version that this program understands. A server rejects newer
// ones with apierror.FormatTooNew.
const Version = 1

// Query is a request of one process to another. Which selects the field that is set.
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
	RateLimit      *RateLimitQuery     `capnp:"rateLimit"`
	// Forwarded marks a query that its sender received from another process. It is not
	// forwarded again, which rules out forwarding loops.
	Forwarded bool `capnp:"forwarded"`
	// To is the name of the intended recipient. Another process that has taken over its
	// address rejects the query. "" addresses whichever process listens there.
	To string `capnp:"to"`
}

// MisdirectedReply returns the rejection of a query that is addressed to a process other than
// the named one, or nil if the named process is to answer it.
//
//	if rejection := query.MisdirectedReply(node.Name()); rejection != nil {
//		return rejection
//	}
func (query *Query) MisdirectedReply(name string) *Reply {
	if query.To == "" || query.To == name {
		return nil
	}
	return ErrorReply(apierror.New(apierror.Unavailable, "this is "+name+", but the query is addressed to "+query.To, "send the query to the current address of "+query.To+", if it is still running"))
}

// Reply is the response to a Query. Which selects the field that is set. If Failure has a
// Kind, the query failed and no other field is set.
type Reply struct {
	Failure      Failure `capnp:"failure"`
	Which        schema.Reply_Which
	Status       *StatusReply                   `capnp:"status"`
	Command      *CommandReply                  `capnp:"outcomes"`
	Read         *ReadReply                     `capnp:"read"`
	Follow       *FollowReply                   `capnp:"follow"`
	NewestView   *NewestViewReply               `capnp:"newest"`
	Change       *ChangeReply                   `capnp:"change"`
	Digests      *DigestReply                   `capnp:"digests"`
	Chunks       *ArchiveChunkBatch             `capnp:"chunks"`
	FoundTurn    *FindTurnReply                 `capnp:"found"`
	SharedPrefix *sessionlog.SharedPrefixRecord `capnp:"opening"`
	RateLimit    *RateLimitReply                `capnp:"rateLimit"`
}

// Failure is the wire form of an apierror.Error; an empty Kind means no error. What the sender
// knows about the connection (NeverSent and others) is not transmitted.
type Failure struct {
	Kind       string        `capnp:"kind"`
	Message    string        `capnp:"message"`
	Remedy     string        `capnp:"remedy"`
	Leader     string        `capnp:"leader"`
	RetryAfter time.Duration `capnp:"retryAfter"`
}

// ErrorReply returns a reply that carries an error; an untyped error is sent as
// apierror.Unavailable.
//
//	return wire.ErrorReply(err)
func ErrorReply(err error) *Reply {
	typed := apierror.Of(err)
	return &Reply{Failure: Failure{Kind: string(typed.Kind), Message: typed.Message, Remedy: typed.Remedy, Leader: typed.Leader, RetryAfter: typed.RetryAfter}}
}

// Err returns the error that a reply carries, as an *apierror.Error, or nil.
//
//	if err := reply.Err(); err != nil { return err }
func (reply *Reply) Err() error {
	if reply.Failure.Kind == "" {
		return nil
	}
	return &apierror.Error{Kind: apierror.Kind(reply.Failure.Kind), Message: reply.Failure.Message, Remedy: reply.Failure.Remedy, Leader: reply.Failure.Leader, RetryAfter: reply.Failure.RetryAfter}
}
