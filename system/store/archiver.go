package store

import (
	"context"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/placement"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

func (node *Node) runEvery(interval time.Duration, task func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-node.context.Done():
			return
		case <-ticker.C:
			task()
		}
	}
}

// archiveAll flushes the groups led here and forgets what is past its keeping.
func (node *Node) archiveAll() {
	for group, status := range node.host.Statuses() {
		if status.Leading {
			node.archiveGroup(group, status.Membership.Voters)
		}
	}
	if err := node.archiveStore.Expire(node.clock, node.retained); err != nil {
		log.WithFields(log.Fields{"node": node.Name(), "error": err.Error()}).Warn("cold_expiry_failed")
	}
}

func (node *Node) retained(name string) bool {
	group := placement.GroupOf(name, node.view.Load().Groups)
	machine := node.stateMachine(group)
	if machine == nil {
		return false
	}
	session, kept := machine.View().Session(name)
	return kept && session.ExpiresAt().UnixNano() >= node.clock(group)
}

// archiveGroup flushes one group's pending events to the cold stores of a majority of
// its replicas, and only then commits how far they may be evicted.
func (node *Node) archiveGroup(group uint32, voters []string) {
	view := node.stateMachine(group).View()
	chunks, acks := []wire.ArchiveChunk{}, []sessionlog.Ack{}
	budget, now := archiveBatch, node.clock(group)
	expired, full := view.HasExpired(now) || view.HasIdlePrefix(now), unarchivedBytes(view) > maxUnarchivedBytes
	for session := range view.Unarchived() {
		if budget <= 0 {
			break
		}
		if session.ExpiresAt().UnixNano() < now || (!full && isActive(session, now)) {
			continue
		}
		events := session.Unarchived[:min(len(session.Unarchived), budget)]
		budget -= len(events)
		first, last := events[0].Seq, events[len(events)-1].Seq
		chunks = append(chunks, wire.ArchiveChunk{Group: group, Session: session.Name, First: first, Last: last, ExpiresAt: session.ExpiresAt().UnixNano(), Events: events})
		acks = append(acks, sessionlog.Ack{Session: session.Name, ArchivedSeq: last})
	}
	if len(chunks) == 0 && !expired {
		return
	}
	ctx, cancel := context.WithTimeout(node.context, commandTimeout)
	defer cancel()
	holders := []string{}
	if len(chunks) > 0 {
		holders = node.replicateChunks(ctx, group, voters, chunks)
	}
	node.acknowledgeArchived(ctx, group, holders, acks)
}

// A program's turns follow each other soon, and each goes on from all before it. So its
// line stays in memory while it is under way, as long as there is room.
const (
	activeWindow        = 15 * time.Second
	maxUnarchivedEvents = 512
	maxUnarchivedBytes  = 1 << 20
)

func isActive(session *sessionlog.Session, now int64) bool {
	return len(session.Turns) > 0 && len(session.Unarchived) < maxUnarchivedEvents && now-session.UpdatedAt < int64(activeWindow)
}

func unarchivedBytes(view *sessionlog.View) int {
	size := 0
	for session := range view.Unarchived() {
		for _, event := range session.Unarchived {
			size += len(event.Data)
		}
	}
	return size
}

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
