package store

import (
	"slices"
	"time"
)

// laggingRepairInterval is how soon a replica is repaired that is known to lack an archived
// range, or may lack one, once it is live again.
const laggingRepairInterval = time.Second

// replicaKey names one replica of a group.
type replicaKey struct {
	group uint32
	name  string
}

// markLagging remembers that a replica may lack archived ranges.
func (node *Node) markLagging(group uint32, name string) {
	node.laggingReplicas.Store(replicaKey{group, name}, true)
}

// laggingRepairer returns the task that repairs the replicas which may lack archived ranges as
// soon as they are live again. A node that has become a group's leader does not know which of
// its replicas do, so it marks all of them once a term.
func (node *Node) laggingRepairer() func() {
	checkedTerm := map[uint32]uint64{} // by group, the term in which its replicas were marked
	return func() {
		for group, status := range node.host.Statuses() {
			if !status.CommittedInTerm || checkedTerm[group] == status.Term {
				continue
			}
			checkedTerm[group] = status.Term
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

// repairLagging repairs a replica that may lack ranges, and reports whether nothing is left to
// do for it. That is so too if the group is not led here any more, or not replicated there.
func (node *Node) repairLagging(replica replicaKey) bool {
	status := node.host.Statuses()[replica.group]
	if !status.CommittedInTerm || !slices.Contains(status.Membership.Voters, replica.name) {
		return true
	}
	return node.isLive(replica.name) && node.repairReplica(replica.group, node.stateMachine(replica.group).View(), replica.name)
}
