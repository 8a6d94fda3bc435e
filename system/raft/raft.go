package raft

import (
	"math/rand/v2"
	"slices"
)

// role is the state of a server in the paper (5.1), extended by the pre-candidate of the
// thesis (9.6).
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
	// random generates the election timeouts.
	random *rand.Rand

	// The persistent state (paper, figure 2), including writes that are not durable yet.
	hardState HardState
	snapshot  Snapshot
	// entries is the log after the snapshot: entries[0].Index == snapshot.Index+1.
	entries []Entry

	// membership is the latest one in the log, committed or not (paper 6).
	membership Membership
	role       role
	// leader is the known leader of the current term, or "".
	leader      string
	commitIndex uint64
	// lastApplied is the index of the last entry passed to the driver. It equals commitIndex
	// after each step.
	lastApplied uint64
	// stableIndex is the index of the last entry that is durable on this replica. It is the
	// leader's own match index when it advances the commit index.
	stableIndex uint64

	// electionElapsed counts the ticks since the election timer was last reset, for example by
	// a message from the leader or by granting a vote.
	electionElapsed int
	// electionTimeout is the value of electionElapsed at which a pre-vote starts.
	electionTimeout int
	// votes has the replies to the current vote or pre-vote request, by voter.
	votes map[string]bool

	// The volatile state of a leader, used only while this replica leads.

	// peers has the replication progress of every other member.
	peers map[string]*progress
	// heartbeatElapsed counts the ticks since the last heartbeat broadcast.
	heartbeatElapsed int
	// quorumElapsed counts the ticks since the last quorum check.
	quorumElapsed int
	// readRound is the number of the last heartbeat round that was started to confirm reads.
	readRound    uint64
	pendingReads []pendingRead
	// transferTarget is the voter that leadership is being transferred to, or "".
	transferTarget string
	// transferElapsed counts the ticks since the leadership transfer began.
	transferElapsed int
	// snapshotChecksum caches the content checksum of the snapshot at snapshotChecksumIndex;
	// it is stale if that differs from snapshot.Index.
	snapshotChecksum      uint32
	snapshotChecksumIndex uint64

	// incoming is the snapshot that is being received from a leader, or nil.
	incoming *incomingSnapshot

	// Changes to be written, writes in progress, and the messages that depend on them.

	// hardStateChanged, snapshotChanged and firstUnwritten (an index, or 0) determine the
	// contents of the write at the end of the step.
	hardStateChanged bool
	snapshotChanged  bool
	firstUnwritten   uint64
	// lastWrite and lastSynced are the numbers of the last write and the last durable write.
	lastWrite  uint64
	lastSynced uint64
	// hardStateWrite is the number of the last write that changed the hard state.
	hardStateWrite uint64
	// pendingWrites are the writes that are not durable yet, in order.
	pendingWrites []pendingWrite
	// outbox has the messages of this step; pendingMessages has those of earlier steps that
	// wait for a write to become durable.
	outbox          []Message
	pendingMessages []pendingMessage
	output          Output
}

// New returns a follower that resumes from its stored state. With the zero PersistentState the
// replica belongs to no group and waits for a leader to add it. To bootstrap a group, start
// every initial voter with the same snapshot, whose membership lists these voters.
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

// Step processes one input and returns the actions for the driver. Inputs of an unknown kind are
// ignored, as are messages of an unknown kind apart from their term.
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
		// Check the chunk before adopting its term: a damaged chunk must have no effect.
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

// adoptTerm becomes a follower in the later term of a message (paper 5.1), and reports whether
// the message should be processed further.
func (core *Core) adoptTerm(message Message) bool {
	if message.Kind == MessagePreVoteReply && !message.Rejected {
		return true // a granted pre-vote carries a future term, which must not be adopted
	}
	if message.Kind == MessageVote && core.inLease() && !message.Forced {
		return false
	}
	core.setTerm(message.Term)
	core.become(roleFollower, "")
	return message.Kind != MessagePreVoteReply
}

// rejectStaleLeader tells the leader of an earlier term that there is a later one. Other messages
// of earlier terms are ignored.
func (core *Core) rejectStaleLeader(message Message) {
	if message.Kind == MessageAppend || message.Kind == MessageSnapshot {
		core.send(Message{Kind: MessageAppendReply, To: message.From, Term: core.hardState.Term, Rejected: true, Hint: core.lastIndex()})
	}
}
