package link

import (
	"sync/atomic"

	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// maxKinds bounds the kinds of query that are counted. A kind beyond it, which only a later
// version can have, is not.
const maxKinds = 64

// kindCounters counts the queries of one kind, and the bytes of them and their replies.
type kindCounters struct{ queriesSent, queriesReceived, bytesOut, bytesIn atomic.Uint64 }

// counters are those of the whole process, by kind of query. A process is one node, which may
// have several clients and servers.
var counters [maxKinds]kindCounters

func countQuerySent(kind schema.Query_Which, size int) {
	if kind < maxKinds {
		counters[kind].queriesSent.Add(1)
		counters[kind].bytesOut.Add(uint64(size))
	}
}

func countReplyReceived(kind schema.Query_Which, size int) {
	if kind < maxKinds {
		counters[kind].bytesIn.Add(uint64(size))
	}
}

func countQueryReceived(kind schema.Query_Which, size int) {
	if kind < maxKinds {
		counters[kind].queriesReceived.Add(1)
		counters[kind].bytesIn.Add(uint64(size))
	}
}

func countReplySent(kind schema.Query_Which, size int) {
	if kind < maxKinds {
		counters[kind].bytesOut.Add(uint64(size))
	}
}

// Traffic gives what this process sent and received since it started, one entry for each kind of
// query that occurred. Bytes are those of Cap'n Proto messages, without headers of frames and
// of TCP. Counters only grow.
//
//	for _, kind := range link.Traffic() { fmt.Println(kind.Kind, kind.QueriesSent, kind.BytesOut) }
func Traffic() []wire.TrafficByKind {
	traffic := []wire.TrafficByKind{}
	for which := range counters {
		counts := &counters[which]
		kind := wire.TrafficByKind{
			Kind: schema.Query_Which(which).String(), QueriesSent: counts.queriesSent.Load(), QueriesReceived: counts.queriesReceived.Load(),
			BytesOut: counts.bytesOut.Load(), BytesIn: counts.bytesIn.Load(),
		}
		if kind.QueriesSent+kind.QueriesReceived > 0 {
			traffic = append(traffic, kind)
		}
	}
	return traffic
}
