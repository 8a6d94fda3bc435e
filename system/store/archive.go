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
			node.archive(group, status.Replicas.Voters)
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
	expired := view.AnyExpired(now)
	for session := range view.Hot() {
		if budget <= 0 {
			break
		}
		if session.Expires().UnixNano() < now {
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
	ctx, cancel := context.WithTimeout(node.context, commandPatience)
	defer cancel()
	if len(chunks) > 0 && !node.putOnMajority(ctx, voters, chunks) {
		return
	}
	command := line.Command{Kind: line.AckArchived, Now: node.clock(group), Acks: acks}
	if _, err := node.host.Propose(ctx, group, [][]byte{wire.MustEncode(schema.Command_TypeID, &command)}); err != nil {
		log.WithFields(log.Fields{"node": node.Name(), "group": group, "error": err.Error()}).Warn("archive_not_acknowledged")
	}
}

func (node *Node) putOnMajority(ctx context.Context, voters []string, chunks []wire.ColdChunk) bool {
	results := make(chan error, len(voters))
	for _, voter := range voters {
		go func() {
			if voter == node.Name() {
				results <- node.cold.Put(chunks)
				return
			}
			_, err := node.caller.Call(ctx, node.addressOf(voter), &wire.Query{Fleet: node.held.Load().Bound(), Which: schema.Query_Which_putCold, PutCold: &wire.ColdChunkBatch{Chunks: chunks}})
			results <- err
		}()
	}
	stored := 0
	for range voters {
		if <-results == nil {
			stored++
		}
	}
	return stored >= len(voters)/2+1
}
