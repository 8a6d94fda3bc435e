package controlplane

import (
	"context"
	"time"

	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

const (
	// gossipInterval is the time between gossip rounds, and the timeout of a gossip message.
	gossipInterval = 500 * time.Millisecond
	// roundsPerReply is the number of gossip rounds of which one waits for replies, which
	// detects dead connections.
	roundsPerReply = 4
)

// handleGossip records the members that another control node has heard from.
func (node *Node) handleGossip(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	for _, session := range query.MemberSessions.Sessions {
		node.recordLiveness(session.Member, session.Age, false)
	}
	return &wire.Reply{}, nil
}

// gossip sends the members that this node has heard from directly, and itself, to the other
// control nodes. A control node that is not a member yet sends to the members. A message in
// flight ends with the node's context or after gossipInterval.
func (node *Node) gossip() {
	heard, targets := node.heardDirectly(), node.gossipTargets()
	query := &wire.Query{Fleet: node.View().Fleet, Which: schema.Query_Which_sessions, MemberSessions: heard}
	node.gossipCount++
	wantReply := node.gossipCount%roundsPerReply == 0
	for address := range targets {
		if _, sending := node.gossiping.LoadOrStore(address, true); sending {
			continue // the previous message to it is still in flight
		}
		go func() {
			defer node.gossiping.Delete(address)
			node.sendGossip(address, *query, wantReply)
		}()
	}
	node.saveControlAddresses()
}

// heardDirectly returns the live members that this node has heard from directly, and itself.
func (node *Node) heardDirectly() *wire.MemberSessionBatch {
	batch := &wire.MemberSessionBatch{From: node.Name(), Sessions: []wire.MemberSession{{Member: node.self()}}}
	node.mutex.Lock()
	defer node.mutex.Unlock()
	for _, entry := range node.liveness {
		if age := time.Since(entry.lastHeard); entry.direct && age < livenessTimeout {
			batch.Sessions = append(batch.Sessions, wire.MemberSession{Member: entry.member, Age: age})
		}
	}
	return batch
}

// gossipTargets returns the known addresses of the other control nodes.
func (node *Node) gossipTargets() map[string]bool {
	targets := map[string]bool{}
	for _, member := range node.View().Controls {
		targets[member.Address] = true
	}
	for _, member := range node.liveMembers() {
		if member.Role == feed.RoleControl {
			targets[member.Address] = true
		}
	}
	// Until this node knows a leader, its applied state may be as old as its last snapshot and
	// may list machines that have been replaced since.
	if len(node.View().Controls) == 0 || !node.Ready() {
		for _, address := range node.discoverControls() {
			targets[address] = true
		}
	}
	delete(targets, node.settings.Address)
	return targets
}

// sendGossip sends a gossip message to one control node. With wantReply it waits for a reply and
// drops the connection on a timeout, so that a dead connection is detected.
func (node *Node) sendGossip(address string, query wire.Query, wantReply bool) {
	ctx, cancel := context.WithTimeout(node.context, gossipInterval)
	defer cancel()
	if !wantReply {
		node.client.Notify(ctx, address, &query)
	} else if _, err := node.client.Call(ctx, address, &query); err != nil && ctx.Err() != nil {
		node.client.Drop(address)
	}
}
