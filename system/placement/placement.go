// Package placement says where things belong. Every node that holds the same
// store list computes the same answer on its own.
package placement

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strings"
)

// Factor is how many replicas a group has where nothing else is said: a majority
// outlives the loss of one.
const Factor = 3

// Copies is how many replicas a group needs so that a majority outlives the loss of some
// at once, with their disks.
//
//	copies := placement.Copies(2) // 5
func Copies(lost int) int { return max(2*lost+1, Factor) }

// Place is one node that may be picked, with its domain.
type Place struct {
	Name   string
	Domain string
}

// score is FNV-1a over the parts, with a zero byte between them, then mixed so
// that near inputs land far apart.
func score(parts ...string) uint64 {
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
func GroupOf(line string, groups uint32) uint32 {
	return uint32(score("line", line) % uint64(max(groups, 1)))
}

// Ranked orders the places for a key, best first.
//
//	owner := placement.Ranked("roster", places)[0]
func Ranked(key string, places []Place) []Place {
	ranked := slices.Clone(places)
	slices.SortFunc(ranked, func(left, right Place) int {
		leftScore, rightScore := score(key, left.Name), score(key, right.Name)
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
func ReplicasOf(group uint32, places []Place, copies int) []string {
	key := string(binary.BigEndian.AppendUint32([]byte("group"), group))
	ranked := Ranked(key, places)
	chosen, used := []string{}, map[string]int{}
	for round := 1; len(chosen) < min(copies, len(ranked)); round++ {
		for _, place := range ranked {
			if len(chosen) == copies {
				break
			}
			if slices.Contains(chosen, place.Name) || used[place.Domain] == round {
				continue
			}
			chosen = append(chosen, place.Name)
			used[place.Domain]++
		}
	}
	return chosen
}
