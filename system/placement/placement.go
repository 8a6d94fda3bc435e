// Package placement says where things belong. Every node that holds the same
// store list computes the same answer on its own.
package placement

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strings"
)

// DefaultReplicas is how many replicas a group has where nothing else is said: a majority
// outlives the loss of one.
const DefaultReplicas = 3

// ReplicasToSurvive is how many replicas a group needs so that a majority outlives the loss of some
// at once, with their disks.
//
//	copies := placement.ReplicasToSurvive(2) // 5
func ReplicasToSurvive(failures int) int { return max(2*failures+1, DefaultReplicas) }

// Candidate is one node that may be picked, with its domain.
type Candidate struct {
	Name   string
	Domain string
}

// rendezvousScore is FNV-1a over the parts, with a zero byte between them, then mixed so
// that near inputs land far apart.
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

// GroupOf gives the group of a line or a tally.
//
//	group := placement.GroupOf("team/c-1", 32)
func GroupOf(session string, groups uint32) uint32 {
	return uint32(rendezvousScore("line", session) % uint64(max(groups, 1)))
}

// Rank orders the places for a key, best first.
//
//	owner := placement.Rank("roster", places)[0]
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

// ReplicasOf gives a group's replica set: the highest scores, but no domain holds more
// than another by two while that one has a place left.
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
