package store

import (
	"context"
	"time"

	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// stragglerTimeout is how long the archiver waits for more replicas once a majority has
// stored what is archived. Those that are late are mended.
const stragglerTimeout = 300 * time.Millisecond

// replicateChunks has the replicas put chunks into their cold stores, and gives the names of
// those that have. Peers hold the events themselves, as a rule, and are only told which.
func (node *Node) replicateChunks(ctx context.Context, group uint32, voters []string, chunks []wire.ArchiveChunk) (holders []string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type stored struct {
		voter string
		err   error
	}
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
	for range voters {
		result := <-results
		if result.err != nil {
			node.markLagging(group, result.voter)
			continue
		}
		holders = append(holders, result.voter)
		if isMajority(holders, voters) {
			straggling := time.AfterFunc(stragglerTimeout, cancel)
			defer straggling.Stop()
		}
	}
	return holders
}

// sendChunks has one peer put chunks from what it holds, then sends those that it lacks.
func (node *Node) sendChunks(ctx context.Context, peer string, chunks []wire.ArchiveChunk) error {
	ranges := make([]wire.ArchiveChunk, len(chunks))
	for position, chunk := range chunks {
		chunk.Events = nil
		ranges[position] = chunk
	}
	fleet, address := node.view.Load().BoundFleet(), node.addressOf(peer)
	reply, err := node.caller.Call(ctx, address, &wire.Query{Fleet: fleet, To: peer, Which: schema.Query_Which_putCold, PutArchive: &wire.ArchiveChunkBatch{Chunks: ranges}})
	if err != nil || reply.Chunks == nil {
		return err
	}
	type key struct {
		name  string
		first uint64
	}
	isMissing, missing := map[key]bool{}, []wire.ArchiveChunk{}
	for _, one := range reply.Chunks.Chunks {
		isMissing[key{one.Session, one.First}] = true
	}
	for _, chunk := range chunks {
		if isMissing[key{chunk.Session, chunk.First}] {
			missing = append(missing, chunk)
		}
	}
	_, err = node.caller.Call(ctx, address, &wire.Query{Fleet: fleet, To: peer, Which: schema.Query_Which_putCold, PutArchive: &wire.ArchiveChunkBatch{Chunks: missing}})
	return err
}

func (node *Node) handlePutArchived(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	complete, missing := node.fillChunks(query.PutArchive.Chunks)
	if err := node.archiveStore.Put(complete); err != nil {
		return nil, err
	}
	if len(missing) == 0 {
		return &wire.Reply{}, nil
	}
	return &wire.Reply{Which: schema.Reply_Which_chunks, Chunks: &wire.ArchiveChunkBatch{Chunks: missing}}, nil
}

// fillChunks gives chunks with their events: those that come without are filled from what
// this replica has applied. It tells which it lacks.
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

// fillChunk puts the events of a range into a chunk, unless its line has them in its cold
// store. What is applied is the same at all replicas.
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
