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

	"yardrock.example/system/agreement"
	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/line"
	"yardrock.example/system/wire/schema"
)

// Version is the newest form of query that this program understands.
const Version = 1

// Query is what one process asks another. Which tells the filled field.
type Query struct {
	Version   uint32 `capnp:"version"`
	Fleet     string `capnp:"fleet"`
	Which     schema.Query_Which
	Status    *StatusQuery    `capnp:"status"`
	Agreement *AgreementBatch `capnp:"agreement"`
	Command   *CommandQuery   `capnp:"command"`
	Read      *ReadQuery      `capnp:"read"`
	Follow    *FollowQuery    `capnp:"follow"`
	Hold      *HoldQuery      `capnp:"hold"`
	Newest    *NewestQuery    `capnp:"newest"`
	Sessions  *SessionBatch   `capnp:"sessions"`
	PutCold   *ColdChunkBatch `capnp:"putCold"`
	Change    *ChangeQuery    `capnp:"change"`
	Digests   *DigestQuery    `capnp:"digests"`
	GetCold   *GetColdQuery   `capnp:"getCold"`
	Runner    *RunnerNote     `capnp:"runner"`
	Find      *FindQuery      `capnp:"find"`
	Opening   *OpeningQuery   `capnp:"opening"`
	// Forwarded tells that a process passes on what it was asked itself; it is not passed
	// on again.
	Forwarded bool `capnp:"forwarded"`
	// To is the name of the process that is meant; another one that listens at its address
	// refuses. "" means whoever listens there.
	To string `capnp:"to"`
}

// Misaddressed gives the refusal of a query that is meant for another process, or nil.
//
//	if refusal := query.Misaddressed(node.Name()); refusal != nil {
//		return refusal
//	}
func (query *Query) Misaddressed(name string) *Reply {
	if query.To == "" || query.To == name {
		return nil
	}
	return Failed(apierror.New(apierror.Unavailable, "this is "+name+", and the query is meant for "+query.To, "ask the address that "+query.To+" has now, if it still runs"))
}

// Reply answers a Query; a Error with a Kind says that it failed.
type Reply struct {
	Failure  Failure `capnp:"failure"`
	Which    schema.Reply_Which
	Status   *StatusReply             `capnp:"status"`
	Outcomes *OutcomeList             `capnp:"outcomes"`
	Read     *ReadReply               `capnp:"read"`
	Follow   *FollowReply             `capnp:"follow"`
	Newest   *NewestReply             `capnp:"newest"`
	Change   *ChangeReply             `capnp:"change"`
	Digests  *DigestReply             `capnp:"digests"`
	Chunks   *ColdChunkBatch          `capnp:"chunks"`
	Found    *FindReply               `capnp:"found"`
	Opening  *line.SharedPrefixRecord `capnp:"opening"`
}

// Failure is a typed failure on its way.
type Failure struct {
	Kind       string        `capnp:"kind"`
	Message    string        `capnp:"message"`
	Remedy     string        `capnp:"remedy"`
	Leader     string        `capnp:"leader"`
	RetryAfter time.Duration `capnp:"retryAfter"`
}

// AgreementBatch carries messages of many groups, all of one node to one other.
type AgreementBatch struct{ Messages []agreement.Message }

// StoredWrite is an agreement write as the disk keeps it.
type StoredWrite struct {
	State      agreement.HardState
	Entries    []agreement.Entry
	Pointed    bool
	Checkpoint agreement.Snapshot
	// ContentApart tells that the checkpoint's content is stored beside this.
	ContentApart bool
}

// StatusQuery asks a process who it is, and, if Traffic is set, what it said so far.
type StatusQuery struct {
	Address string `capnp:"address"`
	Traffic bool   `capnp:"traffic"`
	// Openings asks for the openings that the groups led there hold.
	Openings bool `capnp:"openings"`
}

// KindTraffic counts the queries of one kind that a process asked and answered since
// it started, and the bytes of their messages, queries and replies, both ways.
type KindTraffic struct {
	Kind     string `capnp:"kind"`
	Asked    uint64 `capnp:"asked"`
	Answered uint64 `capnp:"answered"`
	BytesOut uint64 `capnp:"bytesOut"`
	BytesIn  uint64 `capnp:"bytesIn"`
}

// StatusReply tells who a process is.
type StatusReply struct {
	Name     string         `capnp:"name"`
	Role     string         `capnp:"role"`
	Address  string         `capnp:"address"`
	Domain   string         `capnp:"domain"`
	Empty    bool           `capnp:"empty"`
	Fleet    string         `capnp:"fleet"`
	Number   uint64         `capnp:"number"`
	Leader   string         `capnp:"leader"`
	Controls []feed.Member  `capnp:"controls"`
	Founding []string       `capnp:"founding"`
	Groups   []GroupStatus  `capnp:"groups"`
	Demand   []RunnerDemand `capnp:"demand"`
	Waiting  uint32         `capnp:"waiting"`
	Traffic  []KindTraffic  `capnp:"traffic"`
}

// RunnerDemand is what a front has out to a runner, and whether it takes the runner
// for just started.
type RunnerDemand struct {
	Address string `capnp:"address"`
	Out     uint32 `capnp:"out"`
	Cooled  bool   `capnp:"cooled"`
}

// GroupStatus is a replica's word on one group; only a leader's counts.
type GroupStatus struct {
	Group    uint32          `capnp:"group"`
	Leading  bool            `capnp:"leading"`
	Voters   []string        `capnp:"voters"`
	Learners []string        `capnp:"learners"`
	Openings []OpeningStatus `capnp:"openings"`
}

// OpeningStatus tells of an opening that a group holds once for many lines; Size is in
// bytes. It never carries its content.
type OpeningStatus struct {
	Name    string `capnp:"name"`
	Scope   string `capnp:"scope"`
	Size    uint64 `capnp:"size"`
	Lines   uint64 `capnp:"lines"`
	Damaged bool   `capnp:"damaged"`
}

// OpeningQuery asks a replica for its copy of an opening.
type OpeningQuery struct {
	Group uint32 `capnp:"group"`
	Name  string `capnp:"name"`
}

// CommandQuery asks a group's leader to commit commands.
type CommandQuery struct {
	Group    uint32
	Commands []line.Command
}

// OutcomeList answers a CommandQuery. History is what a turn that began goes on from:
// the bytes of the chain of turns that it follows, oldest first.
type OutcomeList struct {
	Outcomes []line.Outcome
	History  []byte
}

// FindQuery asks a store whether a group that it leads knows a turn of a program.
type FindQuery struct {
	Name string `capnp:"name"`
}

// FindReply answers a FindQuery for the groups that a quorum confirmed the store to
// lead. Chain is the turn found with all that it follows, oldest first; Open tells of
// a turn that has not ended.
type FindReply struct {
	Covered []uint32           `capnp:"covered"`
	Found   bool               `capnp:"found"`
	Open    bool               `capnp:"open"`
	Chain   []line.AdoptedTurn `capnp:"chain"`
}

// ReadQuery asks a group's leader for a line, or for a tally. With Wait it holds
// the answer until there is something after After.
type ReadQuery struct {
	Line  string
	After uint64
	Limit uint64
	Wait  time.Duration
	Tally bool
}

// ReadReply answers a ReadQuery. On the way Session loses its hot events,
// producers and open turns.
type ReadReply struct {
	Session  line.Session
	Events   []line.Event
	Spent    uint64
	Reserved uint64
	// Clock is the time of the line's group, by which keeping times and deadlines go.
	Clock int64
}

// ColdChunk is a run of archived events of one line.
type ColdChunk struct {
	Group   uint32
	Line    string
	First   uint64
	Last    uint64
	Expires int64
	Events  []line.Event
}

// ColdChunkBatch carries chunks.
type ColdChunkBatch struct{ Chunks []ColdChunk }

// ColdPlace says where in a cold file a chunk is.
type ColdPlace struct {
	Group    uint32
	Line     string
	First    uint64
	Last     uint64
	Expires  int64
	Offset   uint64
	Length   uint32
	Checksum uint32
	Digest   []byte
}

// ColdIndex lists the chunks of one cold file.
type ColdIndex struct{ Places []ColdPlace }

// DigestQuery asks a store for the sums of a group's cold lines, one a bucket; with
// buckets named, for the digests of the ranges in these.
type DigestQuery struct {
	Group   uint32   `capnp:"group"`
	Buckets []uint32 `capnp:"buckets"`
}

// RangeDigest is the digest of one cold range.
type RangeDigest struct {
	Line   string `capnp:"line"`
	First  uint64 `capnp:"first"`
	Last   uint64 `capnp:"last"`
	Digest []byte `capnp:"digest"`
}

// DigestReply answers a DigestQuery.
type DigestReply struct {
	Ranges []RangeDigest `capnp:"ranges"`
	Sums   []uint64      `capnp:"sums"`
}

// GetColdQuery asks a store for its own cold events of a line.
type GetColdQuery struct {
	Line    string `capnp:"line"`
	After   uint64 `capnp:"after"`
	Through uint64 `capnp:"through"`
}

// RunnerNote tells the other fronts that a runner looks just started, or that it
// has answered again since.
type RunnerNote struct {
	Address string `capnp:"address"`
	Cooled  bool   `capnp:"cooled"`
}

// FollowQuery renews a node's session and asks for changes after a number. The
// answer counts as confirmed by a control quorum. With Wait it is held so long while
// nothing changes. Known is the digest of the members that the asker knows.
type FollowQuery struct {
	Member      feed.Member   `capnp:"member"`
	After       uint64        `capnp:"after"`
	SessionOnly bool          `capnp:"sessionOnly"`
	Wait        time.Duration `capnp:"wait"`
	Known       uint64        `capnp:"known"`
	// Packed tells that the asker reads packed views and config differences.
	Packed bool `capnp:"packed"`
}

// FollowReply answers a FollowQuery. Held is how long after the query came the
// confirmation began, at least. Members are told if they are not those of Known.
// RosterAge is how long before the query came the leader read the runner list whose
// content is in force at Newest; it is negative if the list was read later than that, and
// means nothing without RosterRead.
type FollowReply struct {
	Newest  uint64        `capnp:"newest"`
	Reset   bool          `capnp:"reset"`
	View    feed.View     `capnp:"view"`
	Changes []feed.Change `capnp:"changes"`
	Members []feed.Member `capnp:"members"`
	Held    time.Duration `capnp:"held"`
	Known   uint64        `capnp:"known"`

	RosterRead bool          `capnp:"rosterRead"`
	RosterAge  time.Duration `capnp:"rosterAge"`
	// PackedView is the View, packed; the same bytes go to all who ask.
	PackedView []byte `capnp:"packedView"`
}

// Whole gives the view that an answer brings in place of changes.
//
//	view, err := reply.Follow.Whole()
func (reply *FollowReply) Whole() (*feed.View, error) {
	return wholeView(&reply.View, reply.PackedView)
}

func wholeView(view *feed.View, packed []byte) (*feed.View, error) {
	if len(packed) > 0 {
		return UnpackView(packed)
	}
	return view, nil
}

// HoldQuery gives a store a view to sync: whole, or as the Changes that follow on what it
// holds.
type HoldQuery struct {
	View       feed.View     `capnp:"view"`
	PackedView []byte        `capnp:"packedView"`
	Changes    []feed.Change `capnp:"changes"`
}

// From gives the view to hold, to one who holds a view.
//
//	view, err := query.Hold.From(held)
func (query *HoldQuery) From(held *feed.View) (*feed.View, error) {
	if len(query.Changes) == 0 {
		return wholeView(&query.View, query.PackedView)
	}
	view, err := feed.FoldAll(*held, query.Changes)
	return &view, err
}

// NewestQuery asks a store for the newest view it has synced. Packed tells that the asker
// reads packed views.
type NewestQuery struct {
	After  uint64 `capnp:"after"`
	Packed bool   `capnp:"packed"`
}

// NewestReply answers a NewestQuery; View is filled if it is newer than asked.
type NewestReply struct {
	Number uint64    `capnp:"number"`
	View   feed.View `capnp:"view"`
	// Controlled tells that a control quorum of this fleet was heard lately.
	Controlled bool   `capnp:"controlled"`
	PackedView []byte `capnp:"packedView"`
}

// Whole gives the view that is newer than asked, or an empty one.
//
//	view, err := reply.Newest.Whole()
func (reply *NewestReply) Whole() (*feed.View, error) {
	return wholeView(&reply.View, reply.PackedView)
}

// SessionBatch tells the sessions that a control node holds.
type SessionBatch struct {
	From     string        `capnp:"from"`
	Sessions []SessionNote `capnp:"sessions"`
}

// SessionNote is one session and how long ago it was renewed.
type SessionNote struct {
	Member feed.Member   `capnp:"member"`
	Age    time.Duration `capnp:"age"`
}

// ChangeQuery asks the control leader for a change of the feed. With Await it asks only
// that the view of this number, or a newer one, be held by a store majority.
type ChangeQuery struct {
	Change feed.Change `capnp:"change"`
	Await  uint64      `capnp:"await"`
}

// ChangeReply tells a change's number and whether it is acknowledged.
type ChangeReply struct {
	Number       uint64 `capnp:"number"`
	Acknowledged bool   `capnp:"acknowledged"`
}

// ControlImage is the control group's snapshot. In the first version it has a View and
// whole Changes, since then a PackedView and a feed.History.
type ControlImage struct {
	Version    uint32               `capnp:"version"`
	View       feed.View            `capnp:"view"`
	Changes    []feed.Change        `capnp:"changes"`
	PackedView []byte               `capnp:"packedView"`
	Earlier    []feed.EarlierConfig `capnp:"earlier"`
}

// rooted adapts a generated constructor of a root struct.
func rooted[Struct ~capnp.StructKind](make func(*capnp.Segment) (Struct, error)) func(*capnp.Segment) (capnp.Struct, error) {
	return func(segment *capnp.Segment) (capnp.Struct, error) {
		made, err := make(segment)
		return capnp.Struct(made), err
	}
}

var roots = map[uint64]func(*capnp.Segment) (capnp.Struct, error){
	schema.Command_TypeID:        rooted(schema.NewRootCommand),
	schema.StoredWrite_TypeID:    rooted(schema.NewRootStoredWrite),
	schema.LineImage_TypeID:      rooted(schema.NewRootLineImage),
	schema.ControlImage_TypeID:   rooted(schema.NewRootControlImage),
	schema.View_TypeID:           rooted(schema.NewRootView),
	schema.Change_TypeID:         rooted(schema.NewRootChange),
	schema.ColdChunkBatch_TypeID: rooted(schema.NewRootColdChunkBatch),
	schema.ColdIndex_TypeID:      rooted(schema.NewRootColdIndex),
}

// Encode turns a value into Cap'n Proto bytes under one of the schema's types.
//
//	data, err := wire.Encode(schema.Command_TypeID, &command)
func Encode(typeID uint64, value any) ([]byte, error) {
	root, known := roots[typeID]
	if !known {
		return nil, fmt.Errorf("type %x is never stored by itself", typeID)
	}
	put, isHot := hotPut[typeID]
	if !isHot {
		put = func(target capnp.Struct, value any) error { return pogs.Insert(typeID, target, value) }
	}
	return appendMessage(nil, root, func(made capnp.Struct) error { return put(made, value) })
}

// Decode fills value from Cap'n Proto bytes.
//
//	err := wire.Decode(schema.Command_TypeID, data, &command)
func Decode(typeID uint64, data []byte, value any) error {
	root, err := rootOf(data)
	if err != nil {
		return err
	}
	if take, isHot := hotTake[typeID]; isHot {
		return take(root, value)
	}
	return pogs.Extract(value, typeID, root)
}

// rootOf gives the root of a message; it points into the data.
func rootOf(data []byte) (capnp.Struct, error) {
	message, err := capnp.Unmarshal(data)
	if err != nil {
		return capnp.Struct{}, err
	}
	message.ResetReadLimit(readLimit)
	root, err := message.Root()
	return root.Struct(), err
}

// Between processes a message that is not long is packed, as what it says is mostly
// zeros. A packed message begins with packedForm, where one that is not has the count
// of its further segments, of which there are none.
const (
	packedForm  = 1
	mostPacked  = 64 << 10
	formHeader  = 8
	mostGrowing = 1024 // how many times its packed length a message may have, at most
)

// pack packs the message at the end of bytes, which begins at a position.
func pack(target []byte, began int) []byte {
	message := target[began:]
	if len(message) <= formHeader || len(message) > mostPacked {
		return target
	}
	packedMessage := packed.Pack(make([]byte, 0, len(message)+len(message)/64+formHeader), message[formHeader:])
	if len(packedMessage) >= len(message)-formHeader {
		return target
	}
	binary.LittleEndian.PutUint32(message, packedForm)
	return append(target[:began+formHeader], packedMessage...)
}

// unpacked gives a message as it was before it was packed.
func unpacked(data []byte) ([]byte, error) {
	if len(data) < formHeader || binary.LittleEndian.Uint32(data) != packedForm {
		return data, nil
	}
	size := uint64(binary.LittleEndian.Uint32(data[4:])) * 8
	if size > mostGrowing*uint64(len(data)) || size > mostPacked {
		return nil, errors.New("a packed message tells a wrong length")
	}
	plain := make([]byte, formHeader, formHeader+int(size))
	copy(plain[4:], data[4:formHeader])
	plain, err := packed.Unpack(plain, data[formHeader:])
	if err != nil {
		return nil, err
	}
	if len(plain) != formHeader+int(size) {
		return nil, errors.New("a packed message has another length than it tells")
	}
	return plain, nil
}

// appendMessage appends a message of one segment, whose root a function fills, to
// bytes. The message's own memory is used again.
func appendMessage(target []byte, root func(*capnp.Segment) (capnp.Struct, error), put func(capnp.Struct) error) ([]byte, error) {
	message, segment, err := capnp.NewMessage(capnp.SingleSegment(nil))
	if err != nil {
		return nil, err
	}
	defer message.Release()
	made, err := root(segment)
	if err != nil {
		return nil, err
	}
	if err := put(made); err != nil {
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

// Failed makes the reply that carries an error.
//
//	return wire.Failed(err)
func Failed(err error) *Reply {
	found := apierror.Of(err)
	return &Reply{Failure: Failure{Kind: string(found.Kind), Message: found.Message, Remedy: found.Remedy, Leader: found.Leader, RetryAfter: found.RetryAfter}}
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
