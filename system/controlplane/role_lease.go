package controlplane

import (
	"context"
	"time"

	"yardrock.example/system/feed"
)

// roleLeaseInterval is how often a node without the leases checks whether it should take them.
const roleLeaseInterval = 50 * time.Millisecond

// RunnerDiscoveryRole is the key of the singleton role whose holder polls the platform's
// runner list.
const RunnerDiscoveryRole = "roster"

// runRoleLeases acquires the leases on all singleton roles while this node leads the control
// group, each with the next fencing token, and performs the roles. The leader holds all leases,
// so only a change of leader moves them. It returns the delay until its next run.
func (node *Node) runRoleLeases() time.Duration {
	view := node.View()
	if view.Number == 0 || !node.host.Statuses()[controlGroup].CommittedInTerm {
		return roleLeaseInterval
	}
	ctx, cancel := context.WithTimeout(node.context, callTimeout+runnerListTimeout)
	defer cancel()
	lease := view.RoleLeaseOf(RunnerDiscoveryRole)
	if lease.Holder != node.Name() {
		node.proposeOrLog(ctx, feed.Change{Kind: feed.ChangeRoleLease, By: node.Name(), RoleLease: feed.RoleLease{Key: RunnerDiscoveryRole, Holder: node.Name(), FencingToken: lease.FencingToken + 1}})
		view = node.View()
		if lease = view.RoleLeaseOf(RunnerDiscoveryRole); lease.Holder != node.Name() {
			return roleLeaseInterval
		}
	}
	node.discoverRunners(ctx, view, lease)
	return max(busyInterval, min(runnerListInterval, time.Until(node.discovery.nextPoll)))
}
