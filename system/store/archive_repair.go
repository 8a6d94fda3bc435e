package store

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

const (
	repairInterval    = 10 * time.Second
	repairBatchChunks = 64
	scrubBatchChunks  = 512
)

// repairAll compares the cold copies of the groups led here and mends them.
func (node *Node) repairAll() {
	node.archiveStore.Scrub(scrubBatchChunks)
	for group, status := range node.host.Statuses() {
		if !status.CommittedInTerm {
			continue
		}
		view := node.stateMachine(group).View()
		for _, voter := range status.Membership.Voters {
			node.repairReplica(group, view, voter)
		}
	}
}

// repairReplica mends this node's own copy or a peer's, and tells whether it is whole then.
func (node *Node) repairReplica(group uint32, view *sessionlog.View, voter string) bool {
	if voter == node.Name() {
		return node.repairSelf(group, view)
	}
	return node.repairPeer(group, view, voter)
}

// differingBuckets lists the buckets of lines in which a copy is not as far as the record
// says. Each is compared by one digest, so that copies which agree cost next to
// nothing, however many lines they hold.
func differingBuckets(view *sessionlog.View, digests []uint64) []uint32 {
	wanted, found := view.ArchiveDigests(), []uint32{}
	for bucket := range wanted {
		if bucket >= len(digests) || digests[bucket] != wanted[bucket] {
			found = append(found, uint32(bucket))
		}
	}
	return found
}

// missingRanges lists, for the archived part of each line in some buckets, what a copy's
// ranges lack.
func missingRanges(view *sessionlog.View, buckets []uint32, ranges []wire.RangeDigest) []wire.ReadArchiveQuery {
	bySession := map[string][]wire.RangeDigest{}
	for _, one := range ranges {
		bySession[one.Session] = append(bySession[one.Session], one)
	}
	found := []wire.ReadArchiveQuery{}
	for session := range view.Sessions() {
		if !slices.Contains(buckets, uint32(sessionlog.BucketOf(session.Name))) {
			continue
		}
		have := bySession[session.Name]
		slices.SortFunc(have, func(left, right wire.RangeDigest) int { return int(left.First) - int(right.First) })
		reached := uint64(0)
		for _, one := range have {
			if one.First > reached+1 {
				found = append(found, wire.ReadArchiveQuery{Session: session.Name, After: reached, Through: one.First - 1})
			}
			reached = max(reached, one.Last)
		}
		if reached < session.ArchivedSeq {
			found = append(found, wire.ReadArchiveQuery{Session: session.Name, After: reached, Through: session.ArchivedSeq})
		}
	}
	return found
}

// readMissing reads what fills holes from this node's own copy, or from peers.
func (node *Node) readMissing(group uint32, view *sessionlog.View, missing []wire.ReadArchiveQuery) ([]wire.ArchiveChunk, bool) {
	ctx, cancel := context.WithTimeout(node.context, commandTimeout)
	defer cancel()
	chunks, complete := []wire.ArchiveChunk{}, true
	for _, hole := range missing {
		session, found := view.Session(hole.Session)
		if !found {
			continue
		}
		events, err := node.archiveStore.Read(hole.Session, hole.After, hole.Through)
		if err != nil || uint64(len(events)) != hole.Through-hole.After {
			events = node.archivedFromPeers(ctx, group, hole.Session, hole.After, hole.Through, events)
		}
		if uint64(len(events)) != hole.Through-hole.After {
			complete = false
			continue
		}
		chunks = append(chunks, wire.ArchiveChunk{Group: group, Session: hole.Session, First: hole.After + 1, Last: hole.Through, ExpiresAt: session.ExpiresAt().UnixNano(), Events: events})
	}
	return chunks, complete
}

// repairSelf fills this node's own holes from its peers. It tells whether this node holds
// all that a view of the group tells to be archived.
func (node *Node) repairSelf(group uint32, view *sessionlog.View) bool {
	digests := node.archiveStore.BucketDigests(group)
	buckets := differingBuckets(view, digests[:])
	if len(buckets) == 0 {
		return true
	}
	missing := missingRanges(view, buckets, node.archiveStore.RangeDigests(group, buckets))
	if len(missing) == 0 {
		return true
	}
	chunks, complete := node.readMissing(group, view, missing)
	if err := node.archiveStore.Put(chunks); err != nil {
		log.WithFields(log.Fields{"node": node.Name(), "group": group, "error": err.Error()}).Warn("repair_failed")
		return false
	}
	log.WithFields(log.Fields{"node": node.Name(), "group": group, "chunks": len(chunks)}).Info("cold_mended")
	return complete
}

// repairPeer compares a peer's copy by its ranges' digests and sends what it lacks.
// It tells whether the peer holds all that a view of the group tells to be archived.
func (node *Node) repairPeer(group uint32, view *sessionlog.View, peer string) bool {
	ctx, cancel := context.WithTimeout(node.context, commandTimeout)
	defer cancel()
	fleet, address := node.view.Load().BoundFleet(), node.addressOf(peer)
	fetchDigests := func(buckets []uint32) (*wire.DigestReply, error) {
		reply, err := node.caller.Call(ctx, address, &wire.Query{Fleet: fleet, Which: schema.Query_Which_digests, Digests: &wire.DigestQuery{Group: group, Buckets: buckets}})
		if err != nil {
			return nil, err
		}
		if reply.Digests == nil {
			return &wire.DigestReply{}, nil
		}
		return reply.Digests, nil
	}
	digests, err := fetchDigests(nil)
	if err != nil {
		return false
	}
	buckets := differingBuckets(view, digests.BucketDigests)
	if len(buckets) == 0 {
		return true
	}
	if digests, err = fetchDigests(buckets); err != nil {
		return false
	}
	missing := missingRanges(view, buckets, digests.Ranges)
	if len(missing) == 0 {
		return true
	}
	chunks, complete := node.readMissing(group, view, missing)
	for len(chunks) > 0 {
		batch := chunks[:min(len(chunks), repairBatchChunks)]
		chunks = chunks[len(batch):]
		if _, err := node.caller.Call(ctx, address, &wire.Query{Fleet: fleet, Which: schema.Query_Which_putCold, PutArchive: &wire.ArchiveChunkBatch{Chunks: batch}}); err != nil {
			return false
		}
	}
	log.WithFields(log.Fields{"node": node.Name(), "group": group, "peer": peer, "holes": len(missing)}).Info("cold_mended")
	return complete
}

func (node *Node) handleGetArchived(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	events, err := node.archiveStore.Read(query.ReadArchive.Session, query.ReadArchive.After, query.ReadArchive.Through)
	return &wire.Reply{Which: schema.Reply_Which_read, Read: &wire.ReadReply{Events: events}}, err
}

func (node *Node) handleDigests(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	digests := node.archiveStore.BucketDigests(query.Digests.Group)
	return &wire.Reply{Which: schema.Reply_Which_digests, Digests: &wire.DigestReply{BucketDigests: digests[:], Ranges: node.archiveStore.RangeDigests(query.Digests.Group, query.Digests.Buckets)}}, nil
}
