// Package sharedprefix detects prefixes that the inputs of first turns of several sessions have
// in common, so that a group can store them once.
//
// It only proposes candidates, by digests of what it saw lately. Whether sessions really begin
// with a candidate is compared byte for byte by package sessionlog when they are made to share
// it, so a wrong proposal costs work and never data. It keeps no input, only digests, in bounded
// memory; nothing of it is stored or replicated.
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
	// minSessions is how many sessions must have a prefix in common before it is worth sharing.
	minSessions = 3

	// Inputs are cut into chunks at places that depend on their content alone
	// (content-defined chunking), so that inputs with a common prefix are cut alike in it. A
	// candidate ends where a chunk does. The polynomial is fixed, so that all stores cut alike.
	polynomial = chunker.Pol(0x3DA3358B4DC173)
	// minChunkBytes and maxChunkBytes bound a chunk; with averageBits it has about 128 bytes.
	minChunkBytes = 64
	maxChunkBytes = 512
	averageBits   = 6

	// maxTrackedPrefixes bounds the prefixes that are remembered; beyond it all are dropped, and
	// detection begins again.
	maxTrackedPrefixes = 8192
	// reportInterval is how long after a candidate was reported it may be reported again. It
	// may not have been shared, or was freed since.
	reportInterval = 10 * time.Second
)

// Detector remembers digests of the prefixes seen lately. Its zero value is ready; any goroutine
// may use it.
type Detector struct {
	mutex   sync.Mutex
	chunker *chunker.Chunker           // made with the first input, then used again
	chunk   []byte                     // the chunker's buffer
	tracked    map[prefixKey]*occurrences // emptied when it has more than maxTrackedPrefixes
}

// prefixKey is a digest of a scope and the first bytes of an input, within a group.
type prefixKey struct {
	group  uint32
	digest [sha256.Size]byte
}

// occurrences are the last sessions that had a prefix, at most minSessions, and when it was last
// reported.
type occurrences struct {
	sessions   []string
	reportedAt time.Time
}

// Candidate is a prefix that some sessions seem to have in common.
type Candidate struct {
	// Length is the number of bytes of the input that the prefix has.
	Length int
	// Sessions are the sessions in which it was seen last, three of them.
	Sessions []string
}

// Observe takes the input of a session's first turn and reports the longest prefix of it that
// three sessions (minSessions) of the group and scope had lately, the same one only once in
// ten seconds. An empty scope shares nothing; a prefix has at least sessionlog.MinPrefixBytes.
//
//	candidate, found := detector.Observe(group, "identity", "program/3fa81c", input)
func (detector *Detector) Observe(group uint32, scope, sessionName string, input []byte) (candidate Candidate, found bool) {
	if scope == "" || len(input) < sessionlog.MinPrefixBytes {
		return Candidate{}, false
	}
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	if len(detector.tracked) > maxTrackedPrefixes || detector.tracked == nil {
		detector.tracked = map[prefixKey]*occurrences{}
	}
	longest, length := detector.longestShared(group, scope, sessionName, input)
	if longest == nil || time.Since(longest.reportedAt) < reportInterval {
		return Candidate{}, false
	}
	longest.reportedAt = time.Now()
	return Candidate{Length: length, Sessions: slices.Clone(longest.sessions)}, true
}

// longestShared records a session's prefixes, one for each chunk, and returns the longest that
// enough sessions had, or nil. The caller holds the mutex.
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
		entry := detector.record(key, sessionName)
		if len(entry.sessions) >= minSessions {
			longest, length = entry, end
		}
	}
	return longest, length
}

// record adds a session to those that had a prefix, in place of the oldest if there are enough.
func (detector *Detector) record(key prefixKey, sessionName string) *occurrences {
	entry := detector.tracked[key]
	if entry == nil {
		entry = &occurrences{}
		detector.tracked[key] = entry
	}
	if !slices.Contains(entry.sessions, sessionName) {
		entry.sessions = append(entry.sessions[max(0, len(entry.sessions)-minSessions+1):], sessionName)
	}
	return entry
}

// chunkEnds returns where an input's chunks end, in bytes, up to sessionlog.MaxPrefixBytes. Two
// inputs are cut alike up to the chunk in which they differ.
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
		chunk, err := detector.chunker.Next(detector.chunk[:0])
		if err != nil {
			return ends // io.EOF: a bytes.Reader has no other error
		}
		detector.chunk = chunk.Data
		ends = append(ends, int(chunk.Start+chunk.Length))
	}
}
