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

// Failure detection timeouts, counted from when a node was last heard from.
const (
	// lostTimeout is when a node counts as lost even if no replacement is ready.
	lostTimeout = 10 * time.Second
	// livenessTimeout is when a node no longer counts as live.
	livenessTimeout = 3 * time.Second
	// replaceableTimeout is when a node counts as lost if a replacement is ready. A node that
	// returns is added again, so a false positive costs only unneeded copying.
	replaceableTimeout = 2 * time.Second
	// suspectTimeout is when a node is suspected. No learner becomes a voter while a voter is
	// suspected.
	suspectTimeout = 1200 * time.Millisecond
)

const (
	// memberListMaxAge bounds the age of the list of live members that is sent to followers.
	memberListMaxAge = 200 * time.Millisecond
	// livenessRetention is how long a node's record is kept after it was last heard from.
	livenessRetention = 10 * livenessTimeout
)

// nodeLiveness records when a node was heard from. A node is live while lastHeard is less than
// livenessTimeout ago.
type nodeLiveness struct {
	member     feed.Member
	firstHeard time.Time
	lastHeard  time.Time
	// direct reports that the node was heard from directly, not through another control node's
	// gossip. Only direct records are gossiped.
	direct bool
}

// recordLiveness records that a member was heard from the given age ago, directly or through
// gossip. A report older than the latest one is ignored.
func (node *Node) recordLiveness(member feed.Member, age time.Duration, direct bool) {
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

// recordForeignStore records that a store of another fleet is live if this fleet has no store
// list yet: the store may have synced a view that this control plane has lost.
func (node *Node) recordForeignStore(query *wire.Query) {
	if query.Follow != nil && !query.Follow.ConfirmOnly && len(node.View().Stores) == 0 && query.Follow.Member.Role == feed.RoleStore {
		node.recordLiveness(query.Follow.Member, 0, true)
	}
}

// liveMembers returns the live nodes, including this one, sorted by name. If a node was first
// heard from at an address after another node of its role was last heard from there, it has
// replaced that node, which is left out.
func (node *Node) liveMembers() []feed.Member {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	live := []feed.Member{node.self()}
	for name, entry := range node.liveness {
		switch age := time.Since(entry.lastHeard); {
		case age > livenessRetention:
			delete(node.liveness, name)
		case age < livenessTimeout && name != node.Name():
			live = append(live, entry.member)
		}
	}
	live = node.withoutReplaced(live)
	slices.SortFunc(live, func(left, right feed.Member) int { return strings.Compare(left.Name, right.Name) })
	return live
}

// withoutReplaced removes the members that another one has replaced at their address. It modifies
// the slice. The mutex must be held.
func (node *Node) withoutReplaced(members []feed.Member) []feed.Member {
	livenessOf := func(member feed.Member) nodeLiveness {
		if member.Name == node.Name() {
			return nodeLiveness{firstHeard: node.startedAt, lastHeard: time.Now()}
		}
		return node.liveness[member.Name]
	}
	slices.SortFunc(members, func(left, right feed.Member) int {
		return cmp.Or(strings.Compare(left.Address, right.Address), strings.Compare(left.Role, right.Role), livenessOf(left).firstHeard.Compare(livenessOf(right).firstHeard))
	})
	// Reading the next member is safe: DeleteFunc writes only to elements before the one that it
	// passes.
	next := 0
	return slices.DeleteFunc(members, func(member feed.Member) bool {
		next++
		return next < len(members) && members[next].Address == member.Address && members[next].Role == member.Role && livenessOf(members[next]).firstHeard.After(livenessOf(member).lastHeard)
	})
}

// isSilent reports whether a node was not heard from for longer than a timeout, or was replaced:
// another node has its address, so its disk was lost and its name will not return. This node may
// itself be partitioned, so the timeout must also have passed in contact with a quorum.
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

// wasReplaced reports whether another node of the same role was first heard from at a node's
// address after that node was last heard from.
func (node *Node) wasReplaced(member feed.Member) bool {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	last := node.liveness[member.Name].lastHeard
	for name, other := range node.liveness {
		if name != member.Name && other.member.Role == member.Role && other.member.Address == member.Address && other.firstHeard.After(last) {
			return true
		}
	}
	// This node is not in liveness. It has replaced any earlier control node at its address.
	return member.Name != node.Name() && member.Address == node.settings.Address && member.Role == feed.RoleControl
}

// knownFor returns the time since a node was first heard from. The node must have a record.
func (node *Node) knownFor(name string) time.Duration {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return time.Since(node.liveness[name].firstHeard)
}

// memberList is the list of live members as it is sent to followers.
type memberList struct {
	members []feed.Member
	// digest identifies the list, which is sent only to followers that have a different one.
	digest   uint64
	listedAt time.Time
}

// cachedMemberList returns a list of live members that is at most memberListMaxAge old.
func (node *Node) cachedMemberList() *memberList {
	if last := node.lastMemberList.Load(); last != nil && time.Since(last.listedAt) < memberListMaxAge {
		return last
	}
	next := &memberList{members: node.liveMembers(), listedAt: time.Now()}
	hash := fnv.New64a()
	for _, member := range next.members {
		for _, part := range []string{member.Name, member.Role, member.Address, member.Domain, member.State, member.AdminAddress, member.Machine} {
			hash.Write([]byte(part))
			hash.Write([]byte{0})
		}
	}
	next.digest = max(hash.Sum64(), 1) // 0 is sent by followers without a list
	node.lastMemberList.Store(next)
	return next
}
