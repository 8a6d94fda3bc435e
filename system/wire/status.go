package wire

import (
	"yardrock.example/system/feed"
)

// StatusQuery asks a process who it is, and, if Traffic is set, what it said so far.
type StatusQuery struct {
	Address string `capnp:"address"`
	Traffic bool   `capnp:"traffic"`
	// SharedPrefixes asks for the openings that the groups led there hold.
	SharedPrefixes bool `capnp:"openings"`
}

// StatusReply tells who a process is.
type StatusReply struct {
	Name          string          `capnp:"name"`
	Role          string          `capnp:"role"`
	Address       string          `capnp:"address"`
	Domain        string          `capnp:"domain"`
	Uninitialized bool            `capnp:"empty"`
	Fleet         string          `capnp:"fleet"`
	ViewNumber    uint64          `capnp:"number"`
	Leader        string          `capnp:"leader"`
	Controls      []feed.Member   `capnp:"controls"`
	Founding      []string        `capnp:"founding"`
	Groups        []GroupStatus   `capnp:"groups"`
	RunnerLoads   []RunnerLoad    `capnp:"demand"`
	Queued        uint32          `capnp:"waiting"`
	Traffic       []TrafficByKind `capnp:"traffic"`
}

// GroupStatus is a replica's word on one group; only a leader's counts.
type GroupStatus struct {
	Group          uint32               `capnp:"group"`
	Leading        bool                 `capnp:"leading"`
	Voters         []string             `capnp:"voters"`
	Learners       []string             `capnp:"learners"`
	SharedPrefixes []SharedPrefixStatus `capnp:"openings"`
}

// SharedPrefixStatus tells of an opening that a group holds once for many lines; Size is in
// bytes. It never carries its content.
type SharedPrefixStatus struct {
	Name       string `capnp:"name"`
	Scope      string `capnp:"scope"`
	Size       uint64 `capnp:"size"`
	References uint64 `capnp:"lines"`
	Corrupt    bool   `capnp:"damaged"`
}

// RunnerLoad is what a front has out to a runner, and whether it takes the runner
// for just started.
type RunnerLoad struct {
	Address   string `capnp:"address"`
	InFlight  uint32 `capnp:"out"`
	WarmingUp bool   `capnp:"cooled"`
}

// TrafficByKind counts the queries of one kind that a process asked and answered since
// it started, and the bytes of their messages, queries and replies, both ways.
type TrafficByKind struct {
	Kind            string `capnp:"kind"`
	QueriesSent     uint64 `capnp:"asked"`
	QueriesReceived uint64 `capnp:"answered"`
	BytesOut        uint64 `capnp:"bytesOut"`
	BytesIn         uint64 `capnp:"bytesIn"`
}

// RunnerWarmUpNote tells the other fronts that a runner looks just started, or that it
// has answered again since.
type RunnerWarmUpNote struct {
	Address   string `capnp:"address"`
	WarmingUp bool   `capnp:"cooled"`
}
