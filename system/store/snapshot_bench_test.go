package store

import (
	"fmt"
	"testing"
	"time"

	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// BenchmarkGroupSnapshot encodes and restores the snapshot of a group with the number of sessions
// that one of 32 groups has after 1%, 10% and 100% of a day in the agency workload.
func BenchmarkGroupSnapshot(b *testing.B) {
	for _, sessions := range []int{729, 7290, 72900} {
		machine := sessionlog.NewStateMachine()
		for number := range sessions {
			name := fmt.Sprintf("team/c-%032d", number)
			machine.Apply(&sessionlog.Command{Kind: sessionlog.CreateSession, Session: name, Now: int64(time.Hour), Retention: 24 * time.Hour, Team: "team", Program: "dialogue", WorkKind: "talk"})
			for turn := range 3 {
				begun := uint64(turn*3 + 1)
				machine.Apply(&sessionlog.Command{Kind: sessionlog.AppendEvents, Session: name, Now: int64(time.Hour), Producer: fmt.Sprintf("dialogue/turn/%d#0", turn), ProducerSeq: 3,
					Events: []sessionlog.Event{{Kind: sessionlog.TurnBegun}, {Kind: sessionlog.OutputPart, Run: begun}, {Kind: sessionlog.TurnEnded, Run: begun}}})
			}
			machine.Apply(&sessionlog.Command{Kind: sessionlog.AckArchived, Now: int64(time.Hour), Acks: []sessionlog.Ack{{Session: name, ArchivedSeq: 9}}})
		}
		snapshot := machine.View().Snapshot()
		data := wire.MustEncode(schema.LineImage_TypeID, &snapshot)
		b.Run(fmt.Sprintf("write-%d", sessions), func(b *testing.B) {
			b.ReportMetric(float64(len(data)), "bytes")
			for range b.N {
				snapshot := machine.View().Snapshot()
				wire.MustEncode(schema.LineImage_TypeID, &snapshot)
			}
		})
		b.Run(fmt.Sprintf("read-%d", sessions), func(b *testing.B) {
			for range b.N {
				var snapshot sessionlog.Snapshot
				if err := wire.Decode(schema.LineImage_TypeID, data, &snapshot); err != nil {
					b.Fatal(err)
				}
				if err := sessionlog.NewStateMachine().Restore(snapshot); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
