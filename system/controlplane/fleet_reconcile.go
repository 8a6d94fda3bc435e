package controlplane

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/feed"
)

const (
	// reconcileInterval is the delay between two rounds of reconcileFleet.
	reconcileInterval = 300 * time.Millisecond
	// busyInterval replaces reconcileInterval while a change of the control group is pending.
	busyInterval = 50 * time.Millisecond
)

// reconcileFleet runs one round of the control leader's reconciliation of the fleet's membership
// with its live nodes. It returns the delay until the next round, which is shorter while a change
// of the control group is pending.
func (node *Node) reconcileFleet() time.Duration {
	if !node.IsLeader() {
		return reconcileInterval
	}
	ctx, cancel := context.WithTimeout(node.context, callTimeout)
	defer cancel()
	busy := node.reconcileVoters(ctx)
	node.createStoreList(ctx)
	node.replaceWipedStores(ctx)
	if node.settings.AutoEnrol {
		node.autoEnrolStores(ctx)
	}
	node.updateAddresses(ctx)
	node.pushViews()
	if busy {
		return busyInterval
	}
	return reconcileInterval
}

// proposeOrLog proposes a change and logs a failure. The next round proposes it again if it is
// still needed.
func (node *Node) proposeOrLog(ctx context.Context, change feed.Change) {
	if _, err := node.Change(ctx, change); err != nil {
		log.WithFields(log.Fields{"node": node.Name(), "kind": changeKindNames[change.Kind], "error": err.Error()}).Warn("proposed change failed")
	}
}

// updateAddresses updates the stores or control nodes listed on the feed to what they report
// now, such as a new address; one list per round.
func (node *Node) updateAddresses(ctx context.Context) {
	live := map[string]feed.Member{}
	for _, member := range node.liveMembers() {
		live[member.Name] = member
	}
	view := node.View()
	for kind, members := range map[feed.ChangeKind][]feed.Member{feed.ChangeStores: view.Stores, feed.ChangeControls: view.Controls} {
		next := slices.Clone(members)
		for position, member := range next {
			if current, found := live[member.Name]; found {
				current.State = member.State
				next[position] = current
			}
		}
		if len(next) > 0 && !slices.Equal(next, members) {
			node.proposeOrLog(ctx, feed.Change{Kind: kind, By: node.Name(), Expects: true, Expected: view.Number, Members: next})
			return
		}
	}
}
