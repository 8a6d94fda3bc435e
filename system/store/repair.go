package store

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/line"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

const (
	repairInterval = 10 * time.Second
	chunksAtOnce   = 64
	scrubAtOnce    = 512
)

// repairAll compares the cold copies of the groups led here and mends them.
func (node *Node) repairAll() {
	node.cold.Scrub(scrubAtOnce)
	for group, status := range node.host.Statuses() {
		if !status.CommittedInTerm {
			continue
		}
		view := node.machine(group).View()
		for _, voter := range status.Membership.Voters {
			node.mendReplica(group, view, voter)
		}
	}
}

// mendReplica mends this node's own copy or a peer's, and tells whether it is whole then.
func (node *Node) mendReplica(group uint32, view *line.View, voter string) bool {
	if voter == node.Name() {
		return node.mendSelf(group, view)
	}
	return node.mend(group, view, voter)
}

// differing lists the buckets of lines in which a copy is not as far as the record
// says. Each is compared by one digest, so that copies which agree cost next to
// nothing, however many lines they hold.
func differing(view *line.View, sums []uint64) []uint32 {
	wanted, found := view.Sums(), []uint32{}
	for bucket := range wanted {
		if bucket >= len(sums) || sums[bucket] != wanted[bucket] {
			found = append(found, uint32(bucket))
		}
	}
	return found
}

// holes lists, for the archived part of each line in some buckets, what a copy's
// ranges lack.
func holes(view *line.View, buckets []uint32, ranges []wire.RangeDigest) []wire.GetColdQuery {
	byLine := map[string][]wire.RangeDigest{}
	for _, one := range ranges {
		byLine[one.Line] = append(byLine[one.Line], one)
	}
	found := []wire.GetColdQuery{}
	for session := range view.Sessions() {
		if !slices.Contains(buckets, uint32(line.BucketOf(session.Line))) {
			continue
		}
		have := byLine[session.Line]
		slices.SortFunc(have, func(left, right wire.RangeDigest) int { return int(left.First) - int(right.First) })
		reached := uint64(0)
		for _, one := range have {
			if one.First > reached+1 {
				found = append(found, wire.GetColdQuery{Line: session.Line, After: reached, Through: one.First - 1})
			}
			reached = max(reached, one.Last)
		}
		if reached < session.ArchivedSeq {
			found = append(found, wire.GetColdQuery{Line: session.Line, After: reached, Through: session.ArchivedSeq})
		}
	}
	return found
}

// chunksFor reads what fills holes from this node's own copy, or from peers.
func (node *Node) chunksFor(group uint32, view *line.View, missing []wire.GetColdQuery) ([]wire.ColdChunk, bool) {
	ctx, cancel := context.WithTimeout(node.context, commandTimeout)
	defer cancel()
	chunks, whole := []wire.ColdChunk{}, true
	for _, hole := range missing {
		session, found := view.Session(hole.Line)
		if !found {
			continue
		}
		events, err := node.cold.Read(hole.Line, hole.After, hole.Through)
		if err != nil || uint64(len(events)) != hole.Through-hole.After {
			events = node.coldFromPeers(ctx, group, hole.Line, hole.After, hole.Through, events)
		}
		if uint64(len(events)) != hole.Through-hole.After {
			whole = false
			continue
		}
		chunks = append(chunks, wire.ColdChunk{Group: group, Line: hole.Line, First: hole.After + 1, Last: hole.Through, Expires: session.Expires().UnixNano(), Events: events})
	}
	return chunks, whole
}

// mendSelf fills this node's own holes from its peers. It tells whether this node holds
// all that a view of the group tells to be archived.
func (node *Node) mendSelf(group uint32, view *line.View) bool {
	sums := node.cold.Sums(group)
	buckets := differing(view, sums[:])
	if len(buckets) == 0 {
		return true
	}
	missing := holes(view, buckets, node.cold.Digests(group, buckets))
	if len(missing) == 0 {
		return true
	}
	chunks, whole := node.chunksFor(group, view, missing)
	if err := node.cold.Put(chunks); err != nil {
		log.WithFields(log.Fields{"node": node.Name(), "group": group, "error": err.Error()}).Warn("repair_failed")
		return false
	}
	log.WithFields(log.Fields{"node": node.Name(), "group": group, "chunks": len(chunks)}).Info("cold_mended")
	return whole
}

// mend compares a peer's copy by its ranges' digests and sends what it lacks.
// It tells whether the peer holds all that a view of the group tells to be archived.
func (node *Node) mend(group uint32, view *line.View, peer string) bool {
	ctx, cancel := context.WithTimeout(node.context, commandTimeout)
	defer cancel()
	fleet, address := node.held.Load().BoundFleet(), node.addressOf(peer)
	ask := func(buckets []uint32) (*wire.DigestReply, error) {
		reply, err := node.caller.Call(ctx, address, &wire.Query{Fleet: fleet, Which: schema.Query_Which_digests, Digests: &wire.DigestQuery{Group: group, Buckets: buckets}})
		if err != nil {
			return nil, err
		}
		if reply.Digests == nil {
			return &wire.DigestReply{}, nil
		}
		return reply.Digests, nil
	}
	told, err := ask(nil)
	if err != nil {
		return false
	}
	buckets := differing(view, told.Sums)
	if len(buckets) == 0 {
		return true
	}
	if told, err = ask(buckets); err != nil {
		return false
	}
	missing := holes(view, buckets, told.Ranges)
	if len(missing) == 0 {
		return true
	}
	chunks, whole := node.chunksFor(group, view, missing)
	for len(chunks) > 0 {
		batch := chunks[:min(len(chunks), chunksAtOnce)]
		chunks = chunks[len(batch):]
		if _, err := node.caller.Call(ctx, address, &wire.Query{Fleet: fleet, Which: schema.Query_Which_putCold, PutCold: &wire.ColdChunkBatch{Chunks: batch}}); err != nil {
			return false
		}
	}
	log.WithFields(log.Fields{"node": node.Name(), "group": group, "peer": peer, "holes": len(missing)}).Info("cold_mended")
	return whole
}
