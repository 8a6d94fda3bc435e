package link

import (
	"sync/atomic"

	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// maxQueryKinds is the number of query kinds that are counted. Higher ones, which only a later
// version can send, are ignored.
const maxQueryKinds = 64

// kindCounters counts the queries of one kind and the bytes of these queries and their replies.
type kindCounters struct{ queriesSent, queriesReceived, bytesOut, bytesIn atomic.Uint64 }

// counters holds the counters by query kind. They are global to the process, which is one node
// but may have several clients and servers.
var counters [maxQueryKinds]kindCounters

func countQuerySent(kind schema.Query_Which, size int) {
	if kind < maxQueryKinds {
		counters[kind].queriesSent.Add(1)
		counters[kind].bytesOut.Add(uint64(size))
	}
}

func countReplyReceived(kind schema.Query_Which, size int) {
	if kind < maxQueryKinds {
		counters[kind].bytesIn.Add(uint64(size))
	}
}

func countQueryReceived(kind schema.Query_Which, size int) {
	if kind < maxQueryKinds {
		counters[kind].queriesReceived.Add(1)
		counters[kind].bytesIn.Add(uint64(size))
	}
}

func countReplySent(kind schema.Query_Which, size int) {
	if kind < maxQueryKinds {
		counters[kind].bytesOut.Add(uint64(size))
	}
}

// Traffic returns what this process has sent and received since it started, with one entry per
// query kind that occurred. Bytes are those of Cap'n Proto messages, without frame and TCP
// headers. The counters never decrease.
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
