package raft

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
)

// simulatedGroup runs the cores of one group over a simulated network that loses, duplicates and
// reorders messages, and disks that lose unsynced writes. All randomness comes from one seed. It
// checks safety properties after every step.
type simulatedGroup struct {
	random *rand.Rand
	names  []string
	cores  map[string]*Core
	disks  map[string]PersistentState
	// unsynced has the writes of each replica that a restart may lose.
	unsynced map[string][]*Write
	inFlight []Message
	// isolated has the replicas that are partitioned from all others.
	isolated map[string]bool

	// Expected state for the safety checks: the leader by term, the committed entry by index,
	// the last applied index by replica, and the minimum read index by read context.
	leaders      map[uint64]string
	committed    map[uint64]Entry
	applied      map[string]uint64
	minReadIndex map[uint64]uint64

	confirmedReads int
	// proposed counts the requested commands and reads.
	proposed int
	// failure is the safety violation found, or nil.
	failure error
}

// newSimulatedGroup bootstraps a group with three voters and starts all replicas.
func newSimulatedGroup(seed uint64, size int) *simulatedGroup {
	group := &simulatedGroup{
		random: rand.New(rand.NewPCG(seed, 1)), cores: map[string]*Core{}, disks: map[string]PersistentState{},
		unsynced: map[string][]*Write{}, leaders: map[uint64]string{}, committed: map[uint64]Entry{},
		applied: map[string]uint64{}, minReadIndex: map[uint64]uint64{}, isolated: map[string]bool{},
	}
	for index := range size {
		group.names = append(group.names, fmt.Sprintf("node%d", index))
	}
	bootstrap := PersistentState{HardState: HardState{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Membership: Membership{Voters: group.names[:3]}}}
	for index, name := range group.names {
		if index < 3 {
			group.disks[name] = bootstrap
		}
		group.start(name)
	}
	return group
}

// start starts a replica from its disk and drops its unsynced writes.
func (group *simulatedGroup) start(name string) {
	group.unsynced[name] = nil
	if err := group.disks[name].Check(); err != nil {
		group.failure = fmt.Errorf("%s starts from an invalid persistent state: %w", name, err)
	}
	group.cores[name] = New(Settings{Name: name, ElectionTicks: 10, HeartbeatTicks: 2, Seed: group.random.Uint64(), ChunkBytes: 3}, group.disks[name])
	group.applied[name] = group.disks[name].Snapshot.Index
}

// snapshotData returns the content of every replica's snapshot at an index.
func snapshotData(index uint64) []byte { return fmt.Appendf(nil, "snapshot of %d", index) }

// step passes one input to a replica, checks the output and queues its write and messages.
func (group *simulatedGroup) step(name string, input Input) Output {
	core := group.cores[name]
	output := core.Step(input)
	group.checkApplied(name, output)
	if output.Write != nil {
		group.unsynced[name] = append(group.unsynced[name], output.Write)
	}
	if term, leading := core.Leading(); leading {
		if other, seen := group.leaders[term]; seen && other != name {
			group.failure = fmt.Errorf("term %d has two leaders, %s and %s", term, other, name)
		}
		group.leaders[term] = name
	}
	group.checkReads(output)
	group.inFlight = append(group.inFlight, output.Messages...)
	return output
}

// checkApplied checks that a replica applies the same entries as all others and without gaps.
func (group *simulatedGroup) checkApplied(name string, output Output) {
	if output.Snapshot != nil {
		if !bytes.Equal(output.Snapshot.Data, snapshotData(output.Snapshot.Index)) && output.Snapshot.Index > 1 {
			group.failure = fmt.Errorf("%s installed %q as the snapshot at index %d", name, output.Snapshot.Data, output.Snapshot.Index)
		}
		group.applied[name] = output.Snapshot.Index
	}
	for _, entry := range output.CommittedEntries {
		if entry.Index != group.applied[name]+1 {
			group.failure = fmt.Errorf("%s applied index %d after index %d", name, entry.Index, group.applied[name])
		}
		group.applied[name] = entry.Index
		known, seen := group.committed[entry.Index]
		if seen && (known.Term != entry.Term || string(known.Data) != string(entry.Data)) {
			group.failure = fmt.Errorf("%s committed %v at index %d, another replica committed %v", name, entry, entry.Index, known)
		}
		group.committed[entry.Index] = entry
	}
}

// checkReads checks that a confirmed read covers all entries committed before it was requested.
func (group *simulatedGroup) checkReads(output Output) {
	for _, result := range output.ReadResults {
		if !result.Rejected {
			group.confirmedReads++
			if result.Index < group.minReadIndex[result.Context] {
				group.failure = fmt.Errorf("read %d has read index %d, want at least %d", result.Context, result.Index, group.minReadIndex[result.Context])
			}
		}
	}
}

// sync makes the oldest count writes of a replica durable.
func (group *simulatedGroup) sync(name string, count int) {
	writes := group.unsynced[name][:count]
	group.unsynced[name] = group.unsynced[name][count:]
	for _, write := range writes {
		group.disks[name] = group.disks[name].With(write)
	}
	if count > 0 {
		group.step(name, Input{Kind: InputSynced, Number: writes[count-1].Number})
	}
}

// deliver removes the message at a position in inFlight, and delivers it unless its sender or
// receiver is isolated.
func (group *simulatedGroup) deliver(position int) {
	message := group.inFlight[position]
	group.inFlight = slices.Delete(group.inFlight, position, position+1)
	if !group.isolated[message.From] && !group.isolated[message.To] {
		group.step(message.To, Input{Kind: InputMessage, Message: message})
	}
}

// leader returns the leader of the latest term, or "".
func (group *simulatedGroup) leader() string {
	latest, latestTerm := "", uint64(0)
	for _, name := range group.names {
		if term, leading := group.cores[name].Leading(); leading && term > latestTerm {
			latest, latestTerm = name, term
		}
	}
	return latest
}

func (group *simulatedGroup) highestCommitted() uint64 {
	highest := uint64(0)
	for index := range group.committed {
		highest = max(highest, index)
	}
	return highest
}

// randomEvent runs one random event. Fault events occur only with faults set.
func (group *simulatedGroup) randomEvent(faults bool) {
	name := group.names[group.random.IntN(len(group.names))]
	chance := group.random.IntN(1000)
	switch {
	case chance < 150:
		group.step(name, Input{Kind: InputTick})
	case chance < 600 && len(group.inFlight) > 0:
		group.deliver(group.random.IntN(len(group.inFlight)))
	case chance < 750:
		group.sync(name, group.random.IntN(len(group.unsynced[name])+1))
	case chance < 850:
		group.proposed++
		group.step(name, Input{Kind: InputPropose, Data: fmt.Appendf(nil, "command %d", group.proposed)})
	case chance < 880:
		group.proposed++
		context := uint64(group.proposed)
		group.minReadIndex[context] = group.highestCommitted()
		group.step(name, Input{Kind: InputReadIndex, Context: context})
	case chance < 890:
		group.step(name, Input{Kind: InputCompact, Index: group.applied[name], Data: snapshotData(group.applied[name])})
	case chance < 900:
		group.randomMembershipChange(name)
	case chance < 903:
		group.step(name, Input{Kind: InputTransferLeadership, Peer: group.names[group.random.IntN(3)]})
	case faults:
		group.randomFault(name, chance)
	}
}

// randomFault drops or duplicates a message, restarts a replica, or isolates or reconnects it.
func (group *simulatedGroup) randomFault(name string, chance int) {
	switch {
	case chance < 930 && len(group.inFlight) > 0:
		position := group.random.IntN(len(group.inFlight))
		group.inFlight = slices.Delete(group.inFlight, position, position+1)
	case chance < 950 && len(group.inFlight) > 0:
		group.inFlight = append(group.inFlight, group.inFlight[group.random.IntN(len(group.inFlight))])
	case chance < 956:
		group.sync(name, group.random.IntN(len(group.unsynced[name])+1)) // start loses the remaining writes
		group.start(name)
	case chance < 960:
		group.isolated[name] = !group.isolated[name]
	}
}

// randomMembershipChange proposes to add a learner, promote a learner, or remove a voter.
func (group *simulatedGroup) randomMembershipChange(name string) {
	membership := group.cores[name].Status().Membership
	other := group.names[group.random.IntN(len(group.names))]
	next := Membership{Voters: slices.Clone(membership.Voters), Learners: slices.Clone(membership.Learners)}
	if at := slices.Index(next.Voters, other); at >= 0 && len(next.Voters) > 2 {
		next.Voters = slices.Delete(next.Voters, at, at+1)
	} else if at := slices.Index(next.Learners, other); at >= 0 {
		next.Learners = slices.Delete(next.Learners, at, at+1)
		next.Voters = append(next.Voters, other)
	} else if at < 0 {
		next.Learners = append(next.Learners, other)
	}
	group.step(name, Input{Kind: InputChangeMembership, Membership: next})
}

// heal ends all partitions and runs the group without faults until every voter has applied a new
// command. It returns false after 2000 rounds or if a safety check fails.
func (group *simulatedGroup) heal() bool {
	group.isolated = map[string]bool{}
	target := uint64(0)
	for round := 0; round < 2000; round++ {
		for _, name := range group.names {
			group.step(name, Input{Kind: InputTick})
			group.sync(name, len(group.unsynced[name]))
		}
		for len(group.inFlight) > 0 && group.failure == nil {
			group.deliver(0)
			for _, name := range group.names {
				group.sync(name, len(group.unsynced[name]))
			}
		}
		if group.failure != nil {
			return false
		}
		name := group.leader()
		if name == "" {
			continue
		}
		if target == 0 || target > group.cores[name].Status().LastIndex { // not proposed yet, or lost with its leader
			target = group.step(name, Input{Kind: InputPropose, Data: []byte("last")}).ProposedIndex
			continue
		}
		reached := true
		for _, voter := range group.cores[name].Status().Membership.Voters {
			reached = reached && group.applied[voter] >= target
		}
		if reached {
			return true
		}
	}
	return false
}
