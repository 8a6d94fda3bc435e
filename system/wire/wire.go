// Package wire holds what yardrock processes say to each other, and turns it and
// what the disk keeps into Cap'n Proto and back.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"capnproto.org/go/capnp/v3"
	"capnproto.org/go/capnp/v3/packed"
	"capnproto.org/go/capnp/v3/pogs"
	"capnproto.org/go/capnp/v3/schemas"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/raft"
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

// RaftBatch carries messages of many groups, all of one node to one other.
type RaftBatch struct{ Messages []raft.Message }

// StoredWrite is an agreement write as the disk keeps it.
type StoredWrite struct {
	HardState   raft.HardState
	Entries     []raft.Entry
	HasSnapshot bool
	Snapshot    raft.Snapshot
	// SnapshotDataSeparate tells that the checkpoint's content is stored beside this.
	SnapshotDataSeparate bool
}

// StatusQuery asks a process who it is, and, if Traffic is set, what it said so far.
type StatusQuery struct {
	Address string `capnp:"address"`
	Traffic bool   `capnp:"traffic"`
	// SharedPrefixes asks for the openings that the groups led there hold.
	SharedPrefixes bool `capnp:"openings"`
}

// TrafficByKind counts the queries of one kind that a process asked and answered since
// it started, and the bytes of their messages, queries and replies, both ways.
type TrafficByKind struct {
	Kind            string `capnp:"kind"`
	QueriesSent     uint64 `capnp:"asked"`
	QueriesReceived uint64 `capnp:"answered"`
	BytesOut        uint64 `capnp:"bytesOut"`
	BytesIn         uint64 `capnp:"bytesIn"`
}

// StatusReply tells who a process is.
type StatusReply struct {
	Name          string          `capnp:"name"`
	Role          string          `capnp:"role"`
	Address       string          `capnp:"address"`
	Domain        string          `capnp:"domain"`
	Uninitialized bool            `capnp:"empty"`
	Fleet         string          `capnp:"fleet"`
	ViewNumber    uint64          `capnp:"number"`
	Leader        string          `capnp:"leader"`
	Controls      []feed.Member   `capnp:"controls"`
	Founding      []string        `capnp:"founding"`
	Groups        []GroupStatus   `capnp:"groups"`
	RunnerLoads   []RunnerLoad    `capnp:"demand"`
	Queued        uint32          `capnp:"waiting"`
	Traffic       []TrafficByKind `capnp:"traffic"`
}

// RunnerLoad is what a front has out to a runner, and whether it takes the runner
// for just started.
type RunnerLoad struct {
	Address   string `capnp:"address"`
	InFlight  uint32 `capnp:"out"`
	WarmingUp bool   `capnp:"cooled"`
}

// GroupStatus is a replica's word on one group; only a leader's counts.
type GroupStatus struct {
	Group          uint32               `capnp:"group"`
	Leading        bool                 `capnp:"leading"`
	Voters         []string             `capnp:"voters"`
	Learners       []string             `capnp:"learners"`
	SharedPrefixes []SharedPrefixStatus `capnp:"openings"`
}

// SharedPrefixStatus tells of an opening that a group holds once for many lines; Size is in
// bytes. It never carries its content.
type SharedPrefixStatus struct {
	Name       string `capnp:"name"`
	Scope      string `capnp:"scope"`
	Size       uint64 `capnp:"size"`
	References uint64 `capnp:"lines"`
	Corrupt    bool   `capnp:"damaged"`
}

// SharedPrefixQuery asks a replica for its copy of an opening.
type SharedPrefixQuery struct {
	Group uint32 `capnp:"group"`
	Name  string `capnp:"name"`
}

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

// ArchiveChunk is a run of archived events of one line.
type ArchiveChunk struct {
	Group     uint32             `capnp:"group"`
	Session   string             `capnp:"line"`
	First     uint64             `capnp:"first"`
	Last      uint64             `capnp:"last"`
	ExpiresAt int64              `capnp:"expires"`
	Events    []sessionlog.Event `capnp:"events"`
}

// ArchiveChunkBatch carries chunks.
type ArchiveChunkBatch struct {
	Chunks []ArchiveChunk `capnp:"chunks"`
}

// ChunkLocation says where in a cold file a chunk is.
type ChunkLocation struct {
	Group     uint32
	Session   string
	First     uint64
	Last      uint64
	ExpiresAt int64
	Offset    uint64
	Length    uint32
	Checksum  uint32
	Digest    []byte
}

// ArchiveIndex lists the chunks of one cold file.
type ArchiveIndex struct{ Locations []ChunkLocation }

// DigestQuery asks a store for the sums of a group's cold lines, one a bucket; with
// buckets named, for the digests of the ranges in these.
type DigestQuery struct {
	Group   uint32   `capnp:"group"`
	Buckets []uint32 `capnp:"buckets"`
}

// RangeDigest is the digest of one cold range.
type RangeDigest struct {
	Session string `capnp:"line"`
	First   uint64 `capnp:"first"`
	Last    uint64 `capnp:"last"`
	Digest  []byte `capnp:"digest"`
}

// DigestReply answers a DigestQuery.
type DigestReply struct {
	Ranges        []RangeDigest `capnp:"ranges"`
	BucketDigests []uint64      `capnp:"sums"`
}

// ReadArchiveQuery asks a store for its own cold events of a line.
type ReadArchiveQuery struct {
	Session string `capnp:"line"`
	After   uint64 `capnp:"after"`
	Through uint64 `capnp:"through"`
}

// RunnerWarmUpNote tells the other fronts that a runner looks just started, or that it
// has answered again since.
type RunnerWarmUpNote struct {
	Address   string `capnp:"address"`
	WarmingUp bool   `capnp:"cooled"`
}

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

// ControlSnapshot is the control group's snapshot. In the first version it has a View and
// whole Changes, since then a PackedView and a feed.History.
type ControlSnapshot struct {
	Version        uint32               `capnp:"version"`
	View           feed.View            `capnp:"view"`
	Changes        []feed.Change        `capnp:"changes"`
	PackedView     []byte               `capnp:"packedView"`
	EarlierConfigs []feed.EarlierConfig `capnp:"earlier"`
}

// newRoot adapts a generated constructor of a root struct.
func newRoot[Struct ~capnp.StructKind](make func(*capnp.Segment) (Struct, error)) func(*capnp.Segment) (capnp.Struct, error) {
	return func(segment *capnp.Segment) (capnp.Struct, error) {
		made, err := make(segment)
		return capnp.Struct(made), err
	}
}

var rootConstructors = map[uint64]func(*capnp.Segment) (capnp.Struct, error){
	schema.Command_TypeID:        newRoot(schema.NewRootCommand),
	schema.StoredWrite_TypeID:    newRoot(schema.NewRootStoredWrite),
	schema.LineImage_TypeID:      newRoot(schema.NewRootLineImage),
	schema.ControlImage_TypeID:   newRoot(schema.NewRootControlImage),
	schema.View_TypeID:           newRoot(schema.NewRootView),
	schema.Change_TypeID:         newRoot(schema.NewRootChange),
	schema.ColdChunkBatch_TypeID: newRoot(schema.NewRootColdChunkBatch),
	schema.ColdIndex_TypeID:      newRoot(schema.NewRootColdIndex),
}

// Encode turns a value into Cap'n Proto bytes under one of the schema's types.
//
//	data, err := wire.Encode(schema.Command_TypeID, &command)
func Encode(typeID uint64, value any) ([]byte, error) {
	root, known := rootConstructors[typeID]
	if !known {
		return nil, fmt.Errorf("type %x is never stored by itself", typeID)
	}
	encode, isHot := storedEncoders[typeID]
	if !isHot {
		encode = func(target capnp.Struct, value any) error { return pogs.Insert(typeID, target, value) }
	}
	return appendMessage(nil, root, func(made capnp.Struct) error { return encode(made, value) })
}

// Decode fills value from Cap'n Proto bytes.
//
//	err := wire.Decode(schema.Command_TypeID, data, &command)
func Decode(typeID uint64, data []byte, value any) error {
	root, err := readRoot(data)
	if err != nil {
		return err
	}
	if decode, isHot := storedDecoders[typeID]; isHot {
		return decode(root, value)
	}
	return pogs.Extract(value, typeID, root)
}

// readRoot gives the root of a message; it points into the data.
func readRoot(data []byte) (capnp.Struct, error) {
	message, err := capnp.Unmarshal(data)
	if err != nil {
		return capnp.Struct{}, err
	}
	message.ResetReadLimit(readLimit)
	root, err := message.Root()
	return root.Struct(), err
}

// Between processes a message that is not long is packed, as what it says is mostly
// zeros. A packed message begins with packedMarker, where one that is not has the count
// of its further segments, of which there are none.
const (
	packedMarker     = 1
	maxPackedMessage = 64 << 10
	segmentTableSize = 8
	maxPackedRatio   = 1024 // how many times its packed length a message may have, at most
)

// packMessage packs the message at the end of bytes, which begins at a position.
func packMessage(target []byte, start int) []byte {
	message := target[start:]
	if len(message) <= segmentTableSize || len(message) > maxPackedMessage {
		return target
	}
	packedMessage := packed.Pack(make([]byte, 0, len(message)+len(message)/64+segmentTableSize), message[segmentTableSize:])
	if len(packedMessage) >= len(message)-segmentTableSize {
		return target
	}
	binary.LittleEndian.PutUint32(message, packedMarker)
	return append(target[:start+segmentTableSize], packedMessage...)
}

// unpackMessage gives a message as it was before it was packed.
func unpackMessage(data []byte) ([]byte, error) {
	if len(data) < segmentTableSize || binary.LittleEndian.Uint32(data) != packedMarker {
		return data, nil
	}
	size := uint64(binary.LittleEndian.Uint32(data[4:])) * 8
	if size > maxPackedRatio*uint64(len(data)) || size > maxPackedMessage {
		return nil, errors.New("a packed message tells a wrong length")
	}
	plain := make([]byte, segmentTableSize, segmentTableSize+int(size))
	copy(plain[4:], data[4:segmentTableSize])
	plain, err := packed.Unpack(plain, data[segmentTableSize:])
	if err != nil {
		return nil, err
	}
	if len(plain) != segmentTableSize+int(size) {
		return nil, errors.New("a packed message has another length than it tells")
	}
	return plain, nil
}

// appendMessage appends a message of one segment, whose root a function fills, to
// bytes. The message's own memory is used again.
func appendMessage(target []byte, root func(*capnp.Segment) (capnp.Struct, error), encode func(capnp.Struct) error) ([]byte, error) {
	message, segment, err := capnp.NewMessage(capnp.SingleSegment(nil))
	if err != nil {
		return nil, err
	}
	defer message.Release()
	made, err := root(segment)
	if err != nil {
		return nil, err
	}
	if err := encode(made); err != nil {
		return nil, err
	}
	data := segment.Data()
	target = binary.LittleEndian.AppendUint32(target, 0) // one segment
	target = binary.LittleEndian.AppendUint32(target, uint32(len(data)/8))
	return append(target, data...), nil
}

const readLimit = 1 << 30

func init() { schema.RegisterSchema(schemas.DefaultRegistry) }

// MustEncode is Encode for values that this program itself made.
//
//	data := wire.MustEncode(schema.View_TypeID, &view)
func MustEncode(typeID uint64, value any) []byte {
	data, err := Encode(typeID, value)
	if err != nil {
		panic(fmt.Sprintf("encode %x: %v", typeID, err))
	}
	return data
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
