package modelcheck

import (
	"cmp"
	"fmt"
	"slices"

	"yardrock.example/system/raft"
)

var (
	threeVoters          = []string{"a", "b", "c"}
	threeVoterModel      = Model{Voters: threeVoters, ElectionTicks: 1, HeartbeatTicks: 1}
	syncWritesModel      = Model{Voters: threeVoters, ElectionTicks: 1, HeartbeatTicks: 1, SyncWrites: true}
	largeCommandModel    = Model{Voters: threeVoters, ElectionTicks: 1, HeartbeatTicks: 1, SyncWrites: true, CommandBytes: 300 << 10}
	syncWritesSpareModel = Model{Voters: threeVoters, Spares: []string{"d"}, ElectionTicks: 1, HeartbeatTicks: 1, SyncWrites: true}
	singleVoterModel     = Model{Voters: []string{"a"}, Learners: []string{"b"}, ElectionTicks: 1, HeartbeatTicks: 1}
	twoVoterModel        = Model{Voters: []string{"a", "b"}, Spares: []string{"c"}, ElectionTicks: 1, HeartbeatTicks: 1}
	fourVoterModel       = Model{Voters: []string{"a", "b", "c", "d"}, Spares: []string{"e"}, ElectionTicks: 1, HeartbeatTicks: 1, SyncWrites: true}
	spareModel           = Model{Voters: threeVoters, Spares: []string{"d"}, ElectionTicks: 1, HeartbeatTicks: 1}
)

// Scenarios returns the scenarios of the exhaustive searches.
func Scenarios() []Scenario { return slices.Clone(scenarios) }

var scenarios = []Scenario{
	{
		Name: "founding", Purpose: "first elections, with crashes before and after each sync",
		Model: threeVoterModel, Depth: 6,
		Limits: Limits{ActionTick: 3, ActionCrash: 1, ActionPropose: 1, ActionDuplicate: 1},
	},
	{
		Name: "two candidates", Purpose: "two candidates with concurrent vote requests and replies",
		Model: threeVoterModel, Depth: 4, Prepare: twoCandidates,
		Limits: Limits{ActionTick: 1, ActionCrash: 1, ActionDuplicate: 1},
	},
	{
		Name: "steady", Purpose: "replication by an established leader, with crashes and a duplicated message",
		Model: threeVoterModel, Depth: 4, Prepare: steadyLeader,
		Limits: Limits{ActionTick: 2, ActionPropose: 2, ActionCrash: 1, ActionDuplicate: 1, ActionRead: 1},
	},
	{
		Name: "older term", Purpose: "an entry of an older term on a majority, which another leader may still overwrite",
		Model: largeCommandModel, Depth: 8, Prepare: olderTerm,
		Limits: Limits{ActionTick: 2},
	},
	{
		Name: "overwritten log", Purpose: "a replica whose log was truncated and overwritten by a shorter one becomes leader again",
		Model: spareModel, Depth: 4, Prepare: overwrittenLog,
		Limits: Limits{ActionTick: 1, ActionPropose: 2, ActionCrash: 1},
	},
	{
		Name: "lagging", Purpose: "a snapshot in flight and entries after it, with crashes and a duplicated message",
		Model: threeVoterModel, Depth: 4, Prepare: laggingFollower,
		Limits: Limits{ActionTick: 1, ActionPropose: 1, ActionCrash: 1, ActionDuplicate: 1, ActionCompact: 1},
	},
	{
		Name: "late snapshot", Purpose: "a duplicated snapshot that arrives after the entries that follow it",
		Model: threeVoterModel, Depth: 4, Prepare: lateSnapshot,
		Limits: Limits{ActionTick: 1, ActionPropose: 1, ActionCrash: 1},
	},
	{
		Name: "needless snapshot", Purpose: "a snapshot sent to a replica that already has its entries and a later one",
		Model: threeVoterModel, Depth: 5, Prepare: needlessSnapshot,
		Limits: Limits{ActionTick: 1, ActionCrash: 1},
	},
	{
		Name: "behind", Purpose: "a replica without all committed entries starts an election",
		Model: syncWritesModel, Depth: 6, Prepare: followerBehind,
		Limits: Limits{ActionTick: 2, ActionTransferLeadership: 1},
	},
	{
		Name: "deposed", Purpose: "reads at an isolated leader while another replica is elected",
		Model: syncWritesModel, Depth: 4, Prepare: deposedLeader,
		Limits: Limits{ActionTick: 2, ActionRead: 2, ActionPropose: 1},
	},
	{
		Name: "membership", Purpose: "successive membership changes, including invalid ones that must be rejected",
		Model: syncWritesSpareModel, Depth: 4, Prepare: steadyLeader,
		Limits: Limits{ActionTick: 2, ActionChange: 2, ActionCrash: 1},
	},
	{
		Name: "change of a cut-off leader", Purpose: "concurrent membership changes by two leaders in a group of even size",
		Model: fourVoterModel, Depth: 4, Prepare: changeWhileIsolated,
		Limits: Limits{ActionTick: 2, ActionChange: 2},
	},
	{
		Name: "lone voter", Purpose: "a single voter, which becomes leader without votes of others, and a learner",
		Model: singleVoterModel, Depth: 7,
		Limits: Limits{ActionTick: 3, ActionPropose: 2, ActionCrash: 1, ActionChange: 1},
	},
	{
		Name: "two voters", Purpose: "a group that shrinks to one voter and grows again",
		Model: twoVoterModel, Depth: 4, Prepare: func(script *Script) { script.Elect("a", "b"); script.Commit("a", "b") },
		Limits: Limits{ActionTick: 2, ActionChange: 2, ActionCrash: 1, ActionPropose: 1},
	},
	{
		Name: "hand-over", Purpose: "leadership transfer with entries and reads in flight",
		Model: syncWritesModel, Depth: 5, Prepare: steadyLeader,
		Limits: Limits{ActionTick: 1, ActionPropose: 1, ActionRead: 1, ActionTransferLeadership: 2, ActionSuspect: 1},
	},
	{
		Name: "wiped", Purpose: "a lost disk, replaced by an empty replica under a new name",
		Model: syncWritesModel, Depth: 4, Prepare: steadyLeader,
		Limits: Limits{ActionTick: 2, ActionWipe: 1, ActionChange: 2, ActionPropose: 1},
	},
}

// steadyLeader makes a the leader of a group that has committed one command.
func steadyLeader(script *Script) {
	script.Elect("a", "b", "c")
	script.Settle("a", "b", "c")
	script.Propose("a")
	script.Commit("a", "b", "c")
}

// twoCandidates makes a and b request votes in the same term.
func twoCandidates(script *Script) {
	script.Tick("a")
	script.Tick("b")
	for _, name := range []string{"a", "b"} {
		script.Do(script.delivery("c", name, raft.MessagePreVote))
		script.Do(script.delivery(name, "c", raft.MessagePreVoteReply))
	}
}

// delivery returns the action that delivers a message of a kind from sender to receiver.
func (script *Script) delivery(receiver, sender string, kind raft.MessageKind) Action {
	for _, p := range script.world.inFlight {
		if p.message.To == receiver && p.message.From == sender && p.message.Kind == kind {
			return Action{Kind: ActionDeliver, Replica: receiver, Message: p.key}
		}
	}
	panic(fmt.Sprintf("scenario script: no %s from %s to %s is in flight", messageNames[kind], sender, receiver))
}

// olderTerm leaves a with a command of term 2 and b with a no-op entry of term 3 at the
// same index. a is leader again in term 4; c has received the command, but no entry of
// term 4 yet.
func olderTerm(script *Script) {
	script.Elect("a", "b", "c")
	script.Commit("a", "b", "c")
	script.Propose("a")
	script.DropAll()
	script.Elect("b", "c")
	script.DropAll()
	script.Elect("a", "c")
	script.Tick("b") // b learns of term 4
	script.Do(script.delivery("c", "b", raft.MessageAppend))
	script.Do(script.delivery("b", "c", raft.MessageAppendReply))
	script.Do(script.delivery("c", "a", raft.MessageAppend))
	script.Do(script.delivery("a", "c", raft.MessageAppendReply))
	script.Do(script.delivery("c", "a", raft.MessageAppend))
	script.Do(script.delivery("a", "c", raft.MessageAppendReply))
	script.Do(script.delivery("c", "a", raft.MessageAppend))
	script.drop(func(message *raft.Message) bool { return message.To != "a" })
}

// overwrittenLog makes a the leader again after its log was overwritten by a shorter one.
func overwrittenLog(script *Script) {
	script.Elect("a", "b", "c")
	script.Commit("a", "b", "c")
	for range 4 {
		script.Propose("a")
	}
	script.Do(Action{Kind: ActionSync, Replica: "a"})
	for len(script.world.replica("a").pending) > 0 {
		script.Do(Action{Kind: ActionSync, Replica: "a"})
	}
	script.DropAll()
	script.Elect("b", "c")
	script.Commit("b", "c")
	script.DropAll()
	script.Tick("b")
	script.Settle("a", "b")
	script.DropAll()
	script.Elect("a", "c")
}

// laggingFollower leaves c without entries that a has compacted into a snapshot, which is in
// flight to c.
func laggingFollower(script *Script) {
	steadyLeader(script)
	script.Propose("a")
	script.Commit("a", "b")
	script.DropAll()
	script.Compact("a")
	script.Settle("a")
	script.Tick("a")
	script.Settle("a", "b")
	script.Do(script.delivery("c", "a", raft.MessageAppend))
	script.Do(script.delivery("a", "c", raft.MessageAppendReply))
}

// lateSnapshot leaves c with a snapshot and an entry after it, with a copy of each of the
// snapshot's chunks still in flight.
func lateSnapshot(script *Script) {
	laggingFollower(script)
	chunks := script.messagesTo("c", raft.MessageSnapshotChunk)
	slices.SortFunc(chunks, func(a, b raft.Message) int { return cmp.Compare(a.Chunk.Offset, b.Chunk.Offset) })
	for _, chunk := range chunks {
		script.Do(Action{Kind: ActionDeliver, Replica: "c", Message: keyOf(&chunk)})
	}
	script.Settle("a", "b", "c")
	script.Propose("a")
	script.Commit("a", "b", "c")
	script.requireCommit("c", script.world.replica("a").status.CommitIndex)
	for _, chunk := range chunks {
		script.addInFlight(chunk)
	}
}

// needlessSnapshot makes c reject an append that arrives early, and then accept the entry
// before it and the append itself. The rejection is in flight to a, which has compacted
// the first of the two entries into a snapshot; a and b have committed both.
func needlessSnapshot(script *Script) {
	steadyLeader(script)
	first := script.world.replica("a").status.LastIndex + 1
	script.Propose("a")
	script.Propose("a")
	script.Do(script.appendDelivery("b", first))
	script.Settle("b")
	script.Do(script.delivery("a", "b", raft.MessageAppendReply))
	script.Do(Action{Kind: ActionSync, Replica: "a"})
	script.Compact("a")
	script.Settle("a", "b")
	earlyAppend := script.appendDelivery("c", first+1)
	earlyAppend.Kind = ActionDuplicate
	script.Do(earlyAppend)
	script.Do(script.appendDelivery("c", first))
	script.Do(script.appendDelivery("c", first+1))
	script.Settle("c")
	script.drop(func(message *raft.Message) bool { return !message.Rejected })
}

// followerBehind makes a and b commit a command that c lacks.
func followerBehind(script *Script) {
	steadyLeader(script)
	script.Propose("a")
	script.Commit("a", "b")
	script.DropAll()
}

// deposedLeader leaves a in the leader role of an older term while b is leader and has committed
// in a later term.
func deposedLeader(script *Script) {
	steadyLeader(script)
	script.Elect("b", "c")
	script.Commit("b", "c")
}

// changeWhileIsolated makes a and b leaders of different terms in a group of four; a has a
// membership change that no other replica has received.
func changeWhileIsolated(script *Script) {
	script.Elect("a", "b", "c", "d")
	script.Commit("a", "b", "c", "d")
	script.Change("a", ChangeRemove, "d")
	script.DropAll()
	script.Elect("b", "c", "d")
}
