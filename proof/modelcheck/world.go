// Package modelcheck walks the states of raft.Core: groups of a few replicas with
// small logs, every order of messages, syncs, crashes, wiped disks, snapshots and
// membership changes, within stated limits. After every step it checks the invariants
// that the rest of the system builds on (see invariants.go and history.go).
//
// A World is one state: the replicas, their disks and pending writes, the messages in
// flight, and the history that the invariants speak of. Explore visits every state up to
// a depth; Walk goes through random ones. Both report the first broken invariant with
// the actions that led there.
package modelcheck

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	"yardrock.example/system/raft"
)

// Model fixes the group that a World begins with, and how its replicas keep time.
type Model struct {
	// Voters are the founding voters.
	Voters []string
	// Learners are founding members that do not vote.
	Learners []string
	// Spares start with an empty disk and may be added as members.
	Spares []string
	// ElectionTicks and HeartbeatTicks go to every replica. With both 1, one tick is a
	// whole election timeout, and a replica's random generator decides nothing.
	ElectionTicks, HeartbeatTicks int
	// Seed seeds the replicas' election timeouts.
	Seed uint64
	// SyncWrites has every write reach its disk within the step that asks for it.
	SyncWrites bool
	// CommandBytes is the least size of a command; large ones travel one by one.
	CommandBytes int
	// SnapshotParts makes snapshots longer than two chunks; 0 means defaultSnapshotParts.
	SnapshotParts int
	// Replayable keeps each replica's inputs, so that a World can be forked.
	Replayable bool
}

// foundingIndex and foundingTerm are where the log of every group begins.
const foundingIndex, foundingTerm = 1, 1

const (
	// founder stands for the maker of the snapshot that a group begins with.
	founder = "founder"
	// defaultSnapshotParts and chunkBytes have a snapshot travel in two chunks.
	defaultSnapshotParts = 2
	chunkBytes           = 8
)

// replica is one replica with its disk.
type replica struct {
	name    string
	core    *raft.Core
	disk    raft.PersistentState
	pending []*raft.Write
	// wiped reports that the disk was wiped: the name stays a member, but never answers.
	wiped bool

	// begin and inputs rebuild the core when the World is forked.
	begin  raft.PersistentState
	inputs []*raft.Input

	status raft.Status
	stored raft.PersistentState
	hash   fingerprint
	hashed bool
}

// World is one state of a group. It is not safe for concurrent use.
type World struct {
	model      *Model
	replicas   []*replica
	owned      uint64   // bit set of the replicas that no other World shares
	inFlight   []packet // sorted by key
	history    history
	spent      [actionKinds]uint16 // actions so far, against Limits
	outcomes   *Outcomes
	violation  *Violation
	generation int
}

// NewWorld founds a group as a Model says.
func NewWorld(model *Model) *World {
	world := &World{model: model, outcomes: &Outcomes{}}
	founding := raft.Membership{Voters: model.Voters, Learners: model.Learners}
	world.history.found(founding)
	stored := raft.PersistentState{
		HardState: raft.HardState{Term: foundingTerm},
		Snapshot:  raft.Snapshot{Index: foundingIndex, Term: foundingTerm, Membership: founding, Data: model.snapshotAt(foundingIndex, founder)},
	}
	for _, name := range slices.Concat(model.Voters, model.Learners) {
		world.add(name, stored)
	}
	for _, name := range model.Spares {
		world.add(name, raft.PersistentState{})
	}
	return world
}

// add starts a replica on a disk.
func (world *World) add(name string, disk raft.PersistentState) {
	added := &replica{name: name, disk: disk}
	added.start(world.model)
	world.owned |= 1 << len(world.replicas)
	world.replicas = append(world.replicas, added)
}

// settings derives each replica's seed from its name, so that a copy decides the same.
func (replica *replica) settings(model *Model) raft.Settings {
	seed := model.Seed
	for _, letter := range replica.name {
		seed = seed*31 + uint64(letter)
	}
	return raft.Settings{Name: replica.name, ElectionTicks: model.ElectionTicks, HeartbeatTicks: model.HeartbeatTicks, Seed: seed, ChunkBytes: chunkBytes}
}

// start makes the core anew from what the disk holds.
func (replica *replica) start(model *Model) {
	replica.pending = nil
	replica.begin = cloneStored(replica.disk)
	replica.inputs = nil
	replica.core = raft.New(replica.settings(model), replica.begin)
	replica.observe()
}

// observe refreshes what the checks read of the core.
func (replica *replica) observe() {
	replica.status = replica.core.Status()
	replica.stored = replica.core.PersistentState()
	replica.hashed = false
}

// copy rebuilds the replica from its inputs, apart from the original.
func (replica *replica) copy(model *Model) *replica {
	copied := *replica
	copied.pending = slices.Clone(replica.pending)
	copied.inputs = slices.Clip(replica.inputs)
	copied.core = raft.New(replica.settings(model), replica.begin)
	for _, input := range replica.inputs {
		copied.core.Step(*input)
	}
	return &copied
}

// cloneStored copies the entries, which a core may change in place.
func cloneStored(stored raft.PersistentState) raft.PersistentState {
	stored.Entries = slices.Clone(stored.Entries)
	return stored
}

// fork returns a copy of the World that continues independently. The model must be Replayable.
func (world *World) fork() *World {
	copied := *world
	copied.replicas = slices.Clone(world.replicas)
	copied.owned = 0
	copied.inFlight = slices.Clone(world.inFlight)
	copied.history = world.history.fork()
	copied.outcomes = &Outcomes{}
	return &copied
}

// own returns the replica at a position, copied if another World shares it.
func (world *World) own(position int) *replica {
	if world.owned&(1<<position) == 0 {
		world.replicas[position] = world.replicas[position].copy(world.model)
		world.owned |= 1 << position
	}
	return world.replicas[position]
}

func (world *World) position(name string) int {
	return slices.IndexFunc(world.replicas, func(one *replica) bool { return one.name == name })
}

// replica returns the replica of a name, or nil.
func (world *World) replica(name string) *replica {
	position := world.position(name)
	if position < 0 {
		return nil
	}
	return world.replicas[position]
}

// find returns the index of a message in flight, or where it would be inserted.
func (world *World) find(key messageKey) (int, bool) {
	return slices.BinarySearchFunc(world.inFlight, key, func(one packet, key messageKey) int { return cmp.Compare(one.key, key) })
}

// send puts a message in flight, unless its receiver is wiped.
func (world *World) send(message raft.Message) {
	receiver := world.replica(message.To)
	if receiver == nil || receiver.wiped {
		return
	}
	sent := packet{key: keyOf(&message), message: &message}
	at, _ := world.find(sent.key)
	world.inFlight = slices.Insert(world.inFlight, at, sent)
}

// Apply does one action and checks the invariants. It returns false, and does nothing, if the
// action is not enabled in this state.
//
//revive:disable-next-line:cyclomatic one case for each kind of action
func (world *World) Apply(action Action) bool {
	position := world.position(action.Replica)
	if position < 0 || world.replicas[position].wiped || !world.isEnabled(action) {
		return false
	}
	world.spent[action.Kind]++
	world.outcomes.Actions[action.Kind]++
	chosen := world.own(position)
	switch action.Kind {
	case ActionDeliver, ActionDuplicate, ActionDrop:
		world.deliver(chosen, action)
	case ActionSync:
		world.sync(chosen)
	case ActionTick:
		world.step(chosen, raft.Input{Kind: raft.InputTick})
	case ActionPropose:
		world.step(chosen, raft.Input{Kind: raft.InputPropose, Data: world.history.nextCommand(world.model.CommandBytes)})
	case ActionRead:
		world.step(chosen, raft.Input{Kind: raft.InputReadIndex, Context: world.history.startRead()})
	case ActionCrash:
		world.crash(chosen, action.Count)
	case ActionWipe:
		world.wipe(chosen)
	case ActionCompact:
		world.step(chosen, raft.Input{Kind: raft.InputCompact, Index: chosen.core.Applied(), Data: world.model.snapshotAt(chosen.core.Applied(), chosen.name)})
	case ActionTransferLeadership:
		world.step(chosen, raft.Input{Kind: raft.InputTransferLeadership, Peer: action.Peer})
	case ActionChange:
		world.step(chosen, raft.Input{Kind: raft.InputChangeMembership, Membership: chosen.changed(action)})
	case ActionSuspect:
		world.step(chosen, raft.Input{Kind: raft.InputSuspect, Peer: action.Peer})
	}
	if world.model.SyncWrites {
		for world.violation == nil && len(chosen.pending) > 0 {
			world.sync(chosen)
		}
	}
	return true
}

// isEnabled reports whether an action is possible in this state.
func (world *World) isEnabled(action Action) bool {
	chosen := world.replica(action.Replica)
	switch action.Kind {
	case ActionDeliver, ActionDuplicate, ActionDrop:
		_, found := world.find(action.Message)
		return found
	case ActionSync:
		return len(chosen.pending) > 0
	case ActionCrash:
		return action.Count <= len(chosen.pending)
	case ActionCompact:
		return chosen.core.EntriesSinceSnapshot() > 0
	case ActionChange:
		return chosen.status.Leading
	}
	return true
}

// deliver takes a message out of flight, unless it is duplicated, and steps its receiver with
// it, unless it is dropped.
func (world *World) deliver(receiver *replica, action Action) {
	at, _ := world.find(action.Message)
	message := world.inFlight[at].message
	if action.Kind != ActionDuplicate {
		world.inFlight = slices.Delete(world.inFlight, at, at+1)
	}
	if action.Kind != ActionDrop {
		world.step(receiver, raft.Input{Kind: raft.InputMessage, Message: *message})
	}
}

// step feeds one input to a core and takes its output.
func (world *World) step(stepped *replica, input raft.Input) {
	before := observed{status: stepped.status, stored: stepped.stored}
	if world.model.Replayable {
		stepped.inputs = append(stepped.inputs, &input)
	}
	output := stepped.core.Step(input)
	stepped.observe()
	if output.Write != nil {
		stepped.pending = append(stepped.pending, output.Write)
	}
	world.checkStep(stepped, before, input, output)
	for _, message := range output.Messages {
		world.send(message)
	}
}

// store lets the oldest pending write reach the disk.
func (world *World) store(owner *replica) *raft.Write {
	write := owner.pending[0]
	owner.pending = owner.pending[1:]
	before := owner.disk
	owner.disk = cloneStored(owner.disk).With(write)
	owner.hashed = false
	world.checkDisk(owner, before)
	return write
}

// sync completes the oldest pending write of a replica and tells its core.
func (world *World) sync(owner *replica) {
	write := world.store(owner)
	world.step(owner, raft.Input{Kind: raft.InputSynced, Number: write.Number})
}

// crash restarts a replica; the first writes of those pending reached the disk.
func (world *World) crash(crashed *replica, stored int) {
	for range stored {
		world.store(crashed)
	}
	crashed.start(world.model)
	world.checkRestart(crashed)
}

// wipe removes a replica permanently and starts an empty one under a new name.
func (world *World) wipe(wiped *replica) {
	wiped.wiped = true
	wiped.pending = nil
	wiped.hashed = false
	world.inFlight = slices.DeleteFunc(world.inFlight, func(one packet) bool { return one.message.To == wiped.name })
	world.generation++
	world.add(fmt.Sprintf("%s%d", wiped.name[:1], world.generation+1), raft.PersistentState{})
}

// changed returns the membership that a change asks for.
func (replica *replica) changed(action Action) raft.Membership {
	now := replica.status.Membership
	next := raft.Membership{Voters: slices.Clone(now.Voters), Learners: raft.Without(now.Learners, action.Peer)}
	switch action.Change {
	case ChangeAddLearner:
		next.Learners = append(next.Learners, action.Peer)
	case ChangeAddVoter, ChangeNameTwice:
		next.Voters = append(next.Voters, action.Peer)
	case ChangeRemove:
		next.Voters = raft.Without(now.Voters, action.Peer)
	case ChangeSwap:
		leaving := now.Voters[len(now.Voters)-1]
		next.Voters = append(raft.Without(now.Voters, leaving), action.Peer)
	}
	return next
}

// snapshotAt is the content of a snapshot that a replica makes at an index. Those of two
// replicas differ, as real ones may.
func (model *Model) snapshotAt(index uint64, maker string) []byte {
	parts := defaultSnapshotParts
	if model.SnapshotParts > 0 {
		parts = model.SnapshotParts
	}
	return bytes.Repeat(fmt.Appendf(nil, "%d by %s;", index, maker), parts)
}

// isSnapshot reports that a snapshot's content is what one replica made at an index.
func (model *Model) isSnapshot(content []byte, index uint64) bool {
	first, _, _ := bytes.Cut(content, []byte(";"))
	maker, found := bytes.CutPrefix(first, fmt.Appendf(nil, "%d by ", index))
	return found && bytes.Equal(content, model.snapshotAt(index, string(maker)))
}
