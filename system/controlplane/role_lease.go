package controlplane

import (
	"context"
	"time"

	"yardrock.example/system/feed"
)

// RunnerDiscoveryRole is the key of the assignment that polls the platform's runner list.
const RunnerDiscoveryRole = "roster"

// runRoleLeases takes the assignments, under the next fence, while this node leads the control
// group, and does those that it holds. So the loss of another node moves no assignment, and
// that of the leader moves them as soon as there is another.
// It tells when it is due again.
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
