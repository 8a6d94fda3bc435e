package modelcheck

import "slices"

// Limits bounds how often each kind of action may occur in one run. A kind that is not
// listed never occurs. Deliveries and syncs are not limited.
type Limits map[ActionKind]uint16

// enabled returns the actions that are possible and within the limits, in a fixed order.
func (world *World) enabled(limits Limits) []Action {
	found := make([]Action, 0, 16)
	found = world.appendMessageActions(found, limits)
	for _, r := range world.replicas {
		if !r.wiped {
			found = world.appendReplicaActions(found, limits, r)
			found = world.appendLeaderActions(found, limits, r)
		}
	}
	return found
}

func (world *World) withinLimit(limits Limits, kind ActionKind) bool {
	return world.performed[kind] < limits[kind]
}

func (world *World) appendMessageActions(found []Action, limits Limits) []Action {
	for i, p := range world.inFlight {
		if i > 0 && world.inFlight[i-1].key == p.key {
			continue // duplicate of the previous message
		}
		action := Action{Kind: ActionDeliver, Replica: p.message.To, Message: p.key}
		found = append(found, action)
		for _, kind := range []ActionKind{ActionDuplicate, ActionDrop} {
			if world.withinLimit(limits, kind) {
				action.Kind = kind
				found = append(found, action)
			}
		}
	}
	return found
}

// appendReplicaActions appends the enabled actions that do not depend on a replica's role.
func (world *World) appendReplicaActions(found []Action, limits Limits, r *replica) []Action {
	if len(r.pending) > 0 {
		found = append(found, Action{Kind: ActionSync, Replica: r.name})
	}
	if world.withinLimit(limits, ActionTick) {
		found = append(found, Action{Kind: ActionTick, Replica: r.name})
	}
	if world.withinLimit(limits, ActionCrash) {
		for synced := range len(r.pending) + 1 {
			found = append(found, Action{Kind: ActionCrash, Replica: r.name, Count: synced})
		}
	}
	if world.withinLimit(limits, ActionWipe) && r.disk.Snapshot.Index > 0 {
		found = append(found, Action{Kind: ActionWipe, Replica: r.name})
	}
	if world.withinLimit(limits, ActionCompact) && r.core.EntriesSinceSnapshot() > 0 {
		found = append(found, Action{Kind: ActionCompact, Replica: r.name})
	}
	if leader := r.status.Leader; world.withinLimit(limits, ActionSuspect) && leader != "" && leader != r.name {
		found = append(found, Action{Kind: ActionSuspect, Replica: r.name, Peer: leader})
	}
	return found
}

// appendLeaderActions appends the enabled actions that only a leader accepts.
func (world *World) appendLeaderActions(found []Action, limits Limits, r *replica) []Action {
	if !r.status.Leading {
		return found
	}
	if world.withinLimit(limits, ActionPropose) {
		found = append(found, Action{Kind: ActionPropose, Replica: r.name})
	}
	if world.withinLimit(limits, ActionRead) {
		found = append(found, Action{Kind: ActionRead, Replica: r.name})
	}
	if world.withinLimit(limits, ActionTransferLeadership) {
		for _, peer := range r.status.Membership.Voters {
			if peer != r.name {
				found = append(found, Action{Kind: ActionTransferLeadership, Replica: r.name, Peer: peer})
			}
		}
	}
	if world.withinLimit(limits, ActionChange) {
		found = world.appendMembershipChanges(found, r)
	}
	return found
}

func (world *World) appendMembershipChanges(found []Action, leader *replica) []Action {
	members := leader.status.Membership
	for _, peer := range world.replicas {
		action := Action{Kind: ActionChange, Replica: leader.name, Peer: peer.name}
		isVoter := slices.Contains(members.Voters, peer.name)
		kinds := []ChangeKind{}
		switch {
		case isVoter && len(members.Voters) > 1:
			kinds = []ChangeKind{ChangeRemove, ChangeDuplicateVoter}
		case isVoter:
			kinds = []ChangeKind{ChangeDuplicateVoter}
		case peer.wiped:
		case slices.Contains(members.Learners, peer.name):
			kinds = []ChangeKind{ChangeAddVoter, ChangeReplaceVoter}
		default:
			kinds = []ChangeKind{ChangeAddLearner, ChangeAddVoter, ChangeReplaceVoter}
		}
		for _, kind := range kinds {
			action.Change = kind
			found = append(found, action)
		}
	}
	return found
}
