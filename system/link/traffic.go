package link

import (
	"sync/atomic"

	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// maxKinds bounds the kinds of query that are counted; what is beyond is left out.
const maxKinds = 64

// kindCounters counts the calls and bytes of one kind of query.
type kindCounters struct{ queriesSent, queriesReceived, bytesOut, bytesIn atomic.Uint64 }

// counters is of the whole process: a process is one node, which may hold several
// callers and servers.
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

// Traffic gives what this process asked and answered since it started, one entry a
// kind of query that occurred, in bytes of Cap'n Proto messages (the frames' headers
// and TCP's are not in them). Counters only grow.
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
