package modelcheck

import "fmt"

// ActionKind selects what happens next in a World.
type ActionKind uint8

const (
	// ActionDeliver hands a message in flight to its receiver.
	ActionDeliver ActionKind = iota
	// ActionDuplicate delivers a message and leaves a copy of it in flight.
	ActionDuplicate
	// ActionDrop loses a message in flight.
	ActionDrop
	// ActionSync lets the oldest pending write of a replica reach its disk, and returns it.
	ActionSync
	// ActionTick lets one tick go by at one replica.
	ActionTick
	// ActionPropose asks a replica to append a command.
	ActionPropose
	// ActionRead asks a replica for a read index.
	ActionRead
	// ActionCrash restarts a replica from its disk; the first Count pending writes
	// reached the disk, the others are lost.
	ActionCrash
	// ActionWipe takes a replica away for good and starts an empty one under a new name.
	ActionWipe
	// ActionCompact replaces a replica's applied log by a snapshot.
	ActionCompact
	// ActionTransferLeadership asks a leader to give leadership to Peer.
	ActionTransferLeadership
	// ActionChange asks a leader for the membership change Change of Peer.
	ActionChange
	// ActionSuspect tells a replica that the connection from its leader has ended.
	ActionSuspect

	actionKinds
)

var actionNames = [actionKinds]string{
	"deliver", "duplicate", "drop", "sync", "tick", "propose", "read",
	"crash", "wipe", "compact", "hand-over", "change", "suspect",
}

// String returns the name that reports use.
func (kind ActionKind) String() string { return actionNames[kind] }

// ChangeKind is one way to change a group's membership.
type ChangeKind uint8

const (
	// ChangeAddLearner adds an outsider that does not vote yet.
	ChangeAddLearner ChangeKind = iota
	// ChangeAddVoter adds an outsider or a learner as a voter.
	ChangeAddVoter
	// ChangeRemove takes a voter away.
	ChangeRemove
	// ChangeSwap asks for what the core must refuse: one voter leaves and another joins
	// in a single step.
	ChangeSwap
	// ChangeNameTwice asks for what the core must refuse, too: a voter that is named twice.
	ChangeNameTwice
)

var changeNames = []string{"add learner", "add voter", "remove", "swap in", "name twice"}

// Action is one step of a World. Two actions are equal if they do the same.
type Action struct {
	Kind    ActionKind
	Replica string
	Peer    string
	Message messageKey
	Change  ChangeKind
	Count   int
}

// describe returns an action in one line; the message is the one that it delivers, if any.
func (action Action) describe(world *World) string {
	switch action.Kind {
	case ActionDeliver, ActionDuplicate, ActionDrop:
		position, found := world.find(action.Message)
		if !found {
			return fmt.Sprintf("%s a message that is not in flight", action.Kind)
		}
		return fmt.Sprintf("%s %s", action.Kind, describeMessage(world.inFlight[position].message))
	case ActionCrash:
		return fmt.Sprintf("crash %s after %d of its %d pending writes", action.Replica, action.Count, len(world.replica(action.Replica).pending))
	case ActionChange:
		return fmt.Sprintf("change at %s: %s %s", action.Replica, changeNames[action.Change], action.Peer)
	case ActionTransferLeadership, ActionSuspect:
		return fmt.Sprintf("%s at %s: %s", action.Kind, action.Replica, action.Peer)
	}
	return fmt.Sprintf("%s %s", action.Kind, action.Replica)
}
