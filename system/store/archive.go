package store

import (
	"context"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/line"
	"yardrock.example/system/placement"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

func (node *Node) repeat(interval time.Duration, task func()) {
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
			node.archive(group, status.Membership.Voters)
		}
	}
	if err := node.cold.Expire(node.clock, node.keeps); err != nil {
		log.WithFields(log.Fields{"node": node.Name(), "error": err.Error()}).Warn("cold_expiry_failed")
	}
}

func (node *Node) keeps(name string) bool {
	group := placement.GroupOf(name, node.held.Load().Groups)
	machine := node.machine(group)
	if machine == nil {
		return false
	}
	session, kept := machine.View().Session(name)
	return kept && session.Expires().UnixNano() >= node.clock(group)
}

// archive flushes one group's pending events to the cold stores of a majority of
// its replicas, and only then commits how far they may be evicted.
func (node *Node) archive(group uint32, voters []string) {
	view := node.machine(group).View()
	chunks, acks := []wire.ColdChunk{}, []line.Ack{}
	budget, now := archiveBatch, node.clock(group)
	expired, full := view.AnyExpired(now) || view.AnyIdleOpening(now), hotBytes(view) > mostHotBytes
	for session := range view.Hot() {
		if budget <= 0 {
			break
		}
		if session.Expires().UnixNano() < now || (!full && underWay(session, now)) {
			continue
		}
		events := session.Hot[:min(len(session.Hot), budget)]
		budget -= len(events)
		first, last := events[0].Seq, events[len(events)-1].Seq
		chunks = append(chunks, wire.ColdChunk{Group: group, Line: session.Line, First: first, Last: last, Expires: session.Expires().UnixNano(), Events: events})
		acks = append(acks, line.Ack{Line: session.Line, ArchivedSeq: last})
	}
	if len(chunks) == 0 && !expired {
		return
	}
	ctx, cancel := context.WithTimeout(node.context, commandTimeout)
	defer cancel()
	holders := []string{}
	if len(chunks) > 0 {
		holders = node.putOnVoters(ctx, group, voters, chunks)
	}
	node.acknowledgeArchived(ctx, group, holders, acks)
}

// A program's turns follow each other soon, and each goes on from all before it. So its
// line stays in memory while it is under way, as long as there is room.
const (
	quietFor     = 15 * time.Second
	mostHot      = 512
	mostHotBytes = 1 << 20
)

func underWay(session *line.Session, now int64) bool {
	return len(session.Turns) > 0 && len(session.Hot) < mostHot && now-session.TouchedAt < int64(quietFor)
}

func hotBytes(view *line.View) int {
	size := 0
	for session := range view.Hot() {
		for _, event := range session.Hot {
			size += len(event.Data)
		}
	}
	return size
}

// stragglerTimeout is how long the archiver waits for more replicas once a majority has
// stored what is archived. Those that are late are mended.
const stragglerTimeout = 300 * time.Millisecond

// putOnVoters has the replicas put chunks into their cold stores, and gives the names of
// those that have. Peers hold the events themselves, as a rule, and are only told which.
func (node *Node) putOnVoters(ctx context.Context, group uint32, voters []string, chunks []wire.ColdChunk) (holders []string) {
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
				results <- stored{voter, node.cold.Put(chunks)}
				return
			}
			results <- stored{voter, node.putOn(ctx, voter, chunks)}
		}()
	}
	for range voters {
		result := <-results
		if result.err != nil {
			node.noteBehind(group, result.voter)
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

// putOn has one peer put chunks from what it holds, then sends those that it lacks.
func (node *Node) putOn(ctx context.Context, peer string, chunks []wire.ColdChunk) error {
	ranges := make([]wire.ColdChunk, len(chunks))
	for position, chunk := range chunks {
		chunk.Events = nil
		ranges[position] = chunk
	}
	fleet, address := node.held.Load().BoundFleet(), node.addressOf(peer)
	reply, err := node.caller.Call(ctx, address, &wire.Query{Fleet: fleet, To: peer, Which: schema.Query_Which_putCold, PutCold: &wire.ColdChunkBatch{Chunks: ranges}})
	if err != nil || reply.Chunks == nil {
		return err
	}
	type key struct {
		name  string
		first uint64
	}
	lacking, missing := map[key]bool{}, []wire.ColdChunk{}
	for _, one := range reply.Chunks.Chunks {
		lacking[key{one.Line, one.First}] = true
	}
	for _, chunk := range chunks {
		if lacking[key{chunk.Line, chunk.First}] {
			missing = append(missing, chunk)
		}
	}
	_, err = node.caller.Call(ctx, address, &wire.Query{Fleet: fleet, To: peer, Which: schema.Query_Which_putCold, PutCold: &wire.ColdChunkBatch{Chunks: missing}})
	return err
}

// filled gives chunks with their events: those that come without are filled from what
// this replica has applied. It tells which it lacks.
func (node *Node) filled(chunks []wire.ColdChunk) (whole, lacking []wire.ColdChunk) {
	for _, chunk := range chunks {
		if len(chunk.Events) == 0 && !node.fill(&chunk) {
			lacking = append(lacking, chunk)
		} else if len(chunk.Events) > 0 {
			whole = append(whole, chunk)
		}
	}
	return whole, lacking
}

// fill puts the events of a range into a chunk, unless its line has them in its cold
// store. What is applied is the same at all replicas.
func (node *Node) fill(chunk *wire.ColdChunk) bool {
	if node.cold.Covers(*chunk) {
		return true
	}
	machine := node.machine(chunk.Group)
	if machine == nil {
		return false
	}
	session, found := machine.View().Session(chunk.Line)
	if !found || chunk.First <= session.ArchivedSeq || chunk.Last < chunk.First || chunk.Last > session.Head {
		return false
	}
	chunk.Events = session.Hot[chunk.First-session.ArchivedSeq-1 : chunk.Last-session.ArchivedSeq]
	return true
}
