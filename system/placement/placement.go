// Package placement decides which nodes have which groups and roles, by rendezvous hashing
// (highest random weight). It has no state and does no I/O: every node with the same list of
// candidates computes the same result, and a candidate that is added or removed moves only what
// it gets or had.
//
// Results are part of what fleets rely on: the group of a session must not change while the
// fleet exists, so the hash and its inputs may not either.
package placement

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strings"
)

// DefaultReplicas is the count of replicas of a group unless the fleet was founded with another:
// a majority survives the loss of one.
const DefaultReplicas = 3

// ReplicasToSurvive returns how many replicas a group needs for a majority to survive that many
// simultaneous failures, disks included; at least DefaultReplicas.
//
//	replicas := placement.ReplicasToSurvive(2) // 5
func ReplicasToSurvive(failures int) int { return max(2*failures+1, DefaultReplicas) }

// Candidate is a node that may be chosen, and its failure domain.
type Candidate struct {
	Name   string
	Domain string
}

// rendezvousScore is FNV-1a over the parts, each followed by a zero byte, and the finalizer of
// MurmurHash3, which spreads inputs that differ only in their last bytes.
func rendezvousScore(parts ...string) uint64 {
	hash := fnv.New64a()
	for _, part := range parts {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	value := hash.Sum64()
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}

// GroupOf returns the group, from 0, of a session or a quota by its name. The hash is
// keyed "line", an earlier word for a session; the key must stay, or sessions change groups.
//
//	group := placement.GroupOf("team/c-1", 32)
func GroupOf(session string, groups uint32) uint32 {
	return uint32(rendezvousScore("line", session) % uint64(max(groups, 1)))
}

// Rank orders candidates for a key, best first. Keys are independent of each other.
//
//	preferred := placement.Rank(nodeName, candidates)[0]
func Rank(key string, candidates []Candidate) []Candidate {
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(left, right Candidate) int {
		leftScore, rightScore := rendezvousScore(key, left.Name), rendezvousScore(key, right.Name)
		if leftScore != rightScore {
			if leftScore > rightScore {
				return -1
			}
			return 1
		}
		return strings.Compare(left.Name, right.Name)
	})
	return ranked
}

// ReplicasOf returns the names of a group's replicas, at most as many as there are candidates: the
// best ranked, but from each domain only its second once every domain with a candidate left has
// given one, and so on. So no domain has a majority where the candidates allow it.
//
//	names := placement.ReplicasOf(7, stores, 3)
func ReplicasOf(group uint32, candidates []Candidate, replicas int) []string {
	key := string(binary.BigEndian.AppendUint32([]byte("group"), group))
	ranked := Rank(key, candidates)
	chosen, perDomain := []string{}, map[string]int{}
	for round := 1; len(chosen) < min(replicas, len(ranked)); round++ {
		for _, candidate := range ranked {
			if len(chosen) == replicas {
				break
			}
			if slices.Contains(chosen, candidate.Name) || perDomain[candidate.Domain] == round {
				continue
			}
			chosen = append(chosen, candidate.Name)
			perDomain[candidate.Domain]++
		}
	}
	return chosen
}
