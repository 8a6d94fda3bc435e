package store

import (
	"fmt"
	"testing"
	"time"

	"yardrock.example/system/line"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// BenchmarkCheckpointOfADaysGroup encodes and reads back what one of 32 groups keeps
// of the agency's conversations after a hundredth, a tenth and all of a day.
func BenchmarkCheckpointOfADaysGroup(b *testing.B) {
	for _, lines := range []int{729, 7290, 72900} {
		machine := line.NewMachine()
		for number := range lines {
			name := fmt.Sprintf("team/c-%032d", number)
			machine.Apply(&line.Command{Kind: line.CreateSession, Line: name, Now: int64(time.Hour), KeepFor: 24 * time.Hour, Team: "team", Program: "dialogue", WorkKind: "talk"})
			for turn := range 3 {
				begun := uint64(turn*3 + 1)
				machine.Apply(&line.Command{Kind: line.AppendEvents, Line: name, Now: int64(time.Hour), Producer: fmt.Sprintf("dialogue/turn/%d#0", turn), ProducerSeq: 3,
					Events: []line.Event{{Kind: line.TurnBegun}, {Kind: line.Piece, Turn: begun}, {Kind: line.TurnEnded, Turn: begun}}})
			}
			machine.Apply(&line.Command{Kind: line.AckArchived, Now: int64(time.Hour), Acks: []line.Ack{{Line: name, ArchivedSeq: 9}}})
		}
		image := machine.View().Image()
		data := wire.MustEncode(schema.LineImage_TypeID, &image)
		b.Run(fmt.Sprintf("write-%d", lines), func(b *testing.B) {
			b.ReportMetric(float64(len(data)), "bytes")
			for range b.N {
				image := machine.View().Image()
				wire.MustEncode(schema.LineImage_TypeID, &image)
			}
		})
		b.Run(fmt.Sprintf("read-%d", lines), func(b *testing.B) {
			for range b.N {
				var image line.Image
				if err := wire.Decode(schema.LineImage_TypeID, data, &image); err != nil {
					b.Fatal(err)
				}
				if err := line.NewMachine().Restore(image); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
