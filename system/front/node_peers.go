package front

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/placement"
	"yardrock.example/system/scheduler"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

const (
	// joinDelay is how long a front must have been on the member list before it takes a
	// share of the runners, so that the other fronts know it too.
	joinDelay = time.Second
	// peerPollInterval is the interval between checks of the member list.
	peerPollInterval = 300 * time.Millisecond
)

// notifyPeers tells the other fronts that a runner is suspected to have restarted (true) or
// responds again. Each front also detects this by itself, only later, so a lost notification
// is not resent.
func (node *Node) notifyPeers(address string, suspected bool) {
	log.WithFields(log.Fields{"node": node.name, "address": address, "warming_up": suspected}).Info("runner is suspected to have restarted or responds again; notifying the other fronts")
	for _, member := range node.peers() {
		node.background.Go(func() { node.notifyPeer(member, wire.RunnerWarmUpNote{Address: address, WarmingUp: suspected}) })
	}
}

// notifyPeer tells one other front that a runner is suspected to have restarted, or responds
// again.
func (node *Node) notifyPeer(member feed.Member, note wire.RunnerWarmUpNote) {
	ctx, cancel := context.WithTimeout(node.context, probeTimeout)
	defer cancel()
	if _, err := node.linkClient.Call(ctx, member.Address, &wire.Query{Fleet: node.current.Load().view.Fleet, Which: schema.Query_Which_runner, RunnerWarmUp: &note}); err != nil {
		log.WithFields(log.Fields{"node": node.name, "front": member.Name, "error": err.Error()}).Debug("cannot notify a front of the suspected restart or recovery of a runner")
	}
}

// peers returns the other fronts on the member list.
func (node *Node) peers() []feed.Member {
	return slices.DeleteFunc(slices.Clone(node.feedClient.Members()), func(member feed.Member) bool {
		return member.Role != feed.RoleFront || member.Name == node.name
	})
}

// watchPeers records when this front is first listed, tells new fronts which runners are
// suspected to have restarted, and updates the balancer when the set of fronts changes. It runs in
// Node.peerWatcher until the node's context ends.
func (node *Node) watchPeers() {
	ticker := time.NewTicker(peerPollInterval)
	defer ticker.Stop()
	known := map[string]bool{}
	for {
		select {
		case <-ticker.C:
		case <-node.context.Done():
			return
		}
		if slices.ContainsFunc(node.feedClient.Members(), func(member feed.Member) bool { return member.Name == node.name }) {
			node.listedSince.CompareAndSwap(nil, new(time.Now()))
		}
		listed := map[string]bool{}
		for _, member := range node.peers() {
			listed[member.Name] = true
			if known[member.Name] {
				continue
			}
			for _, address := range node.scheduler.SuspectedRestarts() {
				node.notifyPeer(member, wire.RunnerWarmUpNote{Address: address, WarmingUp: true})
			}
		}
		fronts := append(slices.Collect(maps.Keys(listed)), node.name)
		slices.Sort(fronts)
		if !slices.Equal(*node.frontNames.Swap(&fronts), fronts) {
			node.updateBalancer()
		}
		known = listed
	}
}

// schedulerState returns the scheduler's input: the current view and config, and the fronts
// that share the runners, which are none until this one has joined.
func (node *Node) schedulerState() scheduler.State {
	current := node.current.Load()
	fronts := []placement.Candidate{}
	for _, member := range node.feedClient.Members() {
		if member.Role == feed.RoleFront && node.hasJoined() {
			fronts = append(fronts, placement.Candidate{Name: member.Name, Domain: member.Domain})
		}
	}
	return scheduler.State{View: current.view, Config: current.config, Fronts: fronts}
}

// hasJoined reports whether this front has been listed for joinDelay.
func (node *Node) hasJoined() bool {
	since := node.listedSince.Load()
	return since != nil && time.Since(*since) >= joinDelay
}

// handleCall handles calls from other nodes: notifications about runners, and status requests,
// so that this node may serve as a seed.
func (node *Node) handleCall(_ context.Context, request *wire.Query) *wire.Reply {
	switch request.Which {
	case schema.Query_Which_runner:
		if fleet := node.current.Load().view.Fleet; request.Fleet != fleet {
			return wire.ErrorReply(apierror.New(apierror.ForeignFleet, "the calling front belongs to fleet "+request.Fleet+", this one to "+fleet, "correct the seeds of the calling front"))
		}
		node.scheduler.ReportRestart(request.RunnerWarmUp.Address, request.RunnerWarmUp.WarmingUp)
		return &wire.Reply{}
	case schema.Query_Which_status:
		view := node.feedClient.View()
		loads, queued := node.scheduler.Status()
		return &wire.Reply{Which: schema.Reply_Which_status, Status: &wire.StatusReply{
			RunnerLoads: loads, Queued: queued,
			Name: node.name, Role: feed.RoleFront, Address: node.settings.Address, Domain: node.settings.Domain,
			Fleet: view.Fleet, ViewNumber: view.Number, Controls: view.Controls,
		}}
	}
	return wire.ErrorReply(apierror.New(apierror.Invalid, "a front node accepts only status requests and notifications about runners", "send the request to a store or control node"))
}
