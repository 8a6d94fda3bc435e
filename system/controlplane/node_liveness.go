package controlplane

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
)

type nodeLiveness struct {
	member     feed.Member
	firstHeard time.Time // when it was first heard of
	lastHeard  time.Time
	direct     bool
}

func (node *Node) recordHeard(member feed.Member, age time.Duration, direct bool) {
	if member.Name == "" {
		return
	}
	heardAt := time.Now().Add(-age)
	node.mutex.Lock()
	defer node.mutex.Unlock()
	entry, found := node.liveness[member.Name]
	if !found {
		entry.firstHeard = heardAt
	}
	if !found || heardAt.After(entry.lastHeard) {
		node.liveness[member.Name] = nodeLiveness{member: member, firstHeard: entry.firstHeard, lastHeard: heardAt, direct: direct}
	}
}

// noteForeignStore keeps the session of a store that names another fleet, while this one
// has no store list: it may hold what this control plane has lost.
func (node *Node) noteForeignStore(query *wire.Query) {
	if query.Follow != nil && !query.Follow.ConfirmOnly && len(node.View().Stores) == 0 && query.Follow.Member.Role == feed.RoleStore {
		node.recordHeard(query.Follow.Member, 0, true)
	}
}

// LiveMembers gives the members whose sessions stand, by name; of those that were heard at one
// address one after another, the last.
//
//	for _, member := range node.LiveMembers() { ... }
func (node *Node) LiveMembers() []feed.Member {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	live := []feed.Member{node.self()}
	for name, entry := range node.liveness {
		switch age := time.Since(entry.lastHeard); {
		case age > 10*livenessTimeout:
			delete(node.liveness, name)
		case age < livenessTimeout && name != node.Name():
			live = append(live, entry.member)
		}
	}
	livenessOf := func(member feed.Member) nodeLiveness {
		if member.Name == node.Name() {
			return nodeLiveness{firstHeard: node.startedAt, lastHeard: time.Now()}
		}
		return node.liveness[member.Name]
	}
	slices.SortFunc(live, func(left, right feed.Member) int {
		return cmp.Or(strings.Compare(left.Address, right.Address), strings.Compare(left.Role, right.Role), livenessOf(left).firstHeard.Compare(livenessOf(right).firstHeard))
	})
	next := 0
	live = slices.DeleteFunc(live, func(member feed.Member) bool {
		next++
		return next < len(live) && live[next].Address == member.Address && live[next].Role == member.Role && livenessOf(live[next]).firstHeard.After(livenessOf(member).lastHeard)
	})
	slices.SortFunc(live, func(left, right feed.Member) int { return strings.Compare(left.Name, right.Name) })
	return live
}

// isSilent tells that a node has had no session for so long, or that another has its
// address now: its disk was lost, and nobody will be heard under its name any more.
func (node *Node) isSilent(name string, timeout time.Duration) bool {
	if name == node.Name() {
		return false
	}
	node.mutex.Lock()
	entry, found := node.liveness[name]
	node.mutex.Unlock()
	if found && node.wasReplaced(entry.member) {
		return true
	}
	if !found {
		for member := range node.View().Members() {
			if member.Name == name && node.wasReplaced(member) {
				return true
			}
		}
	}
	return node.quorumContactFor() > timeout && (!found || time.Since(entry.lastHeard) > timeout)
}

// wasReplaced tells that another node of the same role was heard at a node's address later
// than that node itself.
func (node *Node) wasReplaced(member feed.Member) bool {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	last := node.liveness[member.Name].lastHeard
	for name, other := range node.liveness {
		if name != member.Name && other.member.Role == member.Role && other.member.Address == member.Address && other.firstHeard.After(last) {
			return true
		}
	}
	return member.Name != node.Name() && member.Address == node.settings.Address && member.Role == feed.RoleControl
}

// knownFor tells how long ago a node was first heard of.
func (node *Node) knownFor(name string) time.Duration {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return time.Since(node.liveness[name].firstHeard)
}

// liveList is Live as it was told to followers, with a digest that tells lists apart.
type liveMembers struct {
	members  []feed.Member
	digest   uint64
	listedAt time.Time
}

func (node *Node) cachedLiveMembers() *liveMembers {
	if last := node.lastLiveMembers.Load(); last != nil && time.Since(last.listedAt) < liveMembersMaxAge {
		return last
	}
	next := &liveMembers{members: node.LiveMembers(), listedAt: time.Now()}
	hash := fnv.New64a()
	for _, member := range next.members {
		for _, part := range []string{member.Name, member.Role, member.Address, member.Domain, member.State, member.Administration, member.Machine} {
			hash.Write([]byte(part))
			hash.Write([]byte{0})
		}
	}
	next.digest = max(hash.Sum64(), 1) // 0 is the digest of who knows none
	node.lastLiveMembers.Store(next)
	return next
}
