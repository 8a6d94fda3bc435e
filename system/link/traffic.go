package link

import (
	"sync/atomic"

	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// kinds bounds the kinds of query that are counted; what is beyond is left out.
const kinds = 64

// kindCounters counts the calls and bytes of one kind of query.
type kindCounters struct{ asked, answered, bytesOut, bytesIn atomic.Uint64 }

// counted is of the whole process: a process is one node, which may hold several
// callers and servers.
var counted [kinds]kindCounters

func countAsked(kind schema.Query_Which, size int) {
	if kind < kinds {
		counted[kind].asked.Add(1)
		counted[kind].bytesOut.Add(uint64(size))
	}
}

func countReply(kind schema.Query_Which, size int) {
	if kind < kinds {
		counted[kind].bytesIn.Add(uint64(size))
	}
}

func countAnswered(kind schema.Query_Which, size int) {
	if kind < kinds {
		counted[kind].answered.Add(1)
		counted[kind].bytesIn.Add(uint64(size))
	}
}

func countSent(kind schema.Query_Which, size int) {
	if kind < kinds {
		counted[kind].bytesOut.Add(uint64(size))
	}
}

// Traffic gives what this process asked and answered since it started, one entry a
// kind of query that occurred, in bytes of Cap'n Proto messages (the frames' headers
// and TCP's are not in them). Counters only grow.
//
//	for _, kind := range link.Traffic() { fmt.Println(kind.Kind, kind.Asked, kind.BytesOut) }
func Traffic() []wire.KindTraffic {
	traffic := []wire.KindTraffic{}
	for which := range counted {
		counters := &counted[which]
		kind := wire.KindTraffic{
			Kind: schema.Query_Which(which).String(), Asked: counters.asked.Load(), Answered: counters.answered.Load(),
			BytesOut: counters.bytesOut.Load(), BytesIn: counters.bytesIn.Load(),
		}
		if kind.Asked+kind.Answered > 0 {
			traffic = append(traffic, kind)
		}
	}
	return traffic
}
