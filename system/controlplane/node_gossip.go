package controlplane

import (
	"context"
	"time"

	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

const (
	// gossipInterval is between two gossips, and how long one of them may take.
	gossipInterval = 500 * time.Millisecond
	// gossipsPerCall is how many gossips to a node come before one that awaits a reply.
	gossipsPerCall = 4
)

// handleGossip records the members that another control node has heard.
func (node *Node) handleGossip(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	for _, session := range query.MemberSessions.Sessions {
		node.recordHeard(session.Member, session.Age, false)
	}
	return &wire.Reply{}, nil
}

// gossip sends the members that this node has heard directly, itself among them, to the other
// control nodes. A control node that is not a member yet sends to the members. Each gossip in
// flight is ended by the node's context or after gossipInterval.
func (node *Node) gossip() {
	heard, targets := node.heardDirectly(), node.gossipTargets()
	query := &wire.Query{Fleet: node.View().Fleet, Which: schema.Query_Which_sessions, MemberSessions: heard}
	node.gossipCount++
	wantReply := node.gossipCount%gossipsPerCall == 0
	for address := range targets {
		if _, sending := node.gossiping.LoadOrStore(address, true); sending {
			continue // the last gossip to it is still in flight
		}
		go func() {
			defer node.gossiping.Delete(address)
			node.sendGossip(address, *query, wantReply)
		}()
	}
	node.saveControlAddresses()
}

// heardDirectly returns the live members that this node has heard itself, and this node.
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

// gossipTargets returns the addresses of the other control nodes, as far as they are known.
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
	// Until this node knows a leader, what it has applied may be as old as its last snapshot,
	// which may list machines that have been replaced since.
	if len(node.View().Controls) == 0 || !node.Ready() {
		for _, address := range node.discoverControls() {
			targets[address] = true
		}
	}
	delete(targets, node.settings.Address)
	return targets
}

// sendGossip sends what was heard to one control node. With wantReply it waits for a reply
// and drops the connection if none comes, so that a dead one is noticed.
func (node *Node) sendGossip(address string, query wire.Query, wantReply bool) {
	ctx, cancel := context.WithTimeout(node.context, gossipInterval)
	defer cancel()
	if !wantReply {
		node.client.Notify(ctx, address, &query)
	} else if _, err := node.client.Call(ctx, address, &query); err != nil && ctx.Err() != nil {
		node.client.Drop(address)
	}
}
