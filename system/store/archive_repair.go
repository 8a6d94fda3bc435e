package store

import (
	"cmp"
	"context"
	"iter"
	"slices"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

const (
	// repairInterval is how often the archives of the groups that this node leads are compared.
	repairInterval = 10 * time.Second
	// repairBatchChunks and repairBatchBytes bound a batch that repair holds in memory: it is
	// stored or sent once it has that many chunks, or at least that many bytes of data.
	repairBatchChunks = 64
	repairBatchBytes  = 256 << 10
	// repairRangeEvents bounds the number of events in a repaired chunk.
	repairRangeEvents = 64
	// scrubBatchChunks is how many chunks of its own archive a node verifies in a round.
	scrubBatchChunks = 512
)

// repairAll verifies a part of this node's archive, then compares the archives of all voters of
// the groups that this node leads with the replicated state and repairs them.
func (node *Node) repairAll() {
	if dropped := node.archiveStore.Scrub(scrubBatchChunks); dropped > 0 {
		log.WithFields(log.Fields{"node": node.Name(), "chunks": dropped}).Warn("dropped damaged chunks of the archive; they will be repaired from peers")
	}
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

// repairReplica repairs a group's ranges in the archive of this node or of a peer. It reports
// whether that archive then has all ranges that are archived as of the view.
func (node *Node) repairReplica(group uint32, view *sessionlog.View, voter string) bool {
	if voter == node.Name() {
		return node.repairSelf(group, view)
	}
	return node.repairPeer(group, view, voter)
}

// differingBuckets returns the buckets whose digests differ between an archive and a view.
// Comparing one digest per bucket keeps the cost of equal archives independent of the number of
// sessions.
func differingBuckets(view *sessionlog.View, digests []uint64) []uint32 {
	wanted, differing := view.ArchiveDigests(), []uint32{}
	for bucket := range wanted {
		if bucket >= len(digests) || digests[bucket] != wanted[bucket] {
			differing = append(differing, uint32(bucket))
		}
	}
	return differing
}

// missingRanges returns the archived ranges of the sessions in some buckets that an archive
// lacks, given the ranges that it has.
func missingRanges(view *sessionlog.View, buckets []uint32, ranges []wire.RangeDigest) []wire.ReadArchiveQuery {
	bySession := map[string][]wire.RangeDigest{}
	for _, digest := range ranges {
		bySession[digest.Session] = append(bySession[digest.Session], digest)
	}
	missing := []wire.ReadArchiveQuery{}
	for session := range view.Sessions() {
		if slices.Contains(buckets, uint32(sessionlog.BucketOf(session.Name))) {
			missing = append(missing, missingSessionRanges(session, bySession[session.Name])...)
		}
	}
	return missing
}

// missingSessionRanges returns the gaps in the ranges that an archive has of a session, up to the
// session's last archived event.
func missingSessionRanges(session *sessionlog.Session, ranges []wire.RangeDigest) (missing []wire.ReadArchiveQuery) {
	slices.SortFunc(ranges, func(left, right wire.RangeDigest) int { return cmp.Compare(left.First, right.First) })
	through := uint64(0)
	for _, digest := range ranges {
		if digest.First > through+1 {
			missing = append(missing, wire.ReadArchiveQuery{Session: session.Name, After: through, Through: digest.First - 1})
		}
		through = max(through, digest.Last)
	}
	if through < session.ArchivedSeq {
		missing = append(missing, wire.ReadArchiveQuery{Session: session.Name, After: through, Through: session.ArchivedSeq})
	}
	return missing
}

// copyMissing reads missing ranges from this node's archive, or from peers, and passes them to
// store in batches, so that the memory use does not depend on how much is missing. It returns
// the number of chunks stored. Ranges that cannot be read completely are skipped, and complete
// is then false. It stops at the first error from put.
func (node *Node) copyMissing(group uint32, view *sessionlog.View, missing []wire.ReadArchiveQuery, put func(context.Context, []wire.ArchiveChunk) error) (stored int, complete bool, err error) {
	batch, batchBytes, complete := []wire.ArchiveChunk{}, 0, true
	flush := func() error {
		ctx, cancel := context.WithTimeout(node.context, commandTimeout)
		defer cancel()
		if err := put(ctx, batch); err != nil {
			return err
		}
		stored += len(batch)
		batch, batchBytes = batch[:0], 0
		return nil
	}
	for wanted := range splitRanges(missing) {
		session, found := view.Session(wanted.Session)
		if !found {
			continue
		}
		chunk, ok := node.readRange(group, session, wanted)
		if !ok {
			complete = false
			continue
		}
		batch, batchBytes = append(batch, chunk), batchBytes+dataBytes(chunk.Events)
		if batchBytes < repairBatchBytes && len(batch) < repairBatchChunks {
			continue
		}
		if err := flush(); err != nil {
			return stored, false, err
		}
	}
	if len(batch) > 0 {
		err = flush()
	}
	return stored, complete && err == nil, err
}

// splitRanges splits ranges into parts of at most repairRangeEvents events.
func splitRanges(ranges []wire.ReadArchiveQuery) iter.Seq[wire.ReadArchiveQuery] {
	return func(yield func(wire.ReadArchiveQuery) bool) {
		for _, part := range ranges {
			for end := part.Through; part.After < end; part.After = part.Through {
				part.Through = min(end, part.After+repairRangeEvents)
				if !yield(part) {
					return
				}
			}
		}
	}
}

// readRange reads a range of a session from this node's archive, or from peers, as a chunk. It
// reports whether the chunk has all events of the range.
func (node *Node) readRange(group uint32, session *sessionlog.Session, wanted wire.ReadArchiveQuery) (chunk wire.ArchiveChunk, complete bool) {
	ctx, cancel := context.WithTimeout(node.context, commandTimeout)
	defer cancel()
	events := node.readArchive(ctx, group, wanted.Session, wanted.After, wanted.Through)
	return wire.ArchiveChunk{
		Group: group, Session: wanted.Session, First: wanted.After + 1, Last: wanted.Through,
		ExpiresAt: session.ExpiresAt().UnixNano(), Events: events,
	}, uint64(len(events)) == wanted.Through-wanted.After
}

// dataBytes returns the total size of the data of events.
func dataBytes(events []sessionlog.Event) (size int) {
	for _, event := range events {
		size += len(event.Data)
	}
	return size
}

// repairSelf fetches the ranges that this node's archive lacks from peers.
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
	stored, complete, err := node.copyMissing(group, view, missing, func(_ context.Context, chunks []wire.ArchiveChunk) error {
		return node.archiveStore.Put(chunks)
	})
	if err != nil {
		log.WithFields(log.Fields{"node": node.Name(), "group": group, "error": err.Error()}).Warn("cannot repair the archive")
		return false
	}
	log.WithFields(log.Fields{"node": node.Name(), "group": group, "chunks": stored}).Info("repaired the archive")
	return complete
}

// repairPeer compares a peer's archive with the view by digests, and sends it the ranges that it
// lacks.
func (node *Node) repairPeer(group uint32, view *sessionlog.View, peer string) bool {
	ctx, cancel := context.WithTimeout(node.context, commandTimeout)
	defer cancel()
	digests, err := node.fetchDigests(ctx, peer, group, nil)
	if err != nil {
		return false
	}
	buckets := differingBuckets(view, digests.BucketDigests)
	if len(buckets) == 0 {
		return true
	}
	if digests, err = node.fetchDigests(ctx, peer, group, buckets); err != nil {
		return false
	}
	missing := missingRanges(view, buckets, digests.Ranges)
	if len(missing) == 0 {
		return true
	}
	stored, complete, err := node.copyMissing(group, view, missing, func(ctx context.Context, chunks []wire.ArchiveChunk) error {
		_, err := node.putArchive(ctx, peer, chunks)
		return err
	})
	if err != nil {
		return false
	}
	log.WithFields(log.Fields{"node": node.Name(), "group": group, "peer": peer, "chunks": stored}).Info("repaired the archive of a peer")
	return complete
}

// fetchDigests queries a peer for the digests of a group in its archive: those of all buckets, and
// those of the ranges in the given buckets.
func (node *Node) fetchDigests(ctx context.Context, peer string, group uint32, buckets []uint32) (*wire.DigestReply, error) {
	reply, err := node.callPeer(ctx, peer, &wire.Query{To: peer, Which: schema.Query_Which_digests, Digests: &wire.DigestQuery{Group: group, Buckets: buckets}})
	if err != nil {
		return nil, err
	}
	if reply.Digests == nil {
		return &wire.DigestReply{}, nil
	}
	return reply.Digests, nil
}

// handleReadArchive replies with the events of a range that are in this node's own archive.
func (node *Node) handleReadArchive(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	requested := query.ReadArchive
	events := node.archiveStore.Read(requested.Session, requested.After, requested.Through)
	return &wire.Reply{Which: schema.Reply_Which_read, Read: &wire.ReadReply{Events: events}}, nil
}

// handleDigests replies with the digests of this node's own archive.
func (node *Node) handleDigests(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	requested := query.Digests
	digests := node.archiveStore.BucketDigests(requested.Group)
	ranges := node.archiveStore.RangeDigests(requested.Group, requested.Buckets)
	return &wire.Reply{Which: schema.Reply_Which_digests, Digests: &wire.DigestReply{BucketDigests: digests[:], Ranges: ranges}}, nil
}
