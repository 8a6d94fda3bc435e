// Package placement assigns sessions to groups, and groups and roles to nodes, by rendezvous
// hashing (highest random weight). It has no state and does no I/O: every node with the same
// list of candidates computes the same result, and adding or removing a candidate moves only the
// keys that it gains or loses.
//
// The group of a session must not change during the lifetime of a fleet, so the hash function
// and its inputs must never change.
package placement

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strings"
)

// DefaultReplicas is the default number of replicas of a group: a majority survives the loss of
// one.
const DefaultReplicas = 3

// ReplicasToSurvive returns how many replicas a group needs so that a majority survives the given
// number of simultaneous failures, including disk losses; at least DefaultReplicas.
//
//	replicas := placement.ReplicasToSurvive(2) // 5
func ReplicasToSurvive(failures int) int { return max(2*failures+1, DefaultReplicas) }

// Candidate is a node that may be chosen, with its failure domain.
type Candidate struct {
	Name   string
	Domain string
}

// rendezvousScore is the FNV-1a hash of the parts, each followed by a zero byte, with the
// finalizer of MurmurHash3, which spreads inputs that differ only in their last bytes.
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

// GroupOf returns the group number, from 0, of a session or quota by its name. The key "line" is
// part of the hash and must not change, or sessions would change groups.
//
//	group := placement.GroupOf("team/c-1", 32)
func GroupOf(session string, groups uint32) uint32 {
	return uint32(rendezvousScore("line", session) % uint64(max(groups, 1)))
}

// Rank orders candidates for a key, best first. The orders of different keys are independent.
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

// ReplicasOf returns the names of a group's replicas, at most as many as there are candidates. It
// takes the best-ranked candidates in rounds of at most one per domain, so that no domain has a
// majority if the candidates allow it.
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
