// Package openings notices which beginnings the inputs of conversations' first turns have
// in common. It only proposes; what is merged is compared byte for byte elsewhere.
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
	// polynomial is fixed, so that all stores cut at the same places.
	polynomial    = chunker.Pol(0x3DA3358B4DC173)
	minChunkBytes = 64
	maxChunkBytes = 512
	// averageBits makes chunks of about 128 bytes.
	averageBits = 6
	// MinSessions is how many lines must begin alike before they are worth merging.
	MinSessions = 3
	// maxTracked bounds the beginnings that are remembered; then all are forgotten.
	maxTracked = 8192
	// reportInterval is how long after a beginning was told it may be told again: it could not
	// be merged, or what was merged was freed since.
	reportInterval = 10 * time.Second
)

// Detector remembers digests of the beginnings seen lately. Its zero value is ready; any
// goroutine may use it.
type Detector struct {
	mutex   sync.Mutex
	chunker *chunker.Chunker
	chunk   []byte
	seen    map[prefixKey]*occurrences
}

// prefixKey is a digest of a scope and the first bytes of an input, within a group.
type prefixKey struct {
	group  uint32
	digest [sha256.Size]byte
}

// occurrences are the last lines that began so, and when that was last told.
type occurrences struct {
	sessions   []string
	reportedAt time.Time
}

// Candidate is a beginning that some lines seem to have in common: its length in bytes, and
// the lines in which it was last seen.
type Candidate struct {
	Length   int
	Sessions []string
}

// Observe takes the input of a line's first turn and tells the longest beginning that
// enough lines of the group and scope had lately. It tells each again only after a while.
//
//	common, found := noticer.Observe(group, "identity", "program/3fa81c", input)
func (detector *Detector) Observe(group uint32, scope, sessionName string, input []byte) (Candidate, bool) {
	if scope == "" || len(input) < sessionlog.MinPrefixBytes {
		return Candidate{}, false
	}
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	if len(detector.seen) > maxTracked || detector.seen == nil {
		detector.seen = map[prefixKey]*occurrences{}
	}
	var longest *occurrences
	length, from := 0, 0
	digest := sha256.New()
	digest.Write([]byte(scope + "\x00"))
	for _, end := range detector.chunkEnds(input) {
		digest.Write(input[from:end])
		from = end
		if end < sessionlog.MinPrefixBytes {
			continue
		}
		key := prefixKey{group: group}
		digest.Sum(key.digest[:0])
		seen := detector.seen[key]
		if seen == nil {
			seen = &occurrences{}
			detector.seen[key] = seen
		}
		if !slices.Contains(seen.sessions, sessionName) {
			seen.sessions = append(seen.sessions[max(0, len(seen.sessions)-MinSessions+1):], sessionName)
		}
		if len(seen.sessions) >= MinSessions {
			longest, length = seen, end
		}
	}
	if longest == nil || time.Since(longest.reportedAt) < reportInterval {
		return Candidate{}, false
	}
	longest.reportedAt = time.Now()
	return Candidate{Length: length, Sessions: slices.Clone(longest.sessions)}, true
}

// chunkEnds gives where an input's chunks end. They depend on its content alone, so that two
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
		cut, err := detector.chunker.Next(detector.chunk[:0])
		if err != nil {
			return ends
		}
		detector.chunk = cut.Data
		ends = append(ends, int(cut.Start+cut.Length))
	}
}
