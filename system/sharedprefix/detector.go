// Package sharedprefix detects prefixes that the first inputs of several sessions have in common,
// so that a group can store them once.
//
// It only proposes candidates, based on digests of recent inputs. Package sessionlog compares the
// sessions with a candidate byte for byte before they share it, so a false positive costs work
// but never corrupts data. The package keeps digests only, no inputs, in bounded memory; its
// state is neither stored nor replicated.
package sharedprefix

import (
	"bytes"
	"crypto/sha256"
	"slices"
	"sync"
	"time"

	"github.com/restic/chunker"

	"yardrock.example/system/sessionlog"
)

const (
	// minSessions is the number of sessions that must have a prefix in common before it is
	// reported.
	minSessions = 3

	// polynomial is that of the rolling hash by which inputs are split into chunks
	// (content-defined chunking): inputs with a common prefix have the same chunk boundaries
	// within it. Candidates end at chunk boundaries. The polynomial is fixed so that all stores
	// split inputs in the same way.
	polynomial = chunker.Pol(0x3DA3358B4DC173)
	// minChunkBytes and maxChunkBytes bound the size of a chunk. With averageBits the average
	// is about 128 bytes.
	minChunkBytes = 64
	maxChunkBytes = 512
	averageBits   = 6

	// maxTrackedPrefixes bounds the number of tracked prefixes. When it is exceeded, all of
	// them are dropped.
	maxTrackedPrefixes = 8192
	// reportInterval is the minimum time between two reports of the same candidate. A candidate
	// is reported again because sharing it may have failed or the prefix may have been freed.
	reportInterval = 10 * time.Second
)

// Detector tracks digests of the prefixes of recent inputs. The zero value is ready to use. It is
// safe for concurrent use.
type Detector struct {
	mutex   sync.Mutex
	chunker *chunker.Chunker           // created for the first input, then reused
	buffer  []byte                     // the buffer that the chunker reuses
	seen    map[prefixKey]*occurrences // cleared when it has more than maxTrackedPrefixes entries
}

// prefixKey identifies a prefix within a group by a digest of its scope and content.
type prefixKey struct {
	group  uint32
	digest [sha256.Size]byte
}

// occurrences has the most recent sessions that began with a prefix, at most minSessions, and the
// time at which the prefix was last reported.
type occurrences struct {
	sessions   []string
	reportedAt time.Time
}

// Candidate is a prefix that several sessions probably have in common.
type Candidate struct {
	// Length is the length of the prefix in bytes.
	Length int
	// Sessions are the three most recent sessions that began with it.
	Sessions []string
}

// Observe records the input of a session's first turn. It returns the longest prefix of the input
// that three recent sessions (minSessions) of the same group and scope have in common, unless
// that prefix was reported within the last ten seconds (reportInterval). Inputs with an empty
// scope are ignored. A prefix has at least sessionlog.MinPrefixBytes.
//
//	candidate, found := detector.Observe(group, "identity", "program/3fa81c", input)
func (detector *Detector) Observe(group uint32, scope, sessionName string, input []byte) (candidate Candidate, found bool) {
	if scope == "" || len(input) < sessionlog.MinPrefixBytes {
		return Candidate{}, false
	}
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	if len(detector.seen) > maxTrackedPrefixes || detector.seen == nil {
		detector.seen = map[prefixKey]*occurrences{}
	}
	longest, length := detector.longestShared(group, scope, sessionName, input)
	if longest == nil || time.Since(longest.reportedAt) < reportInterval {
		return Candidate{}, false
	}
	longest.reportedAt = time.Now()
	return Candidate{Length: length, Sessions: slices.Clone(longest.sessions)}, true
}

// longestShared records the prefixes of an input, one for each chunk boundary, and returns the
// longest one that at least minSessions sessions have in common, or nil. The caller holds the
// mutex.
func (detector *Detector) longestShared(group uint32, scope, sessionName string, input []byte) (longest *occurrences, length int) {
	digest, start := sha256.New(), 0
	digest.Write([]byte(scope + "\x00"))
	for _, end := range detector.chunkEnds(input) {
		digest.Write(input[start:end])
		start = end
		if end < sessionlog.MinPrefixBytes {
			continue
		}
		key := prefixKey{group: group}
		digest.Sum(key.digest[:0])
		seen := detector.record(key, sessionName)
		if len(seen.sessions) >= minSessions {
			longest, length = seen, end
		}
	}
	return longest, length
}

// record adds a session to the occurrences of a prefix. It replaces the oldest one if there are
// minSessions already.
func (detector *Detector) record(key prefixKey, sessionName string) *occurrences {
	seen := detector.seen[key]
	if seen == nil {
		seen = &occurrences{}
		detector.seen[key] = seen
	}
	if !slices.Contains(seen.sessions, sessionName) {
		seen.sessions = append(seen.sessions[max(0, len(seen.sessions)-minSessions+1):], sessionName)
	}
	return seen
}

// chunkEnds returns the end offsets of an input's chunks, up to sessionlog.MaxPrefixBytes. Two
// inputs have the same offsets up to the first chunk in which they differ.
func (detector *Detector) chunkEnds(input []byte) []int {
	reader := bytes.NewReader(input[:min(len(input), sessionlog.MaxPrefixBytes)])
	if detector.chunker == nil {
		detector.chunker = chunker.NewWithBoundaries(reader, polynomial, minChunkBytes, maxChunkBytes)
	} else {
		detector.chunker.ResetWithBoundaries(reader, polynomial, minChunkBytes, maxChunkBytes)
	}
	detector.chunker.SetAverageBits(averageBits)
	ends := []int{}
	for {
		chunk, err := detector.chunker.Next(detector.buffer[:0])
		if err != nil {
			return ends // io.EOF; a bytes.Reader returns no other error
		}
		detector.buffer = chunk.Data
		ends = append(ends, int(chunk.Start+chunk.Length))
	}
}
