package modelcheck

import "slices"

// Limits bound how often each kind of action may happen in one run; a kind that is not
// named never happens. Deliveries and syncs are not limited.
type Limits map[ActionKind]uint16

// enabled lists the actions that are possible and within the limits, in a fixed order.
func (world *World) enabled(limits Limits) []Action {
	found := make([]Action, 0, 16)
	found = world.addMessages(found, limits)
	for _, one := range world.replicas {
		if !one.wiped {
			found = world.addLocal(found, limits, one)
			found = world.addLeader(found, limits, one)
		}
	}
	return found
}

func (world *World) allowed(limits Limits, kind ActionKind) bool {
	return world.spent[kind] < limits[kind]
}

func (world *World) addMessages(found []Action, limits Limits) []Action {
	for position, sent := range world.inFlight {
		if position > 0 && world.inFlight[position-1].key == sent.key {
			continue // it is a copy of the one before it
		}
		action := Action{Kind: ActionDeliver, Replica: sent.message.To, Message: sent.key}
		found = append(found, action)
		for _, kind := range []ActionKind{ActionDuplicate, ActionDrop} {
			if world.allowed(limits, kind) {
				action.Kind = kind
				found = append(found, action)
			}
		}
	}
	return found
}

// addLocal adds what may happen at any replica.
func (world *World) addLocal(found []Action, limits Limits, one *replica) []Action {
	if len(one.pending) > 0 {
		found = append(found, Action{Kind: ActionSync, Replica: one.name})
	}
	if world.allowed(limits, ActionTick) {
		found = append(found, Action{Kind: ActionTick, Replica: one.name})
	}
	if world.allowed(limits, ActionCrash) {
		for stored := range len(one.pending) + 1 {
			found = append(found, Action{Kind: ActionCrash, Replica: one.name, Count: stored})
		}
	}
	if world.allowed(limits, ActionWipe) && one.disk.Snapshot.Index > 0 {
		found = append(found, Action{Kind: ActionWipe, Replica: one.name})
	}
	if world.allowed(limits, ActionCompact) && one.core.EntriesSinceSnapshot() > 0 {
		found = append(found, Action{Kind: ActionCompact, Replica: one.name})
	}
	if leader := one.status.Leader; world.allowed(limits, ActionSuspect) && leader != "" && leader != one.name {
		found = append(found, Action{Kind: ActionSuspect, Replica: one.name, Peer: leader})
	}
	return found
}

// addLeader adds what only a leader takes on.
func (world *World) addLeader(found []Action, limits Limits, one *replica) []Action {
	if !one.status.Leading {
		return found
	}
	if world.allowed(limits, ActionPropose) {
		found = append(found, Action{Kind: ActionPropose, Replica: one.name})
	}
	if world.allowed(limits, ActionRead) {
		found = append(found, Action{Kind: ActionRead, Replica: one.name})
	}
	if world.allowed(limits, ActionTransferLeadership) {
		for _, peer := range one.status.Membership.Voters {
			if peer != one.name {
				found = append(found, Action{Kind: ActionTransferLeadership, Replica: one.name, Peer: peer})
			}
		}
	}
	if world.allowed(limits, ActionChange) {
		found = world.addChanges(found, one)
	}
	return found
}

func (world *World) addChanges(found []Action, leader *replica) []Action {
	members := leader.status.Membership
	for _, peer := range world.replicas {
		action := Action{Kind: ActionChange, Replica: leader.name, Peer: peer.name}
		isVoter := slices.Contains(members.Voters, peer.name)
		kinds := []ChangeKind{}
		switch {
		case isVoter && len(members.Voters) > 1:
			kinds = []ChangeKind{ChangeRemove, ChangeNameTwice}
		case isVoter:
			kinds = []ChangeKind{ChangeNameTwice}
		case peer.wiped:
		case slices.Contains(members.Learners, peer.name):
			kinds = []ChangeKind{ChangeAddVoter, ChangeSwap}
		default:
			kinds = []ChangeKind{ChangeAddLearner, ChangeAddVoter, ChangeSwap}
		}
		for _, kind := range kinds {
			action.Change = kind
			found = append(found, action)
		}
	}
	return found
}
