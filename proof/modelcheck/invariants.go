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
	// CommittedStays means that no log and no disk that has a committed entry ever loses it.
	CommittedStays Invariant = "a committed entry is never replaced"
	// CommittedOnMajority means that what a leader commits is on the disks of a majority of
	// the voters.
	CommittedOnMajority Invariant = "a committed entry is on the disks of a majority"
	// StateMachineSafety is State Machine Safety (figure 3): all replicas apply the same entry
	// at an index, in order.
	StateMachineSafety Invariant = "state machine safety"
	// ReadsAreLinearizable means that a confirmed read index covers everything that was
	// committed when the read was requested (thesis, section 6.4).
	ReadsAreLinearizable Invariant = "a confirmed read is fresh"
	// PromisesArePersisted means that what a message promises (a vote, a term, an acknowledged
	// append) is on disk before the message leaves.
	PromisesArePersisted Invariant = "a promise is on disk before it leaves"
	// MajoritiesOverlap means that any majorities of two successive voter sets share a replica,
	// and that no membership change is appended before the previous one is committed
	// (thesis, section 4.1).
	MajoritiesOverlap Invariant = "successive majorities overlap"
	// Monotonicity means that terms, votes, commit indexes and snapshots never go back.
	Monotonicity Invariant = "nothing goes back"
)

// Violation is the first broken invariant of a run, and the actions that led there.
type Violation struct {
	Invariant Invariant `json:"invariant"`
	Detail    string    `json:"detail"`
	Trace     []string  `json:"trace"`
}

// observed is what the checks compare a replica's next state with.
type observed struct {
	status raft.Status
	stored raft.PersistentState
}

func (world *World) violate(broken Invariant, format string, arguments ...any) {
	if world.violation == nil {
		world.violation = &Violation{Invariant: broken, Detail: fmt.Sprintf(format, arguments...)}
	}
}

// checkStep checks all that a step of one replica can break.
func (world *World) checkStep(stepped *replica, before observed, input raft.Input, output raft.Output) {
	world.checkProgress(stepped, before)
	world.checkApplied(stepped, before, output)
	world.checkCommittedKept(stepped.name+"'s log", before.stored, stepped.stored)
	world.checkSnapshot(stepped.name, stepped.stored.Snapshot)
	world.checkLeader(stepped, before)
	for _, other := range world.replicas {
		if other != stepped {
			world.checkLogsMatch(stepped, other)
		}
	}
	world.checkVoters(stepped)
	world.checkChange(stepped, before, input, output)
	for _, message := range output.Messages {
		world.checkPersisted(stepped, message)
	}
	for _, answer := range output.ReadResults {
		world.checkRead(stepped, answer)
	}
}

func (world *World) checkProgress(stepped *replica, before observed) {
	now := stepped.status
	if now.Term < before.status.Term || now.CommitIndex < before.status.CommitIndex {
		world.violate(Monotonicity, "%s went from term %d commit %d to term %d commit %d", stepped.name,
			before.status.Term, before.status.CommitIndex, now.Term, now.CommitIndex)
	}
	world.checkState(stepped.name, before.stored, stepped.stored)
}

// checkState looks at the term, vote and snapshot of a core or of a disk.
func (world *World) checkState(name string, before, after raft.PersistentState) {
	if after.HardState.Term < before.HardState.Term || after.Snapshot.Index < before.Snapshot.Index {
		world.violate(Monotonicity, "%s went from term %d snapshot %d to term %d snapshot %d", name,
			before.HardState.Term, before.Snapshot.Index, after.HardState.Term, after.Snapshot.Index)
	}
	if after.HardState.Term == before.HardState.Term && before.HardState.VotedFor != "" && after.HardState.VotedFor != before.HardState.VotedFor {
		world.violate(Monotonicity, "%s voted for %s and then for %q in term %d", name, before.HardState.VotedFor, after.HardState.VotedFor, after.HardState.Term)
	}
}

// checkDisk checks what a write did to a disk.
func (world *World) checkDisk(owner *replica, before raft.PersistentState) {
	world.checkState(owner.name+"'s disk", before, owner.disk)
	world.checkCommittedKept(owner.name+"'s disk", before, owner.disk)
}

func (world *World) checkRestart(restarted *replica) {
	world.checkSnapshot(restarted.name, restarted.stored.Snapshot)
	if restarted.status.Term != restarted.disk.HardState.Term {
		world.violate(Monotonicity, "%s restarted in term %d with term %d on its disk", restarted.name, restarted.status.Term, restarted.disk.HardState.Term)
	}
	for _, other := range world.replicas {
		if other != restarted {
			world.checkLogsMatch(restarted, other)
		}
	}
}

// checkApplied takes the entries that a step committed into the history.
func (world *World) checkApplied(stepped *replica, before observed, output raft.Output) {
	applied := before.status.CommitIndex
	if output.Snapshot != nil {
		world.outcomes.Restores++
		world.checkRestore(stepped, *output.Snapshot)
		applied = output.Snapshot.Index
	}
	for _, entry := range output.CommittedEntries {
		if entry.Index != applied+1 {
			world.violate(StateMachineSafety, "%s applied %d after %d", stepped.name, entry.Index, applied)
		}
		applied = entry.Index
		world.checkCommitted(stepped, before, entry)
	}
	if applied != stepped.core.Applied() || applied != stepped.status.CommitIndex {
		world.violate(StateMachineSafety, "%s gave entries up to %d for applying, tells %d and has committed %d", stepped.name,
			applied, stepped.core.Applied(), stepped.status.CommitIndex)
	}
}

func (world *World) checkRestore(stepped *replica, point raft.Snapshot) {
	world.checkSnapshot(stepped.name, point)
	if !world.model.isSnapshot(point.Data, point.Index) {
		world.violate(StateMachineSafety, "%s restores %q at index %d", stepped.name, point.Data, point.Index)
	}
}

func (world *World) checkCommitted(stepped *replica, before observed, entry raft.Entry) {
	if entry.Index <= world.history.highest() {
		known, _ := world.history.committedAt(entry.Index)
		if !sameEntry(known.entry, entry) {
			world.violate(StateMachineSafety, "%s applies %s where %s is committed", stepped.name, describeEntry(entry), describeEntry(known.entry))
		}
		return
	}
	if !before.status.Leading {
		world.violate(StateMachineSafety, "%s, which does not lead, applies %s before any leader has committed it", stepped.name, describeEntry(entry))
	}
	world.outcomes.Commits++
	if entry.Kind == raft.EntryMembership {
		world.outcomes.Changes++
	}
	world.history.committed = append(world.history.committed, commitment{entry: entry, term: before.status.Term})
	world.checkMajority(stepped, entry)
}

// checkMajority wants a newly committed entry on the disks of a majority.
func (world *World) checkMajority(leader *replica, entry raft.Entry) {
	voters := leader.status.Membership.Voters
	holders := []string{}
	for _, name := range voters {
		if voter := world.replica(name); voter != nil && containsEntry(voter.disk, entry) {
			holders = append(holders, name)
		}
	}
	if len(holders) <= len(voters)/2 {
		world.violate(CommittedOnMajority, "%s commits %s, which is on the disks of %v, of the voters %v", leader.name, describeEntry(entry), holders, voters)
	}
}

// checkCommittedKept wants every committed entry that was there before a step to be there after it.
func (world *World) checkCommittedKept(where string, before, after raft.PersistentState) {
	for _, known := range world.history.committed {
		if containsEntry(before, known.entry) && !containsEntry(after, known.entry) {
			world.violate(CommittedStays, "%s loses %s, which is committed", where, describeEntry(known.entry))
		}
	}
}

func (world *World) checkSnapshot(name string, point raft.Snapshot) {
	if point.Index == 0 {
		return
	}
	term, committed := world.history.termAt(point.Index)
	if !committed || term != point.Term {
		world.violate(StateMachineSafety, "%s has a snapshot at %d of term %d, where term %d is committed", name, point.Index, point.Term, term)
		return
	}
	if want := world.history.replicasAt(point.Index); !sameReplicas(want, point.Membership) {
		world.violate(StateMachineSafety, "%s has a snapshot at %d with the members %v, where %v are committed", name, point.Index, point.Membership, want)
	}
}

// checkLeader looks at a replica that has just become a leader.
func (world *World) checkLeader(stepped *replica, before observed) {
	now := stepped.status
	if !now.Leading || before.status.Leading && before.status.Term == now.Term {
		return
	}
	world.outcomes.Elections++
	if other := world.history.leader(now.Term); other != "" && other != stepped.name {
		world.violate(OneLeaderPerTerm, "%s and %s both led in term %d", other, stepped.name, now.Term)
	}
	world.history.leaders = append(world.history.leaders, leadership{term: now.Term, name: stepped.name})
	for _, known := range world.history.committed {
		if known.term < now.Term && !containsEntry(stepped.stored, known.entry) {
			world.violate(LeaderCompleteness, "%s leads term %d without %s, which was committed in term %d", stepped.name, now.Term, describeEntry(known.entry), known.term)
		}
	}
}

// checkLogsMatch compares two logs from the top: below an index at which both have the
// same term, they are equal.
func (world *World) checkLogsMatch(one, other *replica) {
	lowest := max(one.stored.Snapshot.Index, other.stored.Snapshot.Index)
	matching := false
	for index := min(one.status.LastIndex, other.status.LastIndex); index >= lowest && index > 0; index-- {
		same := termAt(one.stored, index) == termAt(other.stored, index)
		if matching && !same {
			world.violate(LogMatching, "%s and %s differ at %d though they agree on the term of a later index", one.name, other.name, index)
		}
		matching = matching || same
		oneEntry, oneFound := entryAt(one.stored, index)
		otherEntry, otherFound := entryAt(other.stored, index)
		if same && oneFound && otherFound && !sameEntry(oneEntry, otherEntry) {
			world.violate(LogMatching, "%s has %s where %s has %s", one.name, describeEntry(oneEntry), other.name, describeEntry(otherEntry))
		}
	}
}

// checkVoters looks at the voter sets of one log, in their order.
func (world *World) checkVoters(stepped *replica) {
	before := stepped.stored.Snapshot.Membership.Voters
	uncommitted := 0
	for _, entry := range stepped.stored.Entries {
		if entry.Kind != raft.EntryMembership {
			continue
		}
		if entry.Index > world.history.highest() {
			uncommitted++
		}
		if len(before) > 0 && !majoritiesOverlap(before, entry.Membership.Voters) {
			world.violate(MajoritiesOverlap, "the log of %s goes from voters %v to %v at %d", stepped.name, before, entry.Membership.Voters, entry.Index)
		}
		if voters := slices.Sorted(slices.Values(entry.Membership.Voters)); len(slices.Compact(voters)) < len(entry.Membership.Voters) {
			world.violate(MajoritiesOverlap, "the log of %s names a voter twice in %v at %d", stepped.name, entry.Membership.Voters, entry.Index)
		}
		before = entry.Membership.Voters
	}
	if uncommitted > 1 {
		world.violate(MajoritiesOverlap, "the log of %s has %d membership changes that are not committed", stepped.name, uncommitted)
	}
}

// checkChange looks at a membership change that a leader took on.
func (world *World) checkChange(stepped *replica, before observed, input raft.Input, output raft.Output) {
	if input.Kind != raft.InputChangeMembership || output.ProposedIndex == 0 {
		return
	}
	if termAt(before.stored, before.status.CommitIndex) != before.status.Term {
		world.violate(MajoritiesOverlap, "%s takes a membership change before it has committed an entry of its term %d", stepped.name, before.status.Term)
	}
}

// majoritiesOverlap reports that each majority of one set shares a member with each of the other.
func majoritiesOverlap(one, other []string) bool {
	union := len(one)
	for _, name := range other {
		if !slices.Contains(one, name) {
			union++
		}
	}
	return len(one)/2+1+len(other)/2+1 > union
}

// checkPersisted looks at a message that leaves a replica, and at the disk of its sender.
func (world *World) checkPersisted(sender *replica, message raft.Message) {
	disk := sender.disk
	term := message.Term
	switch {
	case message.Kind == raft.MessagePreVote, message.Kind == raft.MessagePreVoteReply && !message.Rejected:
		return // they speak of a term that nobody has entered
	case disk.HardState.Term < term:
		world.violate(PromisesArePersisted, "%s sends %q with term %d on its disk", sender.name, describeMessage(&message), disk.HardState.Term)
	case disk.HardState.Term > term || message.Rejected:
		return // the promise was overtaken by a later term, or is none
	}
	switch message.Kind {
	case raft.MessageVote:
		if disk.HardState.VotedFor != sender.name {
			world.violate(PromisesArePersisted, "%s stands in term %d with a vote for %q on its disk", sender.name, term, disk.HardState.VotedFor)
		}
	case raft.MessageVoteReply:
		if disk.HardState.VotedFor != message.To {
			world.violate(PromisesArePersisted, "%s votes for %s in term %d with a vote for %q on its disk", sender.name, message.To, term, disk.HardState.VotedFor)
		}
	case raft.MessageAppendReply:
		if lastOf(disk) < message.Index {
			world.violate(PromisesArePersisted, "%s acknowledges %d with a log up to %d on its disk", sender.name, message.Index, lastOf(disk))
		}
	}
}

func (world *World) checkRead(stepped *replica, answer raft.ReadResult) {
	sent, known := world.history.finishRead(answer.Context)
	if !known || answer.Rejected {
		return
	}
	world.outcomes.ConfirmedReads++
	if answer.Index < sent.committed {
		world.violate(ReadsAreLinearizable, "%s confirms a read at %d, asked for when %d was committed", stepped.name, answer.Index, sent.committed)
	}
}

func lastOf(stored raft.PersistentState) uint64 {
	if count := len(stored.Entries); count > 0 {
		return stored.Entries[count-1].Index
	}
	return stored.Snapshot.Index
}

func entryAt(stored raft.PersistentState, index uint64) (raft.Entry, bool) {
	if len(stored.Entries) == 0 || index < stored.Entries[0].Index || index > lastOf(stored) {
		return raft.Entry{}, false
	}
	return stored.Entries[index-stored.Entries[0].Index], true
}

func termAt(stored raft.PersistentState, index uint64) uint64 {
	if index == stored.Snapshot.Index {
		return stored.Snapshot.Term
	}
	entry, _ := entryAt(stored, index)
	return entry.Term
}

// containsEntry reports that a log has an entry, or a snapshot that stands for it.
func containsEntry(stored raft.PersistentState, entry raft.Entry) bool {
	if stored.Snapshot.Index >= entry.Index {
		return true
	}
	found, there := entryAt(stored, entry.Index)
	return there && sameEntry(found, entry)
}

func sameEntry(one, other raft.Entry) bool {
	return one.Index == other.Index && one.Term == other.Term && one.Kind == other.Kind &&
		bytes.Equal(one.Data, other.Data) && sameReplicas(one.Membership, other.Membership)
}

func sameReplicas(one, other raft.Membership) bool {
	return slices.Equal(one.Voters, other.Voters) && slices.Equal(one.Learners, other.Learners)
}
