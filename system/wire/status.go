package wire

import (
	"yardrock.example/system/feed"
)

// StatusQuery requests the identity and state of a process, and with Traffic its message
// counters. Address is not used by any version.
type StatusQuery struct {
	Address string `capnp:"address"`
	Traffic bool   `capnp:"traffic"`
	// SharedPrefixes requests the shared prefixes of the groups that the process leads.
	SharedPrefixes bool `capnp:"openings"`
}

// StatusReply is the identity and state of a process. Fleet and ViewNumber are those of its
// current view; Uninitialized is set until it has one. Leader is the control leader known to
// it, Controls are the control nodes, and Founding has the names of those that found the fleet.
// Only fronts set RunnerLoads and Queued, the number of requests waiting for a runner.
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

// GroupStatus is the state of one group as a replica knows it. Voters and Learners are names
// of stores; only the leader's lists are authoritative.
type GroupStatus struct {
	Group          uint32               `capnp:"group"`
	Leading        bool                 `capnp:"leading"`
	Voters         []string             `capnp:"voters"`
	Learners       []string             `capnp:"learners"`
	SharedPrefixes []SharedPrefixStatus `capnp:"openings"`
}

// SharedPrefixStatus describes, without its content, a prefix that a group stores once for all
// sessions of a scope that begin with it. Size is in bytes, References counts the sessions that
// refer to it, and Corrupt is set if the stored bytes do not match the digest in the name.
type SharedPrefixStatus struct {
	Name       string `capnp:"name"`
	Scope      string `capnp:"scope"`
	Size       uint64 `capnp:"size"`
	References uint64 `capnp:"lines"`
	Corrupt    bool   `capnp:"damaged"`
}

// RunnerLoad is the number of requests that a front has in flight to a runner, and whether the
// front treats the runner as warming up.
type RunnerLoad struct {
	Address   string `capnp:"address"`
	InFlight  uint32 `capnp:"out"`
	WarmingUp bool   `capnp:"cooled"`
}

// TrafficByKind counts the queries of one kind that a process has sent and received since it
// started, and the bytes of these queries and their replies in each direction.
type TrafficByKind struct {
	Kind            string `capnp:"kind"`
	QueriesSent     uint64 `capnp:"asked"`
	QueriesReceived uint64 `capnp:"answered"`
	BytesOut        uint64 `capnp:"bytesOut"`
	BytesIn         uint64 `capnp:"bytesIn"`
}

// RunnerWarmUpNote notifies the other fronts that the sender treats a runner as just started
// or, without WarmingUp, that the runner has answered since.
type RunnerWarmUpNote struct {
	Address   string `capnp:"address"`
	WarmingUp bool   `capnp:"cooled"`
}
