package store

import (
	"context"
	"time"

	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// stragglerTimeout is how long the archiver waits for the other replicas once a majority has
// stored a batch. Replicas that miss it are repaired later.
const stragglerTimeout = 300 * time.Millisecond

// chunkKey identifies a chunk within one batch of a group.
type chunkKey struct {
	session string
	first   uint64
}

// replicateChunks stores chunks in the archives of the voters, and returns the names of those that
// have synced them. The others are marked as lagging.
func (node *Node) replicateChunks(ctx context.Context, group uint32, voters []string, chunks []wire.ArchiveChunk) (holders []string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type putResult struct {
		voter string
		err   error
	}
	// Each goroutine sends one result and all are received below, so none outlives the call.
	// The context cancels those that wait for a peer.
	results := make(chan putResult, len(voters))
	for _, voter := range voters {
		go func() {
			if voter == node.Name() {
				results <- putResult{voter, node.archiveStore.Put(chunks)}
				return
			}
			results <- putResult{voter, node.sendChunks(ctx, voter, chunks)}
		}()
	}
	var stragglerTimer *time.Timer // cancels the remaining calls; nil until a majority has stored the chunks
	for range voters {
		result := <-results
		if result.err != nil {
			node.markLagging(group, result.voter)
			continue
		}
		holders = append(holders, result.voter)
		if stragglerTimer == nil && isMajority(holders, voters) {
			stragglerTimer = time.AfterFunc(stragglerTimeout, cancel)
		}
	}
	if stragglerTimer != nil {
		stragglerTimer.Stop()
	}
	return holders
}

// sendChunks sends a peer the ranges of chunks without events, which the peer fills from its own
// replicated state, and then the events of the chunks that the peer could not fill. There are
// usually none, so archiving causes little traffic.
func (node *Node) sendChunks(ctx context.Context, peer string, chunks []wire.ArchiveChunk) error {
	ranges := make([]wire.ArchiveChunk, len(chunks))
	for position, chunk := range chunks {
		chunk.Events = nil
		ranges[position] = chunk
	}
	reply, err := node.putArchive(ctx, peer, ranges)
	if err != nil || reply.Chunks == nil {
		return err
	}
	isMissing, missing := map[chunkKey]bool{}, []wire.ArchiveChunk{}
	for _, chunk := range reply.Chunks.Chunks {
		isMissing[chunkKey{chunk.Session, chunk.First}] = true
	}
	for _, chunk := range chunks {
		if isMissing[chunkKey{chunk.Session, chunk.First}] {
			missing = append(missing, chunk)
		}
	}
	_, err = node.putArchive(ctx, peer, missing)
	return err
}

// putArchive sends chunks to the archive of a peer. A different store that has taken over the
// peer's address rejects the query.
func (node *Node) putArchive(ctx context.Context, peer string, chunks []wire.ArchiveChunk) (*wire.Reply, error) {
	return node.callPeer(ctx, peer, &wire.Query{To: peer, Which: schema.Query_Which_putCold, PutArchive: &wire.ArchiveChunkBatch{Chunks: chunks}})
}

// handlePutArchive stores chunks in this node's archive and replies once they are synced. The
// reply lists the chunks that came without events and could not be filled on this node.
func (node *Node) handlePutArchive(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	complete, missing := node.fillChunks(query.PutArchive.Chunks)
	if err := node.archiveStore.Put(complete); err != nil {
		return nil, err
	}
	if len(missing) == 0 {
		return &wire.Reply{}, nil
	}
	return &wire.Reply{Which: schema.Reply_Which_chunks, Chunks: &wire.ArchiveChunkBatch{Chunks: missing}}, nil
}

// fillChunks fills the chunks that came without events from this node's replicated state. It
// returns the chunks to store and those that it cannot fill; chunks that came without events and
// are already archived are in neither.
func (node *Node) fillChunks(chunks []wire.ArchiveChunk) (complete, missing []wire.ArchiveChunk) {
	for _, chunk := range chunks {
		if len(chunk.Events) == 0 && !node.fillChunk(&chunk) {
			missing = append(missing, chunk)
		} else if len(chunk.Events) > 0 {
			complete = append(complete, chunk)
		}
	}
	return complete, missing
}

// fillChunk fills a chunk with the events of its range, unless they are in this node's archive. It
// reports false if they are neither archived nor in the replicated state here. All replicas apply
// the same commands, so the events equal the leader's.
func (node *Node) fillChunk(chunk *wire.ArchiveChunk) bool {
	if node.archiveStore.Covers(*chunk) {
		return true
	}
	machine := node.stateMachine(chunk.Group)
	if machine == nil {
		return false
	}
	session, found := machine.View().Session(chunk.Session)
	if !found || chunk.First <= session.ArchivedSeq || chunk.Last < chunk.First || chunk.Last > session.Head {
		return false
	}
	chunk.Events = session.Unarchived[chunk.First-session.ArchivedSeq-1 : chunk.Last-session.ArchivedSeq]
	return true
}
