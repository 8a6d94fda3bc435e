package controlplane

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/agreement"
	"yardrock.example/system/feed"
	"yardrock.example/system/mishap"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// Change commits one change and waits until it is acknowledged: synced by a
// control majority and by a majority of the store list.
//
//	reply, err := node.Change(ctx, feed.Change{Kind: feed.ChangeDomain, Domain: feed.Domain{Name: "east", State: feed.Emptied}})
func (node *Node) Change(ctx context.Context, change feed.Change) (*wire.ChangeReply, error) {
	reply, err := node.answerChange(ctx, &wire.Query{Which: schema.Query_Which_change, Change: &wire.ChangeQuery{Change: change}})
	if err != nil {
		return nil, err
	}
	return reply.Change, nil
}

func (node *Node) answerChange(ctx context.Context, query *wire.Query) (*wire.Reply, error) {
	if !node.Leading() {
		reply, err := node.viaLeader(ctx, query)
		if mishap.Is(err, mishap.Unavailable) && !mishap.Of(err).NeverSent {
			return nil, unclearChange()
		}
		return reply, err
	}
	if query.Change.Await > 0 {
		return node.answerAwait(ctx, query.Change.Await)
	}
	before := node.View().Stores
	change := query.Change.Change
	change.At = time.Now().UnixNano()
	outcomes, err := node.host.Propose(ctx, controlGroup, [][]byte{wire.MustEncode(schema.Change_TypeID, &change)})
	if mishap.Is(err, mishap.Unclear) {
		return nil, unclearChange()
	}
	if err != nil {
		return nil, err
	}
	outcome := outcomes[0].(changeOutcome)
	if outcome.err != nil {
		return nil, outcome.err
	}
	answer := &wire.ChangeReply{Number: outcome.number}
	answer.Acknowledged = node.awaitStores(ctx, outcome.number, before) && node.awaitStores(ctx, outcome.number, node.View().Stores)
	return &wire.Reply{Which: schema.Reply_Which_change, Change: answer}, nil
}

// Await waits until a change that was taken is acknowledged: a control majority and a
// store majority hold the view of its number, or a newer one.
//
//	reply, err := node.Await(ctx, view.CharterNumber)
func (node *Node) Await(ctx context.Context, number uint64) (*wire.ChangeReply, error) {
	reply, err := node.answerChange(ctx, &wire.Query{Which: schema.Query_Which_change, Change: &wire.ChangeQuery{Await: number}})
	if err != nil {
		return nil, err
	}
	return reply.Change, nil
}

func (node *Node) answerAwait(ctx context.Context, number uint64) (*wire.Reply, error) {
	if err := node.host.Read(ctx, controlGroup); err != nil {
		return nil, err
	}
	view := node.View()
	if view.Number < number {
		return nil, mishap.New(mishap.Conflict, fmt.Sprintf("number %d was never given", number), "read what is in force and decide anew")
	}
	answer := &wire.ChangeReply{Number: number, Acknowledged: node.awaitStores(ctx, number, view.Stores)}
	return &wire.Reply{Which: schema.Reply_Which_change, Change: answer}, nil
}

func unclearChange() error {
	return mishap.New(mishap.Unclear, "the change may or may not have been taken", "read back what is in force, then decide whether to send it again with the number expected")
}

// awaitStores waits until a majority of the stores has synced a number.
func (node *Node) awaitStores(ctx context.Context, number uint64, stores []feed.Member) bool {
	for {
		node.mutex.Lock()
		changed, synced := node.changed, 0
		for _, store := range stores {
			if node.acked[store.Name] >= number {
				synced++
			}
		}
		node.mutex.Unlock()
		if len(stores) == 0 || synced >= len(stores)/2+1 {
			return true
		}
		go node.pushStores()
		select {
		case <-changed:
		case <-time.After(steerInterval):
		case <-ctx.Done():
			return false
		}
	}
}

// pushStores gives the newest view to every store that has not synced it.
func (node *Node) pushStores() {
	view := node.View()
	var told sync.WaitGroup
	for _, store := range view.Stores {
		node.mutex.Lock()
		behind := node.acked[store.Name] < view.Number
		node.mutex.Unlock()
		if !behind {
			continue
		}
		told.Go(func() {
			ctx, cancel := context.WithTimeout(node.context, callPatience)
			defer cancel()
			address := node.addressOf(store.Name)
			if _, err := node.caller.Call(ctx, address, &wire.Query{Fleet: view.Fleet, Which: schema.Query_Which_hold, Hold: &wire.HoldQuery{View: *view}}); err != nil {
				if ctx.Err() != nil {
					node.caller.Drop(address)
				}
				return
			}
			node.mutex.Lock()
			if node.acked[store.Name] < view.Number {
				node.acked[store.Name] = view.Number
				close(node.changed)
				node.changed = make(chan struct{})
			}
			node.mutex.Unlock()
		})
	}
	told.Wait()
}

// steer is what the control leader does for the fleet.
func (node *Node) steer() {
	if !node.Leading() {
		return
	}
	ctx, cancel := context.WithTimeout(node.context, callPatience)
	defer cancel()
	node.enrolControls(ctx)
	node.foundStores(ctx)
	node.replaceStores(ctx)
	node.followAddresses(ctx)
	node.pushStores()
}

func (node *Node) propose(ctx context.Context, change feed.Change) {
	if _, err := node.Change(ctx, change); err != nil {
		log.WithFields(log.Fields{"node": node.Name(), "kind": change.Kind, "error": err.Error()}).Warn("change_refused")
	}
}

// followAddresses carries a member's new address into the lists.
func (node *Node) followAddresses(ctx context.Context) {
	live := map[string]feed.Member{}
	for _, member := range node.Live() {
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
			node.propose(ctx, feed.Change{Kind: kind, By: node.Name(), Expects: true, Expected: view.Number, Members: next})
			return
		}
	}
}

// enrolControls takes live control nodes in: first as learners, then, once they
// hold the log, as voters; one step at a time. A voter that is lost goes
// as long as enough are left; if it comes back it is taken in again.
func (node *Node) enrolControls(ctx context.Context) {
	status := node.host.Statuses()[controlGroup]
	if !status.Leading || status.Changing {
		return
	}
	voters, learners := status.Replicas.Voters, status.Replicas.Learners
	live := node.Live()
	lost := slices.DeleteFunc(slices.Clone(voters), func(name string) bool { return !node.lost(name) })
	for _, learner := range learners {
		if status.Matched[learner]+agreement.CaughtUp >= status.Commit {
			node.host.ChangeReplicas(controlGroup, agreement.Replicas{Voters: append(slices.Clone(voters), learner), Learners: agreement.Without(learners, learner)})
			return
		}
	}
	if len(lost) > 0 && len(voters) > fewestControls {
		log.WithFields(log.Fields{"node": node.Name(), "lost": lost[0]}).Info("control_removed")
		node.host.ChangeReplicas(controlGroup, agreement.Replicas{Voters: agreement.Without(voters, lost[0]), Learners: learners})
		return
	}
	members := slices.Concat(voters, learners)
	for _, member := range live {
		if member.Role == feed.RoleControl && !slices.Contains(members, member.Name) && len(members)-len(lost) < node.settings.MostControls {
			log.WithFields(log.Fields{"node": node.Name(), "control": member.Name}).Info("control_enrolled")
			node.host.ChangeReplicas(controlGroup, agreement.Replicas{Voters: voters, Learners: append(slices.Clone(learners), member.Name)})
			return
		}
	}
	node.listControls(ctx, voters, live)
}

// lost tells that a node has had no session for so long that it is not waited for.
func (node *Node) lost(name string) bool {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	known, found := node.sessions[name]
	return name != node.Name() && time.Since(node.began) > lostPatience && (!found || time.Since(known.heard) > lostPatience)
}

// listControls carries the voters of the control group into the feed.
func (node *Node) listControls(ctx context.Context, voters []string, live []feed.Member) {
	view := node.View()
	listed := []feed.Member{}
	for _, member := range view.Controls {
		if slices.Contains(voters, member.Name) {
			listed = append(listed, member)
		}
	}
	for _, member := range live {
		known := slices.ContainsFunc(listed, func(one feed.Member) bool { return one.Name == member.Name })
		if !known && slices.Contains(voters, member.Name) {
			listed = append(listed, member)
		}
	}
	if !slices.Equal(listed, view.Controls) {
		node.propose(ctx, feed.Change{Kind: feed.ChangeControls, By: node.Name(), Expects: true, Expected: view.Number, Members: listed})
	}
}
