package store

import (
	"slices"
	"time"
)

// laggingRepairInterval is how often the node repairs the live replicas that may lack archived
// ranges.
const laggingRepairInterval = time.Second

// replicaKey identifies one replica of a group by the name of its store.
type replicaKey struct {
	group uint32
	name  string
}

// markLagging records that a replica may lack archived ranges.
func (node *Node) markLagging(group uint32, name string) {
	node.laggingReplicas.Store(replicaKey{group, name}, true)
}

// laggingRepairer returns the task that repairs the replicas that may lack archived ranges, as
// soon as they are live. A new leader does not know which replicas these are, so it marks all
// replicas of the group once per term.
func (node *Node) laggingRepairer() func() {
	markedTerm := map[uint32]uint64{} // the term in which a group's replicas were marked, by group
	return func() {
		for group, status := range node.host.Statuses() {
			if !status.CommittedInTerm || markedTerm[group] == status.Term {
				continue
			}
			markedTerm[group] = status.Term
			for _, voter := range status.Membership.Voters {
				node.markLagging(group, voter)
			}
		}
		node.laggingReplicas.Range(func(key, _ any) bool {
			replica := key.(replicaKey)
			if node.repairLagging(replica) {
				node.laggingReplicas.Delete(key)
			}
			return node.context.Err() == nil
		})
	}
}

// repairLagging repairs a replica that may lack ranges, and reports whether to unmark it: it has
// been repaired or is no longer a voter, or this node no longer leads the group.
func (node *Node) repairLagging(replica replicaKey) bool {
	status := node.host.Statuses()[replica.group]
	if !status.CommittedInTerm || !slices.Contains(status.Membership.Voters, replica.name) {
		return true
	}
	return node.isLive(replica.name) && node.repairReplica(replica.group, node.stateMachine(replica.group).View(), replica.name)
}
