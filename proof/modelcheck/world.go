// Package modelcheck is a model checker for raft.Core. It explores groups of a few replicas
// with short logs under all interleavings of messages, syncs, crashes, lost disks, snapshots
// and membership changes, within given limits. After every step it checks the invariants
// that the rest of the system relies on (see invariants.go and history.go).
//
// A World is one state: the replicas, their disks and pending writes, the messages in
// flight, and the history that the invariants refer to. Explore visits every state up to a
// depth; Walk visits random ones. Both report the first invariant violation with the
// actions that led to it.
package modelcheck

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	"yardrock.example/system/raft"
)

// Model describes the initial group of a World and the timing of its replicas.
type Model struct {
	// Voters are the initial voters.
	Voters []string
	// Learners are the initial members that do not vote.
	Learners []string
	// Spares are replicas with an empty disk that may be added as members.
	Spares []string
	// ElectionTicks and HeartbeatTicks are settings of every replica. If both are 1, one
	// tick is a whole election timeout, and randomized timeouts have no effect.
	ElectionTicks, HeartbeatTicks int
	// Seed seeds the replicas' election timeouts.
	Seed uint64
	// SyncWrites makes every write durable within the step that requests it.
	SyncWrites bool
	// CommandBytes is the minimum size of a command; large commands are sent one per message.
	CommandBytes int
	// SnapshotParts determines the length of snapshots; 0 means defaultSnapshotParts.
	SnapshotParts int
	// Replayable keeps each replica's inputs, so that a World can be forked.
	Replayable bool
}

// initialIndex and initialTerm are those of the snapshot that every group starts from.
const initialIndex, initialTerm = 1, 1

const (
	// initialSnapshotCreator is the creator named in a group's initial snapshot.
	initialSnapshotCreator = "founder"
	// With defaultSnapshotParts and chunkBytes, a snapshot takes multiple chunks.
	defaultSnapshotParts = 2
	chunkBytes           = 8
)

// replica is a raft core and its disk.
type replica struct {
	name    string
	core    *raft.Core
	disk    raft.PersistentState
	pending []*raft.Write
	// wiped reports that the disk was lost: the name remains a member but never responds.
	wiped bool

	// initial and inputs are replayed to rebuild the core in a forked World.
	initial raft.PersistentState
	inputs  []*raft.Input

	status            raft.Status
	state             raft.PersistentState
	cachedFingerprint fingerprint
	fingerprintCached bool
}

// World is one state of a group. It is not safe for concurrent use.
type World struct {
	model     *Model
	replicas  []*replica
	owned     uint64   // bit set of the replicas that are not shared with other Worlds
	inFlight  []packet // sorted by key
	history   history
	performed [actionKindCount]uint16 // actions so far, compared with Limits
	outcomes  *Outcomes
	violation *Violation
	wipes     int
}

// NewWorld returns the initial state of the group that a Model describes.
func NewWorld(model *Model) *World {
	world := &World{model: model, outcomes: &Outcomes{}}
	membership := raft.Membership{Voters: model.Voters, Learners: model.Learners}
	world.history.setInitialMembership(membership)
	state := raft.PersistentState{
		HardState: raft.HardState{Term: initialTerm},
		Snapshot:  raft.Snapshot{Index: initialIndex, Term: initialTerm, Membership: membership, Data: model.snapshotData(initialIndex, initialSnapshotCreator)},
	}
	for _, name := range slices.Concat(model.Voters, model.Learners) {
		world.addReplica(name, state)
	}
	for _, name := range model.Spares {
		world.addReplica(name, raft.PersistentState{})
	}
	return world
}

// addReplica starts a replica with the given disk contents.
func (world *World) addReplica(name string, disk raft.PersistentState) {
	added := &replica{name: name, disk: disk}
	added.start(world.model)
	world.owned |= 1 << len(world.replicas)
	world.replicas = append(world.replicas, added)
}

// settings derives the seed from the replica's name, so that a copy behaves identically.
func (r *replica) settings(model *Model) raft.Settings {
	seed := model.Seed
	for _, char := range r.name {
		seed = seed*31 + uint64(char)
	}
	return raft.Settings{Name: r.name, ElectionTicks: model.ElectionTicks, HeartbeatTicks: model.HeartbeatTicks, Seed: seed, ChunkBytes: chunkBytes}
}

// start creates the core from the contents of the disk.
func (r *replica) start(model *Model) {
	r.pending = nil
	r.initial = cloneState(r.disk)
	r.inputs = nil
	r.core = raft.New(r.settings(model), r.initial)
	r.refresh()
}

// refresh updates what the checks read of the core.
func (r *replica) refresh() {
	r.status = r.core.Status()
	r.state = r.core.PersistentState()
	r.fingerprintCached = false
}

// copy returns an independent replica, rebuilt by replaying the inputs.
func (r *replica) copy(model *Model) *replica {
	copied := *r
	copied.pending = slices.Clone(r.pending)
	copied.inputs = slices.Clip(r.inputs)
	copied.core = raft.New(r.settings(model), r.initial)
	for _, input := range r.inputs {
		copied.core.Step(*input)
	}
	return &copied
}

// cloneState copies the entries, which a core may modify in place.
func cloneState(state raft.PersistentState) raft.PersistentState {
	state.Entries = slices.Clone(state.Entries)
	return state
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

// mutable returns the replica at a position for modification. It first copies a replica
// that is shared with another World.
func (world *World) mutable(position int) *replica {
	if world.owned&(1<<position) == 0 {
		world.replicas[position] = world.replicas[position].copy(world.model)
		world.owned |= 1 << position
	}
	return world.replicas[position]
}

func (world *World) position(name string) int {
	return slices.IndexFunc(world.replicas, func(r *replica) bool { return r.name == name })
}

// replica returns the replica with a name, or nil.
func (world *World) replica(name string) *replica {
	position := world.position(name)
	if position < 0 {
		return nil
	}
	return world.replicas[position]
}

// find returns the index of a message in flight, or where it would be inserted.
func (world *World) find(key messageKey) (int, bool) {
	return slices.BinarySearchFunc(world.inFlight, key, func(p packet, key messageKey) int { return cmp.Compare(p.key, key) })
}

// send adds a message to those in flight, unless its receiver is unknown or wiped.
func (world *World) send(message raft.Message) {
	receiver := world.replica(message.To)
	if receiver == nil || receiver.wiped {
		return
	}
	sent := packet{key: keyOf(&message), message: &message}
	at, _ := world.find(sent.key)
	world.inFlight = slices.Insert(world.inFlight, at, sent)
}

// Apply performs one action and checks the invariants. It returns false and has no effect if
// the action is not enabled in this state.
//
//revive:disable-next-line:cyclomatic one case for each kind of action
func (world *World) Apply(action Action) bool {
	position := world.position(action.Replica)
	if position < 0 || world.replicas[position].wiped || !world.isEnabled(action) {
		return false
	}
	world.performed[action.Kind]++
	world.outcomes.Actions[action.Kind]++
	chosen := world.mutable(position)
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
		world.step(chosen, raft.Input{Kind: raft.InputCompact, Index: chosen.core.AppliedIndex(), Data: world.model.snapshotData(chosen.core.AppliedIndex(), chosen.name)})
	case ActionTransferLeadership:
		world.step(chosen, raft.Input{Kind: raft.InputTransferLeadership, Peer: action.Peer})
	case ActionChange:
		world.step(chosen, raft.Input{Kind: raft.InputChangeMembership, Membership: chosen.requestedMembership(action)})
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

// deliver removes a message from those in flight, unless it is duplicated, and passes it to its
// receiver, unless it is dropped.
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

// step passes one input to a core, checks the invariants and processes the output.
func (world *World) step(stepped *replica, input raft.Input) {
	before := coreView{status: stepped.status, state: stepped.state}
	if world.model.Replayable {
		stepped.inputs = append(stepped.inputs, &input)
	}
	output := stepped.core.Step(input)
	stepped.refresh()
	if output.Write != nil {
		stepped.pending = append(stepped.pending, output.Write)
	}
	world.checkStep(stepped, before, input, output)
	for _, message := range output.Messages {
		world.send(message)
	}
}

// store applies the oldest pending write to the disk.
func (world *World) store(owner *replica) *raft.Write {
	write := owner.pending[0]
	owner.pending = owner.pending[1:]
	before := owner.disk
	owner.disk = cloneState(owner.disk).With(write)
	owner.fingerprintCached = false
	world.checkDisk(owner, before)
	return write
}

// sync completes the oldest pending write of a replica and notifies its core.
func (world *World) sync(owner *replica) {
	write := world.store(owner)
	world.step(owner, raft.Input{Kind: raft.InputSynced, Number: write.Number})
}

// crash restarts a replica after the first synced of its pending writes became durable.
func (world *World) crash(crashed *replica, synced int) {
	for range synced {
		world.store(crashed)
	}
	crashed.start(world.model)
	world.checkRestart(crashed)
}

// wipe removes a replica permanently and starts an empty one under a new name.
func (world *World) wipe(wiped *replica) {
	wiped.wiped = true
	wiped.pending = nil
	wiped.fingerprintCached = false
	world.inFlight = slices.DeleteFunc(world.inFlight, func(p packet) bool { return p.message.To == wiped.name })
	world.wipes++
	world.addReplica(fmt.Sprintf("%s%d", wiped.name[:1], world.wipes+1), raft.PersistentState{})
}

// requestedMembership returns the membership that a change requests.
func (r *replica) requestedMembership(action Action) raft.Membership {
	now := r.status.Membership
	next := raft.Membership{Voters: slices.Clone(now.Voters), Learners: raft.Without(now.Learners, action.Peer)}
	switch action.Change {
	case ChangeAddLearner:
		next.Learners = append(next.Learners, action.Peer)
	case ChangeAddVoter, ChangeDuplicateVoter:
		next.Voters = append(next.Voters, action.Peer)
	case ChangeRemove:
		next.Voters = raft.Without(now.Voters, action.Peer)
	case ChangeReplaceVoter:
		leaving := now.Voters[len(now.Voters)-1]
		next.Voters = append(raft.Without(now.Voters, leaving), action.Peer)
	}
	return next
}

// snapshotData returns the data of a snapshot that a replica creates at an index. The data
// depends on the creator, because real replicas need not create identical snapshots.
func (model *Model) snapshotData(index uint64, creator string) []byte {
	parts := defaultSnapshotParts
	if model.SnapshotParts > 0 {
		parts = model.SnapshotParts
	}
	return bytes.Repeat(fmt.Appendf(nil, "%d by %s;", index, creator), parts)
}

// isSnapshotData reports whether the data is that of one snapshot created at an index.
func (model *Model) isSnapshotData(content []byte, index uint64) bool {
	first, _, _ := bytes.Cut(content, []byte(";"))
	creator, found := bytes.CutPrefix(first, fmt.Appendf(nil, "%d by ", index))
	return found && bytes.Equal(content, model.snapshotData(index, string(creator)))
}
