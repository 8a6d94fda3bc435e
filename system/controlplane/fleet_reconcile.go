package controlplane

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/feed"
)

// reconcileFleet is what the control leader does for the fleet. It tells when it is due again:
// soon, while something is being changed.
func (node *Node) reconcileFleet() time.Duration {
	if !node.IsLeader() {
		return reconcileInterval
	}
	ctx, cancel := context.WithTimeout(node.context, callTimeout)
	defer cancel()
	busy := node.reconcileVoters(ctx)
	node.foundStoreList(ctx)
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

func (node *Node) proposeOrLog(ctx context.Context, change feed.Change) {
	if _, err := node.Change(ctx, change); err != nil {
		log.WithFields(log.Fields{"node": node.Name(), "kind": change.Kind, "error": err.Error()}).Warn("change_refused")
	}
}

// updateAddresses carries a member's new address into the lists.
func (node *Node) updateAddresses(ctx context.Context) {
	live := map[string]feed.Member{}
	for _, member := range node.LiveMembers() {
		live[member.Name] = member
	}
	view := node.View()
	for kind, members := range map[feed.ChangeKind][]feed.Member{feed.ChangeStores: view.Stores, feed.ChangeControls: view.Controls} {
		next := slices.Clone(members)
		for position, member := range next {
			if now, found := live[member.Name]; found {
				now.State = member.State
				next[position] = now
			}
		}
		if len(next) > 0 && !slices.Equal(next, members) {
			node.proposeOrLog(ctx, feed.Change{Kind: kind, By: node.Name(), Expects: true, Expected: view.Number, Members: next})
			return
		}
	}
}
