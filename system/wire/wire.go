// Package wire defines the messages between processes of a fleet and the records that they
// store, and converts both to Cap'n Proto and back. It owns no state; package link carries
// the messages, packages durablelog and archive store the records.
//
// A message is a Query or a Reply: an envelope with a union, of which Which names the filled
// field. Types stand in a file for each family of messages (status, sessions, archive,
// views, raft), their codecs in the file of that name with _codec.
//
// Guarantees:
//   - Compatibility: the schema (package schema, wire.capnp) only ever gains fields and
//     union members. Its names and identifiers are what earlier versions read and wrote; where
//     a Go name differs, the capnp tag has the schema's. Stored records of every earlier
//     version can be read (testdata/stored).
//   - Bounds: no memory is allocated for a size that packed data states before the size is
//     checked (maxPackedRatio, maxViewRatio); what one message may make its reader traverse
//     is bounded (readLimit).
//   - Aliasing: byte fields that were read may point into the data read, which must not be
//     changed. Bytes that were written refer to no value.
//
// Types of the ordinary path (Raft messages, commands, reads, archive chunks) are coded by
// hand with the generated accessors; all others go through the library's reflection (pogs),
// which finds fields by tag. Reflection reads the schema anew at each call, and cost more
// than the rest of a query together (docs/measurements.md).
package wire

import (
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire/schema"
)

// Version is the newest form of query that this program understands. A server rejects newer
// ones with apierror.FormatTooNew.
const Version = 1

// Query is one call of a process to another. Which names the field that is filled.
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
	// Forwarded marks a query that its sender received from another process. It is not
	// forwarded again, so it cannot go in circles.
	Forwarded bool `capnp:"forwarded"`
	// To is the name of the process that is meant. Another one, which has its address now,
	// rejects the query. "" is whichever process listens there.
	To string `capnp:"to"`
}

// MisdirectedReply gives the rejection of a query that is meant for another process than the
// named one, or nil if it is meant for that one.
//
//	if rejection := query.MisdirectedReply(node.Name()); rejection != nil {
//		return rejection
//	}
func (query *Query) MisdirectedReply(name string) *Reply {
	if query.To == "" || query.To == name {
		return nil
	}
	return ErrorReply(apierror.New(apierror.Unavailable, "this is "+name+", and the query is meant for "+query.To, "ask the address that "+query.To+" has now, if it still runs"))
}

// Reply answers a Query. Which names the field that is filled; a Failure with a Kind says
// that the query failed, and then no field is.
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

// Failure is an apierror.Error as it travels; an empty Kind is none. What the sender knows
// about the connection (NeverSent and others) does not travel.
type Failure struct {
	Kind       string        `capnp:"kind"`
	Message    string        `capnp:"message"`
	Remedy     string        `capnp:"remedy"`
	Leader     string        `capnp:"leader"`
	RetryAfter time.Duration `capnp:"retryAfter"`
}

// ErrorReply gives the reply that carries an error; an untyped one travels as
// apierror.Unavailable.
//
//	return wire.ErrorReply(err)
func ErrorReply(err error) *Reply {
	typed := apierror.Of(err)
	return &Reply{Failure: Failure{Kind: string(typed.Kind), Message: typed.Message, Remedy: typed.Remedy, Leader: typed.Leader, RetryAfter: typed.RetryAfter}}
}

// Err gives the error that a reply carries, as an *apierror.Error, or nil.
//
//	if err := reply.Err(); err != nil { return err }
func (reply *Reply) Err() error {
	if reply.Failure.Kind == "" {
		return nil
	}
	return &apierror.Error{Kind: apierror.Kind(reply.Failure.Kind), Message: reply.Failure.Message, Remedy: reply.Failure.Remedy, Leader: reply.Failure.Leader, RetryAfter: reply.Failure.RetryAfter}
}
