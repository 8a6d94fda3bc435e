package wire

import (
	"testing"
	"time"

	"yardrock.example/system/feed"
	"yardrock.example/system/wire/schema"
)

// TestPollsAreNotEncodedByReflection guards against control nodes that lose their leadership because
// polls take their processor time: reflection takes 30 times as long as a hand-written codec.
func TestPollsAreNotEncodedByReflection(t *testing.T) {
	const maxRatio = 12
	member := feed.Member{Name: "front-1", Role: feed.RoleFront, Address: "10.1.0.97:7260", Domain: "east", Machine: "edge-1"}
	handCodedQuery := &Query{Fleet: "fleet", Which: schema.Query_Which_read, Read: &ReadQuery{Session: "front-1"}}
	handCodedReply := &Reply{Which: schema.Reply_Which_read, Read: &ReadReply{}}
	queryCost, replyCost := roundTripTime(t, handCodedQuery, nil), roundTripTime(t, nil, handCodedReply)
	for _, query := range []*Query{
		{Fleet: "fleet", Which: schema.Query_Which_follow, Follow: &FollowQuery{Member: member}},
		{Fleet: "fleet", Which: schema.Query_Which_newest, NewestView: &NewestViewQuery{After: 3}},
		{Fleet: "fleet", Which: schema.Query_Which_sessions, MemberSessions: &MemberSessionBatch{From: "a", Sessions: []MemberSession{{Member: member}}}},
		{Fleet: "fleet", Which: schema.Query_Which_hold, ReplicateView: &ReplicateViewQuery{PackedView: []byte("view")}},
	} {
		if cost := roundTripTime(t, query, nil); cost > maxRatio*queryCost {
			t.Errorf("query %s takes %s, a hand-coded one %s", query.Which, cost, queryCost)
		}
	}
	for _, reply := range []*Reply{
		{Which: schema.Reply_Which_follow, Follow: &FollowReply{Newest: 3}},
		{Which: schema.Reply_Which_newest, NewestView: &NewestViewReply{Number: 3}},
	} {
		if cost := roundTripTime(t, nil, reply); cost > maxRatio*replyCost {
			t.Errorf("reply %s takes %s, a hand-coded one %s", reply.Which, cost, replyCost)
		}
	}
}

// roundTripTime returns the shortest of many times that it takes to encode and decode a query or,
// if that is nil, a reply. The shortest one does not depend on what else the machine does.
func roundTripTime(t *testing.T, query *Query, reply *Reply) time.Duration {
	t.Helper()
	shortest := time.Hour
	for range 300 {
		began := time.Now()
		if query != nil {
			data, err := AppendQuery(nil, query)
			if err == nil {
				_, err = DecodeQuery(data)
			}
			if err != nil {
				t.Fatal(err)
			}
		} else {
			data, err := AppendReply(nil, reply)
			if err == nil {
				_, err = DecodeReply(data)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		shortest = min(shortest, time.Since(began))
	}
	return shortest
}
