package raft

import (
	"math/rand/v2"
	"slices"
)

type role int

const (
	roleFollower role = iota
	rolePreCandidate
	roleCandidate
	roleLeader
)

// Core is one replica of one group. It is not safe for concurrent use.
type Core struct {
	settings   Settings
	random     *rand.Rand
	hardState  HardState
	snapshot   Snapshot
	entries    []Entry // entries[0].Index == checkpoint.Index+1
	membership Membership

	role            role
	leader          string
	commitIndex     uint64
	lastApplied     uint64
	stableIndex     uint64
	electionElapsed int
	// heartbeatElapsed counts the ticks since the leader last spoke to all peers.
	heartbeatElapsed int
	quorumElapsed    int
	electionTimeout  int
	votes            map[string]bool
	peers            map[string]*progress
	readRound        uint64
	pendingReads     []pendingRead
	// incomingSnapshot is the part of a snapshot that a leader has sent so far.
	incoming *incomingSnapshot
	// snapshotChecksum is the checksum of the content of the own snapshot, if that is at snapshotChecksumIndex.
	snapshotChecksum      uint32
	snapshotChecksumIndex uint64
	transferTarget        string
	transferElapsed       int

	lastWrite       uint64
	lastSynced      uint64
	pendingWrites   []pendingWrite
	pendingMessages []pendingMessage
	// hardStateWrite is the number of the last write that changed the term or the vote.
	hardStateWrite   uint64
	hardStateChanged bool
	firstUnwritten   uint64
	snapshotChanged  bool
	output           Output
	outbox           []Message
}

// New makes a replica from what its disk holds. An empty Stored is a replica
// that waits to be told of a group; to found one, store a Checkpoint that names
// the founding voters.
//
//	core := agreement.New(agreement.Settings{Name: "a", ElectionTicks: 10, HeartbeatTicks: 2}, agreement.PersistentState{
//		Checkpoint: agreement.Snapshot{Replicas: agreement.Membership{Voters: []string{"a", "b", "c"}}},
//	})
//	output := core.Step(agreement.Input{Kind: agreement.InputTick})
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

var inputHandlers map[InputKind]func(*Core, Input)

var messageHandlers map[MessageKind]func(*Core, Message)

func init() {
	inputHandlers = map[InputKind]func(*Core, Input){
		InputTick:               func(core *Core, input Input) { core.tick(input.Number) },
		InputMessage:            func(core *Core, input Input) { core.handleMessage(input.Message) },
		InputSynced:             func(core *Core, input Input) { core.handleSynced(input.Number) },
		InputPropose:            func(core *Core, input Input) { core.propose(Entry{Kind: EntryCommand, Data: input.Data}) },
		InputChangeMembership:   func(core *Core, input Input) { core.changeMembership(input.Membership) },
		InputReadIndex:          func(core *Core, input Input) { core.readIndex(input.Context) },
		InputCompact:            func(core *Core, input Input) { core.compact(input.Index, input.Data) },
		InputTransferLeadership: func(core *Core, input Input) { core.transferLeadership(input.Peer) },
		InputSuspect:            func(core *Core, input Input) { core.suspectLeader(input.Peer) },
	}
	messageHandlers = map[MessageKind]func(*Core, Message){
		MessageVote:         (*Core).handleVote,
		MessageVoteReply:    (*Core).handleVoteReply,
		MessagePreVoteReply: (*Core).handleVoteReply,
		MessageAppend:       (*Core).handleAppend,
		MessageAppendReply:  (*Core).handleAppendReply,
		MessageSnapshot:     (*Core).handleSnapshot,
		MessageTimeoutNow:   (*Core).handleTimeoutNow,

		MessageSnapshotChunk: (*Core).handleSnapshotChunk,
		MessageSnapshotReply: (*Core).handleSnapshotReply,
	}
}

// Step feeds one input and returns what the shell must now do.
//
//	output := core.Step(agreement.Input{Kind: agreement.InputPropose, Data: []byte("put a 1")})
//	if output.ProposedIndex == 0 {
//		// not the leader: ask core.Status().Leader
//	}
func (core *Core) Step(input Input) Output {
	core.output = Output{}
	if handler, known := inputHandlers[input.Kind]; known {
		handler(core, input)
	}
	core.flush()
	return core.output
}

func (core *Core) handleMessage(message Message) {
	if message.Kind == MessageSnapshotChunk {
		if rejection := core.checkChunk(message); rejection != SnapshotAccepted {
			core.rejectChunk(message, rejection, core.receivedBytes(message), nil)
			return
		}
	}
	if message.Kind == MessagePreVote {
		core.handlePreVote(message)
		return
	}
	if message.Term > core.hardState.Term && message.Kind != MessagePreVoteReply {
		if message.Kind == MessageVote && core.inLease() && !message.Forced {
			return
		}
		core.setTerm(message.Term)
		core.become(roleFollower, "")
	}
	if message.Kind == MessagePreVoteReply && message.Rejected && message.Term > core.hardState.Term {
		core.setTerm(message.Term)
		core.become(roleFollower, "")
		return
	}
	if message.Term < core.hardState.Term {
		if message.Kind == MessageAppend || message.Kind == MessageSnapshot {
			core.send(Message{Kind: MessageAppendReply, To: message.From, Term: core.hardState.Term, Rejected: true, Hint: core.lastIndex()})
		}
		return
	}
	if handler, known := messageHandlers[message.Kind]; known {
		handler(core, message)
	}
}

// Status is a copy of what a replica believes.
type Status struct {
	Term                    uint64
	Leader                  string
	Leading                 bool
	CommitIndex             uint64
	LastIndex               uint64
	Membership              Membership
	MatchIndex              map[string]uint64
	MembershipChangePending bool
	CommittedInTerm         bool // the leader has committed an entry of its own term
}

// Status tells what this replica believes now.
//
//	if core.Status().Leading {
//		// proposals may be put here
//	}
func (core *Core) Status() Status {
	status := Status{
		Term: core.hardState.Term, Leader: core.leader, Leading: core.role == roleLeader,
		CommitIndex: core.commitIndex, LastIndex: core.lastIndex(), Membership: core.membership,
		CommittedInTerm: core.role == roleLeader && core.committedInTerm(),
	}
	if core.role == roleLeader {
		status.MatchIndex = map[string]uint64{core.settings.Name: core.stableIndex}
		for name, peer := range core.peers {
			status.MatchIndex[name] = peer.matchIndex
		}
		status.MembershipChangePending = core.membershipChangePending()
	}
	return status
}

// Leading tells whether this replica leads, and its term.
//
//	term, leading := core.Leading()
func (core *Core) Leading() (uint64, bool) { return core.hardState.Term, core.role == roleLeader }

// Applied tells up to where entries were handed over for applying.
//
//	index := core.Applied()
func (core *Core) Applied() uint64 { return core.lastApplied }

// committedInTerm reports whether the last committed entry is of the current term.
func (core *Core) committedInTerm() bool {
	return core.termAt(core.commitIndex) == core.hardState.Term
}
