// Package openings notices which beginnings the inputs of conversations' first turns have
// in common. It only proposes; what is merged is compared byte for byte elsewhere.
package openings

import (
	"bytes"
	"crypto/sha256"
	"slices"
	"sync"
	"time"

	"github.com/restic/chunker"

	"yardrock.example/system/line"
)

const (
	// polynomial is fixed, so that all stores cut at the same places.
	polynomial = chunker.Pol(0x3DA3358B4DC173)
	leastChunk = 64
	mostChunk  = 512
	// averageBits makes chunks of about 128 bytes.
	averageBits = 6
	// Enough is how many lines must begin alike before they are worth merging.
	Enough = 3
	// mostSeen bounds the beginnings that are remembered; then all are forgotten.
	mostSeen = 8192
	// tellAgain is how long after a beginning was told it may be told again: it could not
	// be merged, or what was merged was freed since.
	tellAgain = 10 * time.Second
)

// Noticer remembers digests of the beginnings seen lately. Its zero value is ready; any
// goroutine may use it.
type Noticer struct {
	mutex  sync.Mutex
	cutter *chunker.Chunker
	chunk  []byte
	seen   map[beginning]*sightings
}

// beginning is a digest of a scope and the first bytes of an input, within a group.
type beginning struct {
	group  uint32
	digest [sha256.Size]byte
}

// sightings are the last lines that began so, and when that was last told.
type sightings struct {
	lines []string
	told  time.Time
}

// Common is a beginning that some lines seem to have in common: its length in bytes, and
// the lines in which it was last seen.
type Common struct {
	Length int
	Lines  []string
}

// Notice takes the input of a line's first turn and tells the longest beginning that
// enough lines of the group and scope had lately. It tells each again only after a while.
//
//	common, found := noticer.Notice(group, "identity", "program/3fa81c", input)
func (noticer *Noticer) Notice(group uint32, scope, lineName string, input []byte) (Common, bool) {
	if scope == "" || len(input) < line.LeastOpening {
		return Common{}, false
	}
	noticer.mutex.Lock()
	defer noticer.mutex.Unlock()
	if len(noticer.seen) > mostSeen || noticer.seen == nil {
		noticer.seen = map[beginning]*sightings{}
	}
	var longest *sightings
	length, from := 0, 0
	digest := sha256.New()
	digest.Write([]byte(scope + "\x00"))
	for _, end := range noticer.cuts(input) {
		digest.Write(input[from:end])
		from = end
		if end < line.LeastOpening {
			continue
		}
		key := beginning{group: group}
		digest.Sum(key.digest[:0])
		seen := noticer.seen[key]
		if seen == nil {
			seen = &sightings{}
			noticer.seen[key] = seen
		}
		if !slices.Contains(seen.lines, lineName) {
			seen.lines = append(seen.lines[max(0, len(seen.lines)-Enough+1):], lineName)
		}
		if len(seen.lines) >= Enough {
			longest, length = seen, end
		}
	}
	if longest == nil || time.Since(longest.told) < tellAgain {
		return Common{}, false
	}
	longest.told = time.Now()
	return Common{Length: length, Lines: slices.Clone(longest.lines)}, true
}

// cuts gives where an input's chunks end. They depend on its content alone, so that two
// inputs are cut alike up to the chunk in which they differ.
func (noticer *Noticer) cuts(input []byte) []int {
	reader := bytes.NewReader(input[:min(len(input), line.MostOpening)])
	if noticer.cutter == nil {
		noticer.cutter = chunker.NewWithBoundaries(reader, polynomial, leastChunk, mostChunk)
	} else {
		noticer.cutter.ResetWithBoundaries(reader, polynomial, leastChunk, mostChunk)
	}
	noticer.cutter.SetAverageBits(averageBits)
	ends := []int{}
	for {
		cut, err := noticer.cutter.Next(noticer.chunk[:0])
		if err != nil {
			return ends
		}
		noticer.chunk = cut.Data
		ends = append(ends, int(cut.Start+cut.Length))
	}
}
