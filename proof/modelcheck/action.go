package modelcheck

import "fmt"

// ActionKind is the kind of one step of a World.
type ActionKind uint8

const (
	// ActionDeliver delivers a message in flight to its receiver.
	ActionDeliver ActionKind = iota
	// ActionDuplicate delivers a message and keeps a copy of it in flight.
	ActionDuplicate
	// ActionDrop removes a message in flight without delivering it.
	ActionDrop
	// ActionSync makes the oldest pending write of a replica durable and reports it to the core.
	ActionSync
	// ActionTick advances the logical clock of one replica by one tick.
	ActionTick
	// ActionPropose asks a replica to append a command.
	ActionPropose
	// ActionRead asks a replica for a read index.
	ActionRead
	// ActionCrash restarts a replica from its disk. The first Count pending writes are
	// durable, the others are lost.
	ActionCrash
	// ActionWipe removes a replica permanently and starts an empty one under a new name.
	ActionWipe
	// ActionCompact replaces the applied part of a replica's log with a snapshot.
	ActionCompact
	// ActionTransferLeadership asks a leader to transfer leadership to Peer.
	ActionTransferLeadership
	// ActionChange asks a leader to apply the membership change Change to Peer.
	ActionChange
	// ActionSuspect tells a replica that the connection from its leader was closed.
	ActionSuspect

	actionKindCount
)

var actionNames = [actionKindCount]string{
	"deliver", "duplicate", "drop", "sync", "tick", "propose", "read",
	"crash", "wipe", "compact", "hand-over", "change", "suspect",
}

// String returns the name used in reports.
func (kind ActionKind) String() string { return actionNames[kind] }

// ChangeKind is a kind of membership change.
type ChangeKind uint8

const (
	// ChangeAddLearner adds a non-member as a learner, which does not vote.
	ChangeAddLearner ChangeKind = iota
	// ChangeAddVoter adds a non-member or promotes a learner to voter.
	ChangeAddVoter
	// ChangeRemove removes a voter.
	ChangeRemove
	// ChangeReplaceVoter removes one voter and adds another in a single change. The core
	// must reject it.
	ChangeReplaceVoter
	// ChangeDuplicateVoter lists a voter twice. The core must reject it.
	ChangeDuplicateVoter
)

var changeDescriptions = []string{"add learner", "add voter", "remove voter", "replace a voter with", "add duplicate voter"}

// Action is one step of a World. Two equal actions have the same effect.
type Action struct {
	Kind    ActionKind
	Replica string
	Peer    string
	Message messageKey
	Change  ChangeKind
	Count   int
}

// describe returns a one-line description of an action, including the message it concerns.
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
		return fmt.Sprintf("change at %s: %s %s", action.Replica, changeDescriptions[action.Change], action.Peer)
	case ActionTransferLeadership, ActionSuspect:
		return fmt.Sprintf("%s at %s: %s", action.Kind, action.Replica, action.Peer)
	}
	return fmt.Sprintf("%s %s", action.Kind, action.Replica)
}
