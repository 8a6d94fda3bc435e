package scale

import (
	"fmt"
	"testing"

	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// BenchmarkFeedReplies measures encoding and decoding of a feed reply that carries the live nodes
// or a complete view with runners.
func BenchmarkFeedReplies(b *testing.B) {
	for _, size := range []int{50, 430, 2600} {
		members, runners := []feed.Member{}, []feed.Runner{}
		for position := range size {
			members = append(members, feed.Member{Name: fmt.Sprintf("front-%08d-1234-1234-1234-123456789012", position), Role: feed.RoleFront, Address: fmt.Sprintf("10.1.%d.%d:7000", position/250, position%250), Domain: domains[position%3], Machine: fmt.Sprintf("edge-%d", position)})
			runners = append(runners, feed.Runner{Incarnation: fmt.Sprintf("life-%d", position), Address: fmt.Sprintf("10.2.%d.%d:8000", position/250, position%250), Group: runnerGroups[position%3], Domain: domains[position%3], State: feed.StateServing, Slots: 32})
		}
		for name, answer := range map[string]wire.FollowReply{
			"nodes":   {Newest: 5, MembersDigest: 7, Members: members},
			"runners": {Newest: 5, Reset: true, View: feed.View{Runners: runners}},
		} {
			reply := &wire.Reply{Which: schema.Reply_Which_follow, Follow: &answer}
			data, err := wire.AppendReply(nil, reply)
			if err != nil {
				b.Fatal(err)
			}
			b.Run(fmt.Sprintf("encode/%s-%d", name, size), func(b *testing.B) {
				for b.Loop() {
					if _, err := wire.AppendReply(nil, reply); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(data)), "bytes")
			})
			b.Run(fmt.Sprintf("decode/%s-%d", name, size), func(b *testing.B) {
				for b.Loop() {
					if _, err := wire.DecodeReply(data); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
