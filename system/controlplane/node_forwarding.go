package controlplane

import (
	"context"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/wire"
)

// leaderAddress returns the address of the control leader, or an empty string if the leader is
// unknown or this node.
func (node *Node) leaderAddress() string {
	leader := node.host.Statuses()[controlGroup].Leader
	if leader == "" || leader == node.Name() {
		return ""
	}
	return node.addressOf(leader)
}

// forwardToLeader forwards a query to the control leader. A query is forwarded one hop only: one
// that was already forwarded fails with NotLeader, whose error names the leader if this node
// knows it, and the node that forwarded it tries that one. Each address is tried once.
func (node *Node) forwardToLeader(ctx context.Context, query *wire.Query) (*wire.Reply, error) {
	if query.Forwarded {
		return nil, node.notLeaderError()
	}
	forwarded := *query
	forwarded.Fleet, forwarded.Forwarded = node.View().Fleet, true
	tried := map[string]bool{}
	for address := node.leaderAddress(); address != "" && !tried[address]; {
		tried[address] = true
		reply, err := node.client.Call(ctx, address, &forwarded)
		if !apierror.Is(err, apierror.NotLeader) {
			return reply, err
		}
		address = node.addressOf(apierror.Of(err).Leader)
	}
	return nil, noQuorumError()
}

// notLeaderError returns a NotLeader error that names the leader known to this node, if any.
func (node *Node) notLeaderError() error {
	leader := node.host.Statuses()[controlGroup].Leader
	if leader == node.Name() {
		leader = ""
	}
	return &apierror.Error{Kind: apierror.NotLeader, Message: "this control node is not the leader", Remedy: "send the request to the named leader or to another control node", Leader: leader, RetryAfter: attemptPause}
}

// noQuorumError reports that no quorum could confirm a result; the sender may retry.
func noQuorumError() error {
	return apierror.NewRetryable(apierror.NoQuorum, "the control plane currently has no leader with a quorum", "retry in a second; if the error persists, start the missing control nodes", time.Second)
}

// leaderlessAsNoQuorum replaces the error of a leader that is gone or unknown by NoQuorum, which
// tells the caller what to do.
func leaderlessAsNoQuorum(err error) error {
	if failed := apierror.Of(err); failed.Kind == apierror.NotLeader || failed.Kind == apierror.Unavailable {
		return noQuorumError()
	}
	return err
}
