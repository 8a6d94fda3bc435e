package feed

// ChangeKind selects how Fold applies a change. Its values are stored and sent.
type ChangeKind uint16

// The kinds of change.
const (
	// ChangeBootstrapped replaces the view by the first one of a newly bootstrapped fleet.
	ChangeBootstrapped ChangeKind = iota + 1
	// ChangeConfig replaces the config.
	ChangeConfig
	// ChangeDomain drains one domain or returns it to service.
	ChangeDomain
	// ChangeRunners updates the runners from the platform's list (an observation).
	ChangeRunners
	// ChangeStores replaces the store list.
	ChangeStores
	// ChangeControls replaces the list of control nodes.
	ChangeControls
	// ChangeRoleLease grants the lease on a singleton role (an observation).
	ChangeRoleLease
	// ChangeRecovered replaces the view by the newest one that a majority of the stores has
	// synced, after the loss of all disks of the control plane.
	ChangeRecovered
)

// IsObservation reports whether changes of a kind only record what a control node observed. All
// others are commands. An observation is not acknowledged to a client and can be repeated after
// a loss, so it need not wait until the stores have synced it.
//
//	if change.Kind.IsObservation() { ... }
func (kind ChangeKind) IsObservation() bool { return kind == ChangeRunners || kind == ChangeRoleLease }

// Change is one change of the feed. The control plane's state machine assigns its number when it
// is committed; which fields are set depends on its kind.
type Change struct {
	Number uint64     `capnp:"number"`
	Kind   ChangeKind `capnp:"kind"`
	// At is when the leader proposed it, as Unix time in nanoseconds; for display only.
	At int64 `capnp:"at"`
	// By names the operator or node that requested it.
	By string `capnp:"by"`
	// Expects makes the change conditional (compare and swap): it is rejected unless Expected is
	// the current config number, for a ChangeConfig, or the current view number, for other kinds.
	Expects  bool   `capnp:"expects"`
	Expected uint64 `capnp:"expected"`
	// Source and Compiled are the config of a ChangeConfig, unless Delta is set.
	Source   string `capnp:"source"`
	Compiled []byte `capnp:"compiled"`
	// Domain is the new state of a domain, for a ChangeDomain.
	Domain Domain `capnp:"domain"`
	// Runners are the new runner list or, if Partial, the runners to add or replace.
	Runners []Runner `capnp:"runners"`
	// Member is the decommissioned store, if any, that a ChangeStores removes from the store
	// list.
	Member Member `capnp:"member"`
	// Members are the new member list of a ChangeStores or ChangeControls.
	Members []Member `capnp:"members"`
	// RoleLease is the lease that a ChangeRoleLease grants, or under which a ChangeRunners was
	// made; its fencing token is checked when the change is applied.
	RoleLease RoleLease `capnp:"assignment"`
	// View is the full view of a ChangeBootstrapped or ChangeRecovered.
	View View `capnp:"view"`
	// Statement is the operator's statement in the query language, if there was one.
	Statement string `capnp:"query"`
	// Partial makes a ChangeRunners incremental: Runners are added or replaced, and runners with
	// an identity in Removed are removed. Otherwise Runners replace the whole list.
	Partial bool     `capnp:"partial"`
	Removed []string `capnp:"gone"`
	// AdminRequest is the digest of the admin request that the change executes, 0 if there is
	// none.
	AdminRequest uint64 `capnp:"feedOrder"`
	// RoutingRequests are the routing requests that the change executes, numbered by their
	// revisions. Requests that an older version recorded in the routing itself come first.
	RoutingRequests []AcceptedRequest `capnp:"routingOrders"`
	// RoutingEvictedUpTo is the highest revision whose request an older version has evicted.
	RoutingEvictedUpTo uint64 `capnp:"routingForgotten"`
	// Delta is the config of a ChangeConfig as a delta on the one that it replaces.
	Delta ConfigDelta `capnp:"delta"`
}
