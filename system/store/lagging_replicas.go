package store

import (
	"slices"
	"time"
)

// laggingRepairInterval is how soon a replica is mended that is known to lack an archived range,
// or may lack one, from when it is heard again.
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

// laggingRepairer gives the task that mends the replicas that may lack archived ranges as
// soon as they are heard again. A node that has come to lead a group does not know which
// of its replicas do, so it looks at all of them once.
func (node *Node) laggingRepairer() func() {
	checkedTerm := map[uint32]uint64{} // the term in which the replicas of a group were noted
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

// repairLagging tells whether nothing is left to do for a replica that may lack ranges.
func (node *Node) repairLagging(replica replicaKey) bool {
	status := node.host.Statuses()[replica.group]
	if !status.CommittedInTerm || !slices.Contains(status.Membership.Voters, replica.name) {
		return true
	}
	return node.isLive(replica.name) && node.repairReplica(replica.group, node.stateMachine(replica.group).View(), replica.name)
}
