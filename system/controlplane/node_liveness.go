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

// Timeouts by which a node that was not heard is judged, from the most cautious to the least.
const (
	// lostTimeout is when a node is given up though nothing is ready to replace it.
	lostTimeout = 10 * time.Second
	// livenessTimeout is when a node is no longer live.
	livenessTimeout = 3 * time.Second
	// replaceableTimeout is when a node is given up if another is ready to replace it. One that
	// returns is enrolled again, so the short timeout risks no more than copying for nothing.
	replaceableTimeout = 2 * time.Second
	// suspectTimeout is when a node may be lost. No learner becomes a voter while a voter is
	// suspect.
	suspectTimeout = 1200 * time.Millisecond
)

const (
	// memberListMaxAge bounds the age of the list of live members that followers are sent.
	memberListMaxAge = 200 * time.Millisecond
	// livenessRetention is how long a node is remembered after it was last heard.
	livenessRetention = 10 * livenessTimeout
)

// nodeLiveness records when a node was heard of. A node is live (its session stands) while
// that is less than livenessTimeout ago.
type nodeLiveness struct {
	member     feed.Member
	firstHeard time.Time
	lastHeard  time.Time
	// direct reports that the node was heard here, not through another control node's gossip.
	// Only this is gossiped on.
	direct bool
}

// recordHeard records that a member was heard an age ago, directly or through gossip. What is
// older than the last record changes nothing.
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

// recordForeignStore records that a store of another fleet is live, while this fleet has no
// store list: the store may have synced a view that this control plane has lost.
func (node *Node) recordForeignStore(query *wire.Query) {
	if query.Follow != nil && !query.Follow.ConfirmOnly && len(node.View().Stores) == 0 && query.Follow.Member.Role == feed.RoleStore {
		node.recordHeard(query.Follow.Member, 0, true)
	}
}

// liveMembers returns the live nodes, this one among them, sorted by name. If a node was
// heard at an address only after another one of its role had last been heard there, it has
// replaced that one, which is left out.
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

// withoutReplaced leaves out the members that another one has replaced at their address. It
// reuses the slice. The mutex must be held.
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
	// The next member may be read while members are deleted: DeleteFunc writes only to places
	// before the one that it looks at.
	next := 0
	return slices.DeleteFunc(members, func(member feed.Member) bool {
		next++
		return next < len(members) && members[next].Address == member.Address && members[next].Role == member.Role && livenessOf(members[next]).firstHeard.After(livenessOf(member).lastHeard)
	})
}

// isSilent reports whether a node was not heard for longer than a timeout, or was replaced:
// another node has its address, so its disk was lost and its name will not return. As this
// node may itself be cut off, it judges others only by the time for which it has been in
// contact with a quorum.
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

// wasReplaced reports whether another node of the same role was first heard at a node's
// address after that node was last heard.
func (node *Node) wasReplaced(member feed.Member) bool {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	last := node.liveness[member.Name].lastHeard
	for name, other := range node.liveness {
		if name != member.Name && other.member.Role == member.Role && other.member.Address == member.Address && other.firstHeard.After(last) {
			return true
		}
	}
	// This node is not among those in liveness. It has replaced whoever had its address before.
	return member.Name != node.Name() && member.Address == node.settings.Address && member.Role == feed.RoleControl
}

// knownFor returns how long ago a node was first heard of. The node must have been heard.
func (node *Node) knownFor(name string) time.Duration {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return time.Since(node.liveness[name].firstHeard)
}

// memberList is the list of live members as it is sent to followers.
type memberList struct {
	members []feed.Member
	// digest identifies the list, so that it is sent only to followers that have another.
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
		for _, part := range []string{member.Name, member.Role, member.Address, member.Domain, member.State, member.Administration, member.Machine} {
			hash.Write([]byte(part))
			hash.Write([]byte{0})
		}
	}
	next.digest = max(hash.Sum64(), 1) // 0 is the digest of who knows none
	node.lastMemberList.Store(next)
	return next
}
