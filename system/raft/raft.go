package raft

import (
	"math/rand/v2"
	"slices"
)

// role is the state of a replica in the sense of the paper (5.1), with the pre-candidate of
// the thesis (9.6).
type role int

const (
	roleFollower role = iota
	rolePreCandidate
	roleCandidate
	roleLeader
)

// Core is one replica of one group. It is not safe for concurrent use.
type Core struct {
	settings Settings
	// random draws the election timeouts.
	random *rand.Rand

	// The persistent state (paper, figure 2), as it is once all writes are durable.
	hardState HardState
	snapshot  Snapshot
	// entries follow the snapshot: entries[0].Index == snapshot.Index+1.
	entries []Entry

	// membership is the latest in the log, committed or not (paper 6).
	membership Membership
	role       role
	// leader is the leader of the current term as far as known, or "".
	leader      string
	commitIndex uint64
	// lastApplied is the last entry that was given to the driver. It equals commitIndex
	// after each step.
	lastApplied uint64
	// stableIndex is the last entry that is durable here. A leader counts itself only up to
	// here when it advances the commit index.
	stableIndex uint64

	// electionElapsed counts the ticks since a leader was heard or a vote was granted.
	electionElapsed int
	// electionTimeout is the number of ticks after which an election is started.
	electionTimeout int
	// votes are the answers to the present request for votes, by voter.
	votes map[string]bool

	// The state of a leader; it is discarded when the replica steps down.

	// peers has the progress of every other member.
	peers map[string]*progress
	// heartbeatElapsed counts the ticks since the last heartbeat to all peers.
	heartbeatElapsed int
	// quorumElapsed counts the ticks since the leader last checked that it hears a quorum.
	quorumElapsed int
	// readRound is the number of the last round of heartbeats that confirms reads.
	readRound    uint64
	pendingReads []pendingRead
	// transferTarget is the voter that is to become leader, or "".
	transferTarget string
	// transferElapsed counts the ticks since the leadership transfer began.
	transferElapsed int
	// snapshotChecksum is the checksum of the content of the snapshot at
	// snapshotChecksumIndex, and outdated if that is not the present one.
	snapshotChecksum      uint32
	snapshotChecksumIndex uint64

	// incoming is the snapshot that a leader is sending to this replica, or nil.
	incoming *incomingSnapshot

	// What is to be written, what is being written, and the messages that wait for it.

	// hardStateChanged, snapshotChanged and firstUnwritten (0 if there is none) say what the
	// write at the end of the step must contain.
	hardStateChanged bool
	snapshotChanged  bool
	firstUnwritten   uint64
	// lastWrite and lastSynced are the numbers of the last write and the last durable one.
	lastWrite  uint64
	lastSynced uint64
	// hardStateWrite is the number of the last write that changed the hard state.
	hardStateWrite uint64
	// pendingWrites are not durable yet, in order.
	pendingWrites []pendingWrite
	// outbox has the messages of this step; pendingMessages those of earlier steps that
	// wait for a write.
	outbox          []Message
	pendingMessages []pendingMessage
	output          Output
}

// New returns a replica that continues from its stored state, as a follower. With the zero
// PersistentState it is a member of no group, and waits for a leader to add it. To bootstrap a
// group, give all founding voters the same snapshot with them as its membership.
func New(settings Settings, stored PersistentState) *Core {
	core := &Core{
		settings:    settings,
		random:      rand.New(rand.NewPCG(settings.Seed, uint64(settings.Group)+1)),
		hardState:   stored.HardState,
		snapshot:    stored.Snapshot,
		entries:     slices.Clone(stored.Entries),
		commitIndex: stored.Snapshot.Index,
		lastApplied: stored.Snapshot.Index,
	}
	core.stableIndex = core.lastIndex()
	core.refreshMembership()
	core.become(roleFollower, "")
	core.shortenPreVoteTimeout()
	return core
}

// Step processes one input and returns what the driver must do. An input of an unknown kind,
// such as a message of a later version, has no effect.
func (core *Core) Step(input Input) Output {
	core.output = Output{}
	switch input.Kind {
	case InputTick:
		core.tick(input.Number)
	case InputMessage:
		core.handleMessage(input.Message)
	case InputSynced:
		core.handleSynced(input.Number)
	case InputPropose:
		core.propose(Entry{Kind: EntryCommand, Data: input.Data})
	case InputChangeMembership:
		core.changeMembership(input.Membership)
	case InputReadIndex:
		core.readIndex(input.Context)
	case InputCompact:
		core.compact(input.Index, input.Data)
	case InputTransferLeadership:
		core.transferLeadership(input.Peer)
	case InputSuspect:
		core.suspectLeader(input.Peer)
	}
	core.flush()
	return core.output
}

func (core *Core) handleMessage(message Message) {
	if message.Kind == MessageSnapshotChunk {
		// A chunk is checked before its term is adopted: a damaged one must have no effect.
		if rejection := core.checkChunk(message); rejection != SnapshotAccepted {
			core.rejectChunk(message, rejection, core.receivedBytes(message), nil)
			return
		}
	}
	if message.Kind == MessagePreVote {
		core.handlePreVote(message)
		return
	}
	if message.Term > core.hardState.Term && !core.adoptTerm(message) {
		return
	}
	if message.Term < core.hardState.Term {
		core.rejectStaleLeader(message)
		return
	}
	switch message.Kind {
	case MessageVote:
		core.handleVote(message)
	case MessageVoteReply, MessagePreVoteReply:
		core.handleVoteReply(message)
	case MessageAppend:
		core.handleAppend(message)
	case MessageAppendReply:
		core.handleAppendReply(message)
	case MessageSnapshot:
		core.handleSnapshot(message)
	case MessageTimeoutNow:
		core.handleTimeoutNow(message)
	case MessageSnapshotChunk:
		core.handleSnapshotChunk(message)
	case MessageSnapshotReply:
		core.handleSnapshotReply(message)
	}
}

// adoptTerm enters the later term of a message as a follower (paper 5.1), and reports
// whether the message is to be processed further.
func (core *Core) adoptTerm(message Message) bool {
	if message.Kind == MessagePreVoteReply && !message.Rejected {
		return true // a granted pre-vote names a term that nobody has entered yet
	}
	if message.Kind == MessageVote && core.inLease() && !message.Forced {
		return false
	}
	core.setTerm(message.Term)
	core.become(roleFollower, "")
	return message.Kind != MessagePreVoteReply
}

// rejectStaleLeader informs the leader of an earlier term of the present one. Other messages
// of earlier terms are ignored.
func (core *Core) rejectStaleLeader(message Message) {
	if message.Kind == MessageAppend || message.Kind == MessageSnapshot {
		core.send(Message{Kind: MessageAppendReply, To: message.From, Term: core.hardState.Term, Rejected: true, Hint: core.lastIndex()})
	}
}
