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
	// repairInterval is how often the archives of the groups led here are compared.
	repairInterval = 10 * time.Second
	// repairBatchChunks and repairBatchBytes bound what repair reads before it stores it here or
	// sends it to a peer: so many chunks, or data of so many bytes and one chunk more.
	repairBatchChunks = 64
	repairBatchBytes  = 256 << 10
	// repairRangeEvents bounds the events of one chunk.
	repairRangeEvents = 64
	// scrubBatchChunks is how many chunks of its own archive a node verifies in each round.
	scrubBatchChunks = 512
)

// repairAll verifies a part of this node's archive, then compares the archives of the groups
// led here with the replicated state and repairs them.
func (node *Node) repairAll() {
	if dropped := node.archiveStore.Scrub(scrubBatchChunks); dropped > 0 {
		log.WithFields(log.Fields{"node": node.Name(), "chunks": dropped}).Warn("damaged chunks of the archive were dropped; they are repaired from peers")
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

// repairReplica repairs the archive of this node or of a peer. It reports whether that archive
// has all ranges then that are archived as of a view of the group.
func (node *Node) repairReplica(group uint32, view *sessionlog.View, voter string) bool {
	if voter == node.Name() {
		return node.repairSelf(group, view)
	}
	return node.repairPeer(group, view, voter)
}

// differingBuckets lists the buckets in which an archive is not as far as the view says. Each
// is compared by one digest, so that archives which agree cost next to nothing, however many
// sessions they have.
func differingBuckets(view *sessionlog.View, digests []uint64) []uint32 {
	wanted, differing := view.ArchiveDigests(), []uint32{}
	for bucket := range wanted {
		if bucket >= len(digests) || digests[bucket] != wanted[bucket] {
			differing = append(differing, uint32(bucket))
		}
	}
	return differing
}

// missingRanges lists, for the archived part of each session in some buckets, the ranges that
// an archive lacks.
func missingRanges(view *sessionlog.View, buckets []uint32, ranges []wire.RangeDigest) []wire.ReadArchiveQuery {
	bySession := map[string][]wire.RangeDigest{}
	for _, one := range ranges {
		bySession[one.Session] = append(bySession[one.Session], one)
	}
	missing := []wire.ReadArchiveQuery{}
	for session := range view.Sessions() {
		if slices.Contains(buckets, uint32(sessionlog.BucketOf(session.Name))) {
			missing = append(missing, missingOf(session, bySession[session.Name])...)
		}
	}
	return missing
}

// missingOf lists the gaps between the ranges that an archive has of a session, up to what is
// archived of it.
func missingOf(session *sessionlog.Session, ranges []wire.RangeDigest) (missing []wire.ReadArchiveQuery) {
	slices.SortFunc(ranges, func(left, right wire.RangeDigest) int { return cmp.Compare(left.First, right.First) })
	through := uint64(0)
	for _, one := range ranges {
		if one.First > through+1 {
			missing = append(missing, wire.ReadArchiveQuery{Session: session.Name, After: through, Through: one.First - 1})
		}
		through = max(through, one.Last)
	}
	if through < session.ArchivedSeq {
		missing = append(missing, wire.ReadArchiveQuery{Session: session.Name, After: through, Through: session.ArchivedSeq})
	}
	return missing
}

// copyMissing reads missing ranges from this node's archive, or from peers, and passes them to
// store in batches, so that repair needs memory for one batch, however much is missing. It
// returns how many chunks were stored. complete is false if some ranges could not be read
// completely; those are left out. It ends at the first error of store.
func (node *Node) copyMissing(group uint32, view *sessionlog.View, missing []wire.ReadArchiveQuery, store func(context.Context, []wire.ArchiveChunk) error) (stored int, complete bool, err error) {
	batch, bytes, complete := []wire.ArchiveChunk{}, 0, true
	flush := func() error {
		ctx, cancel := context.WithTimeout(node.context, commandTimeout)
		defer cancel()
		if err := store(ctx, batch); err != nil {
			return err
		}
		stored += len(batch)
		batch, bytes = batch[:0], 0
		return nil
	}
	for wanted := range splitRanges(missing) {
		session, found := view.Session(wanted.Session)
		if !found {
			continue
		}
		chunk, read := node.readRange(group, session, wanted)
		if !read {
			complete = false
			continue
		}
		batch, bytes = append(batch, chunk), bytes+dataBytes(chunk.Events)
		if bytes < repairBatchBytes && len(batch) < repairBatchChunks {
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

// splitRanges yields ranges in parts of repairRangeEvents events at most.
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

// readRange reads a range of a session from this node's archive, or from peers, and reports
// whether all of it was found.
func (node *Node) readRange(group uint32, session *sessionlog.Session, wanted wire.ReadArchiveQuery) (chunk wire.ArchiveChunk, complete bool) {
	ctx, cancel := context.WithTimeout(node.context, commandTimeout)
	defer cancel()
	events := node.readArchive(ctx, group, wanted.Session, wanted.After, wanted.Through)
	return wire.ArchiveChunk{
		Group: group, Session: wanted.Session, First: wanted.After + 1, Last: wanted.Through,
		ExpiresAt: session.ExpiresAt().UnixNano(), Events: events,
	}, uint64(len(events)) == wanted.Through-wanted.After
}

// dataBytes sums the data of events.
func dataBytes(events []sessionlog.Event) (size int) {
	for _, event := range events {
		size += len(event.Data)
	}
	return size
}

// repairSelf reads the ranges that this node's archive lacks from its peers and stores them.
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
	log.WithFields(log.Fields{"node": node.Name(), "group": group, "chunks": stored}).Info("archive repaired")
	return complete
}

// repairPeer compares a peer's archive by digests and sends the ranges that it lacks.
func (node *Node) repairPeer(group uint32, view *sessionlog.View, peer string) bool {
	ctx, cancel := context.WithTimeout(node.context, commandTimeout)
	defer cancel()
	digests, err := node.digestsOf(ctx, peer, group, nil)
	if err != nil {
		return false
	}
	buckets := differingBuckets(view, digests.BucketDigests)
	if len(buckets) == 0 {
		return true
	}
	if digests, err = node.digestsOf(ctx, peer, group, buckets); err != nil {
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
	log.WithFields(log.Fields{"node": node.Name(), "group": group, "peer": peer, "chunks": stored}).Info("archive of a peer repaired")
	return complete
}

// digestsOf asks a peer for the digests of its archive of a group: of all buckets, and of the
// ranges in some of them.
func (node *Node) digestsOf(ctx context.Context, peer string, group uint32, buckets []uint32) (*wire.DigestReply, error) {
	reply, err := node.callPeer(ctx, peer, &wire.Query{To: peer, Which: schema.Query_Which_digests, Digests: &wire.DigestQuery{Group: group, Buckets: buckets}})
	if err != nil {
		return nil, err
	}
	if reply.Digests == nil {
		return &wire.DigestReply{}, nil
	}
	return reply.Digests, nil
}

// handleReadArchive answers with what this node's own archive has of a range.
func (node *Node) handleReadArchive(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	requested := query.ReadArchive
	events := node.archiveStore.Read(requested.Session, requested.After, requested.Through)
	return &wire.Reply{Which: schema.Reply_Which_read, Read: &wire.ReadReply{Events: events}}, nil
}

// handleDigests answers with the digests of this node's own archive.
func (node *Node) handleDigests(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	requested := query.Digests
	digests := node.archiveStore.BucketDigests(requested.Group)
	ranges := node.archiveStore.RangeDigests(requested.Group, requested.Buckets)
	return &wire.Reply{Which: schema.Reply_Which_digests, Digests: &wire.DigestReply{BucketDigests: digests[:], Ranges: ranges}}, nil
}
