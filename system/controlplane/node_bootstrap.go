package controlplane

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
)

// bootstrapInterval is the time between attempts of a node with an empty disk to bootstrap the
// fleet.
const bootstrapInterval = 500 * time.Millisecond

// bootstrapFleet bootstraps the fleet if this node is a seed with an empty disk, all seeds
// answer and all are empty, unless the fleet already exists (Settings.JoinExisting). If another
// seed has bootstrapped it with this node among the founding members, this node follows: all
// founding members bootstrap the control group with the same view.
func (node *Node) bootstrapFleet() {
	if !node.isEmpty() || !slices.Contains(*node.seeds.Load(), node.settings.Address) {
		return
	}
	statuses := []*wire.StatusReply{}
	for _, seed := range *node.seeds.Load() {
		status, err := node.queryStatus(node.context, seed, callTimeout, wire.StatusQuery{})
		if err != nil {
			continue
		}
		if !status.Uninitialized && slices.Contains(status.Founding, node.Name()) {
			node.bootstrapFleetWith(bootstrapView(status.Founding, status.Controls, node.settings))
			return
		}
		if status.Role == feed.RoleControl && status.Uninitialized {
			statuses = append(statuses, status)
		}
	}
	if node.settings.JoinExisting || len(statuses) != len(*node.seeds.Load()) {
		return
	}
	if names, members, distinct := foundingMembers(statuses); distinct {
		node.bootstrapFleetWith(bootstrapView(names, members, node.settings))
	}
}

// foundingMembers returns the nodes that bootstrap a fleet. Distinct is false if two of the
// statuses are from the same node, whose vote must not count twice.
func foundingMembers(statuses []*wire.StatusReply) (names []string, members []feed.Member, distinct bool) {
	for _, status := range statuses {
		if slices.Contains(names, status.Name) {
			return nil, nil, false
		}
		names = append(names, status.Name)
		members = append(members, feed.Member{Name: status.Name, Role: feed.RoleControl, Address: status.Address, Domain: status.Domain})
	}
	return names, members, true
}

// bootstrapView returns the first view of a fleet. It depends only on the arguments, so it is
// the same on every founding member.
func bootstrapView(names []string, members []feed.Member, settings Settings) feed.View {
	names = slices.Sorted(slices.Values(names))
	members = slices.Clone(members)
	slices.SortFunc(members, func(left, right feed.Member) int { return strings.Compare(left.Name, right.Name) })
	sum := sha256.Sum256([]byte(strings.Join(names, " ")))
	return feed.View{Fleet: hex.EncodeToString(sum[:8]), Number: 1, Controls: members, Groups: settings.Groups, Replicas: settings.ReplicationFactor, Founding: names}
}

// bootstrapFleetWith bootstraps the control group with the first view of a fleet.
func (node *Node) bootstrapFleetWith(view feed.View) {
	node.host.Bootstrap(controlGroup, view.Founding, encodeControlSnapshot(&view, feed.History{}))
	log.WithFields(log.Fields{"node": node.Name(), "fleet": view.Fleet}).Info("fleet bootstrapped")
}

// isEmpty reports whether the disk holds no entry of the control group.
func (node *Node) isEmpty() bool { return node.host.Statuses()[controlGroup].LastIndex == 0 }
