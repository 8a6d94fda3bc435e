package modelcheck

import (
	"bytes"
	"fmt"
	"slices"

	"yardrock.example/system/raft"
)

// Invariant names a property that every reachable state must have.
type Invariant string

const (
	// OneLeaderPerTerm is Election Safety (Raft paper, figure 3): at most one replica leads in
	// a term.
	OneLeaderPerTerm Invariant = "one leader per term"
	// LogMatching is Log Matching (figure 3): two logs with the same term at an index are
	// identical up to that index.
	LogMatching Invariant = "log matching"
	// LeaderCompleteness is Leader Completeness (figure 3): a committed entry is in the log of
	// every later leader.
	LeaderCompleteness Invariant = "leader completeness"
	// CommittedStays means that no log and no disk loses a committed entry that it contains.
	CommittedStays Invariant = "a committed entry is never replaced"
	// CommittedOnMajority means that an entry is on the disks of a majority of the voters
	// when a leader commits it.
	CommittedOnMajority Invariant = "a committed entry is on the disks of a majority"
	// StateMachineSafety is State Machine Safety (figure 3): all replicas apply the same entry
	// at an index, in order.
	StateMachineSafety Invariant = "state machine safety"
	// ReadsAreLinearizable means that a confirmed read index covers everything that was
	// committed when the read was requested (thesis, section 6.4).
	ReadsAreLinearizable Invariant = "a confirmed read is fresh"
	// PromisesArePersisted means that the state a message depends on (a vote, a term, an
	// acknowledged append) is on disk before the message is sent.
	PromisesArePersisted Invariant = "a promise is on disk before it leaves"
	// MajoritiesOverlap means that any majorities of two successive voter sets share a replica,
	// and that no membership change is appended before the previous one is committed
	// (thesis, section 4.1).
	MajoritiesOverlap Invariant = "successive majorities overlap"
	// Monotonicity means that terms, commit indexes and snapshot indexes never decrease, and
	// that a vote does not change within a term.
	Monotonicity Invariant = "nothing goes back"
)

// Violation is the first invariant violation of a run and the actions that led to it.
type Violation struct {
	Invariant Invariant `json:"invariant"`
	Detail    string    `json:"detail"`
	Trace     []string  `json:"trace"`
}

// coreView is the state of a replica's core before a step, for comparison with the new state.
type coreView struct {
	status raft.Status
	state  raft.PersistentState
}

func (world *World) violate(invariant Invariant, format string, args ...any) {
	if world.violation == nil {
		world.violation = &Violation{Invariant: invariant, Detail: fmt.Sprintf(format, args...)}
	}
}

// checkStep checks all invariants that a step of one replica can violate.
func (world *World) checkStep(stepped *replica, before coreView, input raft.Input, output raft.Output) {
	world.checkMonotonicity(stepped, before)
	world.checkApplied(stepped, before, output)
	world.checkCommittedRetained(stepped.name+"'s log", before.state, stepped.state)
	world.checkSnapshot(stepped.name, stepped.state.Snapshot)
	world.checkNewLeader(stepped, before)
	for _, other := range world.replicas {
		if other != stepped {
			world.checkLogsMatch(stepped, other)
		}
	}
	world.checkVoterSets(stepped)
	world.checkMembershipChange(stepped, before, input, output)
	for _, message := range output.Messages {
		world.checkPersistedBeforeSend(stepped, message)
	}
	for _, result := range output.ReadResults {
		world.checkRead(stepped, result)
	}
}

func (world *World) checkMonotonicity(stepped *replica, before coreView) {
	now := stepped.status
	if now.Term < before.status.Term || now.CommitIndex < before.status.CommitIndex {
		world.violate(Monotonicity, "%s went from term %d commit %d to term %d commit %d", stepped.name,
			before.status.Term, before.status.CommitIndex, now.Term, now.CommitIndex)
	}
	world.checkStateMonotonicity(stepped.name, before.state, stepped.state)
}

// checkStateMonotonicity checks the term, vote and snapshot of a core or a disk.
func (world *World) checkStateMonotonicity(name string, before, after raft.PersistentState) {
	if after.HardState.Term < before.HardState.Term || after.Snapshot.Index < before.Snapshot.Index {
		world.violate(Monotonicity, "%s went from term %d snapshot %d to term %d snapshot %d", name,
			before.HardState.Term, before.Snapshot.Index, after.HardState.Term, after.Snapshot.Index)
	}
	if after.HardState.Term == before.HardState.Term && before.HardState.VotedFor != "" && after.HardState.VotedFor != before.HardState.VotedFor {
		world.violate(Monotonicity, "%s voted for %s and later for %q in term %d", name, before.HardState.VotedFor, after.HardState.VotedFor, after.HardState.Term)
	}
}

// checkDisk checks a disk after a write.
func (world *World) checkDisk(owner *replica, before raft.PersistentState) {
	world.checkStateMonotonicity(owner.name+"'s disk", before, owner.disk)
	world.checkCommittedRetained(owner.name+"'s disk", before, owner.disk)
}

func (world *World) checkRestart(restarted *replica) {
	world.checkSnapshot(restarted.name, restarted.state.Snapshot)
	if restarted.status.Term != restarted.disk.HardState.Term {
		world.violate(Monotonicity, "%s restarted in term %d with term %d on its disk", restarted.name, restarted.status.Term, restarted.disk.HardState.Term)
	}
	for _, other := range world.replicas {
		if other != restarted {
			world.checkLogsMatch(restarted, other)
		}
	}
}

// checkApplied checks the entries that a step applied and records newly committed ones in the history.
func (world *World) checkApplied(stepped *replica, before coreView, output raft.Output) {
	applied := before.status.CommitIndex
	if output.Snapshot != nil {
		world.outcomes.Restores++
		world.checkRestore(stepped, *output.Snapshot)
		applied = output.Snapshot.Index
	}
	for _, entry := range output.CommittedEntries {
		if entry.Index != applied+1 {
			world.violate(StateMachineSafety, "%s applied index %d after %d", stepped.name, entry.Index, applied)
		}
		applied = entry.Index
		world.checkCommitted(stepped, before, entry)
	}
	if applied != stepped.core.AppliedIndex() || applied != stepped.status.CommitIndex {
		world.violate(StateMachineSafety, "%s output entries up to index %d, but reports applied index %d and commit index %d", stepped.name,
			applied, stepped.core.AppliedIndex(), stepped.status.CommitIndex)
	}
}

func (world *World) checkRestore(stepped *replica, snapshot raft.Snapshot) {
	world.checkSnapshot(stepped.name, snapshot)
	if !world.model.isSnapshotData(snapshot.Data, snapshot.Index) {
		world.violate(StateMachineSafety, "%s restores snapshot data %q at index %d, which no replica created for that index", stepped.name, snapshot.Data, snapshot.Index)
	}
}

func (world *World) checkCommitted(stepped *replica, before coreView, entry raft.Entry) {
	if entry.Index <= world.history.lastCommitted() {
		committed, _ := world.history.committedAt(entry.Index)
		if !sameEntry(committed.entry, entry) {
			world.violate(StateMachineSafety, "%s applies %s, but %s is committed at that index", stepped.name, describeEntry(entry), describeEntry(committed.entry))
		}
		return
	}
	if !before.status.Leading {
		world.violate(StateMachineSafety, "%s, which is not the leader, applies %s before a leader has committed it", stepped.name, describeEntry(entry))
	}
	world.outcomes.Commits++
	if entry.Kind == raft.EntryMembership {
		world.outcomes.Changes++
	}
	world.history.committed = append(world.history.committed, committedEntry{entry: entry, term: before.status.Term})
	world.checkMajority(stepped, entry)
}

// checkMajority checks that a newly committed entry is on the disks of a majority of the voters.
func (world *World) checkMajority(leader *replica, entry raft.Entry) {
	voters := leader.status.Membership.Voters
	holders := []string{}
	for _, name := range voters {
		if voter := world.replica(name); voter != nil && containsEntry(voter.disk, entry) {
			holders = append(holders, name)
		}
	}
	if len(holders) <= len(voters)/2 {
		world.violate(CommittedOnMajority, "%s commits %s, which is on the disks of only %v of the voters %v", leader.name, describeEntry(entry), holders, voters)
	}
}

// checkCommittedRetained checks that a step or write removed no committed entry.
func (world *World) checkCommittedRetained(name string, before, after raft.PersistentState) {
	for _, committed := range world.history.committed {
		if containsEntry(before, committed.entry) && !containsEntry(after, committed.entry) {
			world.violate(CommittedStays, "%s lost the committed entry %s", name, describeEntry(committed.entry))
		}
	}
}

func (world *World) checkSnapshot(name string, snapshot raft.Snapshot) {
	if snapshot.Index == 0 {
		return
	}
	term, ok := world.history.termAt(snapshot.Index)
	if !ok || term != snapshot.Term {
		world.violate(StateMachineSafety, "%s has a snapshot at index %d with term %d, but the committed term is %d", name, snapshot.Index, snapshot.Term, term)
		return
	}
	if want := world.history.membershipAt(snapshot.Index); !sameMembership(want, snapshot.Membership) {
		world.violate(StateMachineSafety, "%s has a snapshot at index %d with membership %v, but the committed membership is %v", name, snapshot.Index, snapshot.Membership, want)
	}
}

// checkNewLeader checks a replica that has just become leader.
func (world *World) checkNewLeader(stepped *replica, before coreView) {
	now := stepped.status
	if !now.Leading || before.status.Leading && before.status.Term == now.Term {
		return
	}
	world.outcomes.Elections++
	if other := world.history.leaderOf(now.Term); other != "" && other != stepped.name {
		world.violate(OneLeaderPerTerm, "%s and %s were both leader in term %d", other, stepped.name, now.Term)
	}
	world.history.leaders = append(world.history.leaders, leadership{term: now.Term, name: stepped.name})
	for _, committed := range world.history.committed {
		if committed.term < now.Term && !containsEntry(stepped.state, committed.entry) {
			world.violate(LeaderCompleteness, "%s is leader in term %d without %s, which was committed in term %d", stepped.name, now.Term, describeEntry(committed.entry), committed.term)
		}
	}
}

// checkLogsMatch compares two logs from the last index down: once their terms agree at an
// index, all earlier entries must be equal.
func (world *World) checkLogsMatch(a, b *replica) {
	lowest := max(a.state.Snapshot.Index, b.state.Snapshot.Index)
	matching := false
	for index := min(a.status.LastIndex, b.status.LastIndex); index >= lowest && index > 0; index-- {
		same := termAt(a.state, index) == termAt(b.state, index)
		if matching && !same {
			world.violate(LogMatching, "%s and %s differ at index %d but have the same term at a later index", a.name, b.name, index)
		}
		matching = matching || same
		entryA, foundA := entryAt(a.state, index)
		entryB, foundB := entryAt(b.state, index)
		if same && foundA && foundB && !sameEntry(entryA, entryB) {
			world.violate(LogMatching, "%s has %s, but %s has %s at the same index and term", a.name, describeEntry(entryA), b.name, describeEntry(entryB))
		}
	}
}

// checkVoterSets checks the successive voter sets in the log of one replica.
func (world *World) checkVoterSets(stepped *replica) {
	previous := stepped.state.Snapshot.Membership.Voters
	uncommitted := 0
	for _, entry := range stepped.state.Entries {
		if entry.Kind != raft.EntryMembership {
			continue
		}
		if entry.Index > world.history.lastCommitted() {
			uncommitted++
		}
		if len(previous) > 0 && !majoritiesOverlap(previous, entry.Membership.Voters) {
			world.violate(MajoritiesOverlap, "the log of %s changes the voters from %v to %v at index %d", stepped.name, previous, entry.Membership.Voters, entry.Index)
		}
		if voters := slices.Sorted(slices.Values(entry.Membership.Voters)); len(slices.Compact(voters)) < len(entry.Membership.Voters) {
			world.violate(MajoritiesOverlap, "the log of %s lists a voter twice in %v at index %d", stepped.name, entry.Membership.Voters, entry.Index)
		}
		previous = entry.Membership.Voters
	}
	if uncommitted > 1 {
		world.violate(MajoritiesOverlap, "the log of %s has %d uncommitted membership changes", stepped.name, uncommitted)
	}
}

// checkMembershipChange checks that a leader accepts a membership change only after it
// has committed an entry of its term.
func (world *World) checkMembershipChange(stepped *replica, before coreView, input raft.Input, output raft.Output) {
	if input.Kind != raft.InputChangeMembership || output.ProposedIndex == 0 {
		return
	}
	if termAt(before.state, before.status.CommitIndex) != before.status.Term {
		world.violate(MajoritiesOverlap, "%s accepts a membership change before it has committed an entry of its term %d", stepped.name, before.status.Term)
	}
}

// majoritiesOverlap reports whether every majority of one set intersects every majority
// of the other.
func majoritiesOverlap(a, b []string) bool {
	union := len(a)
	for _, name := range b {
		if !slices.Contains(a, name) {
			union++
		}
	}
	return len(a)/2+1+len(b)/2+1 > union
}

// checkPersistedBeforeSend checks that the state a message depends on is on its sender's disk.
func (world *World) checkPersistedBeforeSend(sender *replica, message raft.Message) {
	disk := sender.disk
	term := message.Term
	switch {
	case message.Kind == raft.MessagePreVote, message.Kind == raft.MessagePreVoteReply && !message.Rejected:
		return // these carry a term that no replica has entered yet
	case disk.HardState.Term < term:
		world.violate(PromisesArePersisted, "%s sends %q with only term %d on disk", sender.name, describeMessage(&message), disk.HardState.Term)
	case disk.HardState.Term > term || message.Rejected:
		return // superseded by a later term, or a rejection that depends on no stored state
	}
	switch message.Kind {
	case raft.MessageVote:
		if disk.HardState.VotedFor != sender.name {
			world.violate(PromisesArePersisted, "%s is a candidate in term %d with a vote for %q on disk", sender.name, term, disk.HardState.VotedFor)
		}
	case raft.MessageVoteReply:
		if disk.HardState.VotedFor != message.To {
			world.violate(PromisesArePersisted, "%s votes for %s in term %d with a vote for %q on disk", sender.name, message.To, term, disk.HardState.VotedFor)
		}
	case raft.MessageAppendReply:
		if lastIndexOf(disk) < message.Index {
			world.violate(PromisesArePersisted, "%s acknowledges index %d with a log up to index %d on disk", sender.name, message.Index, lastIndexOf(disk))
		}
	}
}

func (world *World) checkRead(stepped *replica, result raft.ReadResult) {
	read, ok := world.history.finishRead(result.Context)
	if !ok || result.Rejected {
		return
	}
	world.outcomes.ConfirmedReads++
	if result.Index < read.committed {
		world.violate(ReadsAreLinearizable, "%s confirms a read at index %d, but index %d was committed when it was requested", stepped.name, result.Index, read.committed)
	}
}

func lastIndexOf(state raft.PersistentState) uint64 {
	if count := len(state.Entries); count > 0 {
		return state.Entries[count-1].Index
	}
	return state.Snapshot.Index
}

func entryAt(state raft.PersistentState, index uint64) (raft.Entry, bool) {
	if len(state.Entries) == 0 || index < state.Entries[0].Index || index > lastIndexOf(state) {
		return raft.Entry{}, false
	}
	return state.Entries[index-state.Entries[0].Index], true
}

func termAt(state raft.PersistentState, index uint64) uint64 {
	if index == state.Snapshot.Index {
		return state.Snapshot.Term
	}
	entry, _ := entryAt(state, index)
	return entry.Term
}

// containsEntry reports whether a log contains an entry or has a snapshot that covers it.
func containsEntry(state raft.PersistentState, entry raft.Entry) bool {
	if state.Snapshot.Index >= entry.Index {
		return true
	}
	found, ok := entryAt(state, entry.Index)
	return ok && sameEntry(found, entry)
}

func sameEntry(a, b raft.Entry) bool {
	return a.Index == b.Index && a.Term == b.Term && a.Kind == b.Kind &&
		bytes.Equal(a.Data, b.Data) && sameMembership(a.Membership, b.Membership)
}

func sameMembership(a, b raft.Membership) bool {
	return slices.Equal(a.Voters, b.Voters) && slices.Equal(a.Learners, b.Learners)
}
