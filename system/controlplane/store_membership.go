package controlplane

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/placement"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

const (
	// recoveredNumberStep is how far a recovered feed jumps ahead, so that no number
	// that was given out but not acknowledged is ever given out again.
	recoveredNumberStep = 1_000_000
)

// foundStoreList makes the first store list once enough stores have sessions. If a
// store already holds a view, this control plane has lost its disks, and takes
// what a majority of that view's stores hold instead.
func (node *Node) foundStoreList(ctx context.Context) {
	view := node.View()
	if len(view.Stores) > 0 || view.Number == 0 {
		return
	}
	stores := []feed.Member{}
	for _, member := range node.LiveMembers() {
		if member.Role == feed.RoleStore {
			stores = append(stores, member)
		}
	}
	synced, answered := node.fetchNewestForeignView(ctx, stores)
	if synced.Number > 0 {
		node.recoverFeed(ctx, synced, answered)
		return
	}
	if node.settings.AutoEnrol && !node.storesSettled(stores) {
		return
	}
	if len(stores) >= node.settings.FoundingStores && len(answered) == len(stores) {
		node.proposeOrLog(ctx, feed.Change{Kind: feed.ChangeStores, By: node.Name(), Expects: true, Expected: view.Number, Members: stores})
	}
}

// fetchNewestForeignView asks stores for the newest view that each has synced of a fleet that is
// not this one's. A store whose own control plane is alive is left out.
func (node *Node) fetchNewestForeignView(ctx context.Context, stores []feed.Member) (feed.View, []string) {
	var mutex sync.Mutex
	var calls sync.WaitGroup
	newest, answered := feed.View{}, []string{}
	for _, store := range stores {
		calls.Go(func() {
			reply, err := node.caller.Call(ctx, store.Address, &wire.Query{To: store.Name, Which: schema.Query_Which_newest, NewestView: &wire.NewestViewQuery{Packed: true}})
			if err != nil || reply.NewestView == nil {
				return
			}
			view, err := reply.NewestView.FullView()
			if err != nil {
				return
			}
			foreign := reply.NewestView.Number > 0 && view.Fleet != node.View().Fleet
			if foreign && reply.NewestView.HeardControlQuorum {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			answered = append(answered, store.Name)
			if foreign && reply.NewestView.Number > newest.Number {
				newest = *view
			}
		})
	}
	calls.Wait()
	return newest, answered
}

func (node *Node) recoverFeed(ctx context.Context, recovered feed.View, answered []string) {
	heard, replicas := 0, feed.ViewReplicas(recovered.Stores)
	for _, store := range replicas {
		if slices.Contains(answered, store.Name) {
			heard++
		}
	}
	if heard < len(replicas)/2+1 {
		log.WithFields(log.Fields{"node": node.Name(), "number": recovered.Number, "heard": heard, "of": len(replicas)}).Warn("recovery_waits_for_stores")
		return
	}
	view := node.View()
	recovered.Number += recoveredNumberStep
	recovered.Controls, recovered.Founding = view.Controls, view.Founding
	log.WithFields(log.Fields{"node": node.Name(), "fleet": recovered.Fleet, "number": recovered.Number}).Info("feed_recovered")
	node.proposeOrLog(ctx, feed.Change{Kind: feed.ChangeRecovered, By: node.Name(), View: recovered})
}

// requireStoreList refuses while there is no store list: until then nothing can be
// acknowledged, and what was acknowledged before may not be recovered yet.
func requireStoreList(view *feed.View) error {
	if len(view.Stores) == 0 {
		return apierror.NewRetryable(apierror.NoQuorum, "the fleet has no store list yet", "wait until its stores have sessions, or start the stores that are missing", time.Second)
	}
	return nil
}

// storesSettled tells that no store has come lately, so that a list that is made now need not be
// changed at once.
func (node *Node) storesSettled(stores []feed.Member) bool {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return !slices.ContainsFunc(stores, func(store feed.Member) bool {
		return time.Since(node.liveness[store.Name].firstHeard) < foundingQuietPeriod
	})
}

// knownFor tells how long ago a node was first heard of.
func (node *Node) knownFor(name string) time.Duration {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return time.Since(node.liveness[name].firstHeard)
}

// unlistedStores gives the stores that were heard just now and are not in the list.
func (node *Node) unlistedStores(view *feed.View) []feed.Member {
	return slices.DeleteFunc(node.LiveMembers(), func(member feed.Member) bool {
		listed := slices.ContainsFunc(view.Stores, func(store feed.Member) bool { return store.Name == member.Name })
		return member.Role != feed.RoleStore || listed || view.WasDecommissioned(member) || node.isSilent(member.Name, suspectTimeout)
	})
}

// replaceWipedStores puts a wiped machine's new identity into the place of its lost
// one: same address, another disk.
func (node *Node) replaceWipedStores(ctx context.Context) {
	view := node.View()
	next := slices.Clone(view.Stores)
	for _, fresh := range node.unlistedStores(view) {
		at := slices.IndexFunc(next, func(store feed.Member) bool { return store.Address == fresh.Address })
		if at >= 0 && node.isSilent(next[at].Name, livenessTimeout) {
			node.replaceStore(next, at, fresh)
		}
	}
	node.proposeStores(ctx, view, next)
}

func (node *Node) replaceStore(stores []feed.Member, at int, fresh feed.Member) {
	log.WithFields(log.Fields{"node": node.Name(), "lost": stores[at].Name, "store": fresh.Name}).Info("store_replaced")
	fresh.State = stores[at].State // it is emptied whatever disk it has
	stores[at] = fresh
}

func (node *Node) proposeStores(ctx context.Context, view *feed.View, next []feed.Member) {
	if !slices.Equal(next, view.Stores) {
		node.proposeOrLog(ctx, feed.Change{Kind: feed.ChangeStores, By: node.Name(), Expects: true, Expected: view.Number, Members: next})
	}
}

// autoEnrolStores keeps the store list by itself: a new store takes the place of one of its
// domain that is silent, or, once there has been time to notice such a one, is added; one that is lost goes, as long as enough others are
// there. Groups then move by their own leaders, who give nothing up before they have made
// up for it; so a store that was given up too early has cost no more than some copying.
func (node *Node) autoEnrolStores(ctx context.Context) {
	view := node.View()
	if len(view.Stores) == 0 {
		return
	}
	next := slices.Clone(view.Stores)
	for _, fresh := range node.unlistedStores(view) {
		if slices.ContainsFunc(next, func(store feed.Member) bool { return store.Address == fresh.Address }) {
			continue // replaceWipedStores decides
		}
		silent := func(timeout time.Duration) int {
			return slices.IndexFunc(next, func(store feed.Member) bool {
				return store.Domain == fresh.Domain && store.State != feed.StateDecommissioning && node.isSilent(store.Name, timeout)
			})
		}
		if at := silent(replaceableTimeout); at >= 0 {
			node.replaceStore(next, at, fresh)
		} else if node.knownFor(fresh.Name) >= suspectTimeout && silent(suspectTimeout) < 0 {
			log.WithFields(log.Fields{"node": node.Name(), "store": fresh.Name}).Info("store_enrolled")
			next = append(next, fresh)
		}
	}
	reachable := 0
	for _, candidate := range feed.PlacementCandidates(next) {
		if !node.isSilent(candidate.Name, replaceableTimeout) {
			reachable++
		}
	}
	if reachable >= view.ReplicationFactor() {
		next = slices.DeleteFunc(next, func(store feed.Member) bool {
			lost := store.State != feed.StateDecommissioning && node.isSilent(store.Name, lostTimeout)
			if lost {
				log.WithFields(log.Fields{"node": node.Name(), "store": store.Name}).Info("store_removed")
			}
			return lost
		})
	}
	node.proposeStores(ctx, view, next)
}

// EnrolStore puts a live store that has a session into the store list, and returns once
// that is acknowledged; so it does if the store is listed already.
//
//	reply, err := node.EnrolStore(ctx, "root", "store-…")
func (node *Node) EnrolStore(ctx context.Context, by, name string) (*wire.ChangeReply, error) {
	request := newAdminRequest(by, nil, "enrol", name)
	return node.execute(ctx, func(view *feed.View) (decision, error) {
		return request.decide(view, nil, func() (*feed.Change, error) { return node.planEnrol(view, name) })
	})
}

// planEnrol makes the change that lists a store, none if it is listed already.
func (node *Node) planEnrol(view *feed.View, name string) (*feed.Change, error) {
	at := slices.IndexFunc(view.Stores, hasName(name))
	if at >= 0 && view.Stores[at].State != feed.StateDecommissioning {
		return nil, nil
	}
	live := node.LiveMembers()
	found := slices.IndexFunc(live, func(member feed.Member) bool { return member.Name == name && member.Role == feed.RoleStore })
	if found < 0 {
		return nil, apierror.New(apierror.NotFound, "no store named "+name+" has a session", "start it with the seeds of this fleet; the fleet query lists who is there")
	}
	next, member := slices.Clone(view.Stores), live[found]
	if at >= 0 {
		next[at] = member
		return &feed.Change{Kind: feed.ChangeStores, Expects: true, Expected: view.Number, Members: next}, nil
	}
	if other := slices.IndexFunc(next, func(store feed.Member) bool { return store.Address == member.Address }); other >= 0 {
		return nil, apierror.New(apierror.Conflict, "the address "+member.Address+" belongs to "+next[other].Name, "retire that store first, or use another address")
	}
	return &feed.Change{Kind: feed.ChangeStores, Expects: true, Expected: view.Number, Members: append(next, member)}, nil
}

// countUnhealedGroups counts the groups that have no confirmed leader, or whose replicas are not, or
// not yet all, those that the store list wants.
func (node *Node) countUnhealedGroups(ctx context.Context, view *feed.View) int {
	leaders := node.groupLeaders(ctx, view)
	count := 0
	for group := range view.Groups {
		led := leaders[group]
		if len(led.Learners) > 0 || !sameNames(led.Voters, placement.ReplicasOf(group, view.PlacementCandidates(), view.ReplicationFactor())) {
			count++
		}
	}
	return count
}

func sameNames(left, right []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(left)), slices.Sorted(slices.Values(right)))
}

// leaderStatus is what a group's leader says of it.
type leaderStatus struct {
	wire.GroupStatus
	leader string
}

// groupLeaders asks all stores and keeps what each group's leader says.
func (node *Node) groupLeaders(ctx context.Context, view *feed.View) map[uint32]leaderStatus {
	return node.queryGroupLeaders(ctx, view, wire.StatusQuery{})
}

func (node *Node) queryGroupLeaders(ctx context.Context, view *feed.View, query wire.StatusQuery) map[uint32]leaderStatus {
	var mutex sync.Mutex
	var calls sync.WaitGroup
	leaders := map[uint32]leaderStatus{}
	for _, store := range view.Stores {
		calls.Go(func() {
			limited, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			reply, err := node.caller.Call(limited, node.addressOf(store.Name), &wire.Query{Which: schema.Query_Which_status, Status: &query})
			if err != nil || reply.Status == nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			for _, status := range reply.Status.Groups {
				if status.Leading {
					leaders[status.Group] = leaderStatus{status, store.Name}
				}
			}
		})
	}
	calls.Wait()
	return leaders
}

// confirmedView reads the view by a quorum, wherever the leader is. Only what this node
// has not applied yet is carried.
func (node *Node) confirmedView(ctx context.Context) (*feed.View, error) {
	state, err := node.confirmedState(ctx)
	if err != nil {
		return nil, err
	}
	return state.view, nil
}

// confirmedState is confirmedView with the changes that led to the view.
func (node *Node) confirmedState(ctx context.Context) (*confirmedState, error) {
	state, err := node.confirmNow(ctx)
	if err != nil {
		return nil, leaderlessAsNoQuorum(err)
	}
	return state, requireStoreList(state.view)
}

func leaderlessAsNoQuorum(err error) error {
	if failed := apierror.Of(err); failed.Kind == apierror.NotLeader || failed.Kind == apierror.Unavailable {
		return noQuorumError()
	}
	return err
}
