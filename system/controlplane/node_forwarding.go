package controlplane

import (
	"context"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/wire"
)

// leaderAddress returns the address of the control leader, empty if it is this node or
// unknown.
func (node *Node) leaderAddress() string {
	leader := node.host.Statuses()[controlGroup].Leader
	if leader == "" || leader == node.Name() {
		return ""
	}
	return node.addressOf(leader)
}

// forwardToLeader has the control leader answer a query. A query is forwarded one hop only:
// one that was forwarded to this node fails with NotLeader, which names the leader as far
// as it is known here, and the first node tries that one. Each address is tried once.
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

// notLeaderError names the leader that this node knows of, if any.
func (node *Node) notLeaderError() error {
	leader := node.host.Statuses()[controlGroup].Leader
	if leader == node.Name() {
		leader = ""
	}
	return &apierror.Error{Kind: apierror.NotLeader, Message: "this control node does not lead", Remedy: "ask the leader that is named, or another control node", Leader: leader, RetryAfter: attemptPause}
}

// noQuorumError says that nothing could be confirmed by a quorum; the sender may try again.
func noQuorumError() error {
	return apierror.NewRetryable(apierror.NoQuorum, "the control plane has no leader with a quorum now", "ask again in a second; if it stays, start the missing control nodes", time.Second)
}

// leaderlessAsNoQuorum replaces the error of a leader that has gone, or was never known, by
// one that says what to do.
func leaderlessAsNoQuorum(err error) error {
	if failed := apierror.Of(err); failed.Kind == apierror.NotLeader || failed.Kind == apierror.Unavailable {
		return noQuorumError()
	}
	return err
}
