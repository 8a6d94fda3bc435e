package controlplane

import (
	"context"
	"slices"
	"sync"

	"yardrock.example/system/feed"
	"yardrock.example/system/placement"
	"yardrock.example/system/wire"
)

// countUnhealedGroups counts the groups that have no leader confirmed by a majority of the group,
// that have learners, or whose voters are not exactly the replicas that placement requires.
func (node *Node) countUnhealedGroups(ctx context.Context, view *feed.View) int {
	leaders := node.groupLeaders(ctx, view)
	count := 0
	for group := range view.Groups {
		status := leaders[group]
		if len(status.Learners) > 0 || !sameNames(status.Voters, placement.ReplicasOf(group, view.PlacementCandidates(), view.ReplicationFactor())) {
			count++
		}
	}
	return count
}

// sameNames reports whether two lists contain the same names in any order.
func sameNames(left, right []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(left)), slices.Sorted(slices.Values(right)))
}

// leaderStatus is the status of a group as reported by its leader, a store given by name.
type leaderStatus struct {
	wire.GroupStatus
	leader string
}

// groupLeaders returns the status of each group that has a leader among the listed stores.
func (node *Node) groupLeaders(ctx context.Context, view *feed.View) map[uint32]leaderStatus {
	return node.queryGroupLeaders(ctx, view, wire.StatusQuery{})
}

// queryGroupLeaders queries all listed stores concurrently and returns the status of each group
// as reported by its leader. Stores that do not answer within callTimeout are left out.
func (node *Node) queryGroupLeaders(ctx context.Context, view *feed.View, query wire.StatusQuery) map[uint32]leaderStatus {
	var mutex sync.Mutex
	var calls sync.WaitGroup
	leaders := map[uint32]leaderStatus{}
	for _, store := range view.Stores {
		calls.Go(func() {
			storeStatus, err := node.queryStatus(ctx, node.addressOf(store.Name), callTimeout, query)
			if err != nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			for _, status := range storeStatus.Groups {
				if status.Leading {
					leaders[status.Group] = leaderStatus{status, store.Name}
				}
			}
		})
	}
	calls.Wait()
	return leaders
}
