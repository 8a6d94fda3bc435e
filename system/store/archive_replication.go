package store

import (
	"context"
	"time"

	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// stragglerTimeout is how long the archiver waits for more replicas once a majority has stored
// a batch. Those that are late are repaired.
const stragglerTimeout = 300 * time.Millisecond

// chunkKey names a chunk within one batch of a group.
type chunkKey struct {
	session string
	first   uint64
}

// replicateChunks has the replicas store chunks in their archives, and returns the names of
// those that have synced them. The others are marked as lagging.
func (node *Node) replicateChunks(ctx context.Context, group uint32, voters []string, chunks []wire.ArchiveChunk) (holders []string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type stored struct {
		voter string
		err   error
	}
	// One result comes from each voter, and all are awaited below, so no goroutine outlives
	// the call. The context ends those that wait for a peer.
	results := make(chan stored, len(voters))
	for _, voter := range voters {
		go func() {
			if voter == node.Name() {
				results <- stored{voter, node.archiveStore.Put(chunks)}
				return
			}
			results <- stored{voter, node.sendChunks(ctx, voter, chunks)}
		}()
	}
	var straggling *time.Timer // cancels the calls that are late; nil without a majority
	for range voters {
		result := <-results
		if result.err != nil {
			node.markLagging(group, result.voter)
			continue
		}
		holders = append(holders, result.voter)
		if straggling == nil && isMajority(holders, voters) {
			straggling = time.AfterFunc(stragglerTimeout, cancel)
		}
	}
	if straggling != nil {
		straggling.Stop()
	}
	return holders
}

// sendChunks has a peer store chunks from what it has applied itself, and sends it the events
// of those that it lacks. As a rule that is none, so archiving costs little traffic.
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

// putArchive asks one certain store to put chunks into its archive; another one that has its
// address by now rejects the query.
func (node *Node) putArchive(ctx context.Context, peer string, chunks []wire.ArchiveChunk) (*wire.Reply, error) {
	return node.callPeer(ctx, peer, &wire.Query{To: peer, Which: schema.Query_Which_putCold, PutArchive: &wire.ArchiveChunkBatch{Chunks: chunks}})
}

// handlePutArchive stores chunks in this node's archive and answers once they are synced. Of
// chunks without events it answers with those that it does not have itself.
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

// fillChunks fills the chunks that come without events from what this replica has applied. It
// returns those to store and those that it lacks; chunks in the archive are in neither.
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

// fillChunk puts the events of a range into a chunk, unless this node's archive has them. It
// reports false if they are neither there nor unarchived here. What is applied is the same at
// all replicas, so these are the leader's events.
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
