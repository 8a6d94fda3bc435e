package feed

// ChangeKind selects how Fold applies a change. The numbers are stored and sent.
type ChangeKind uint16

// The kinds of change.
const (
	// ChangeFounded replaces the view by the first one of a new fleet.
	ChangeFounded ChangeKind = iota + 1
	// ChangeConfig replaces the config.
	ChangeConfig
	// ChangeDomain drains or refills one domain.
	ChangeDomain
	// ChangeRunners updates the runners from the platform's list (an observation).
	ChangeRunners
	// ChangeStores replaces the store list.
	ChangeStores
	// ChangeControls replaces the list of control nodes.
	ChangeControls
	// ChangeRoleLease grants the lease on a singleton role (an observation).
	ChangeRoleLease
	// ChangeRecovered replaces the view by the newest one that a majority of the stores
	// had synced, after all disks of the control plane were lost.
	ChangeRecovered
)

// IsObservation reports whether changes of a kind only record what a control node saw. All
// others are commands. An observation is acknowledged to nobody and can be made again
// after any loss, so it need not wait for the stores.
//
//	if change.Kind.IsObservation() { ... }
func (kind ChangeKind) IsObservation() bool { return kind == ChangeRunners || kind == ChangeRoleLease }

// Change is one numbered change of the feed. The control plane's state machine numbers it
// when it is committed; which fields are set depends on its kind.
type Change struct {
	Number uint64     `capnp:"number"`
	Kind   ChangeKind `capnp:"kind"`
	// At is when the leader proposed it, in nanoseconds since 1970, for people.
	At int64 `capnp:"at"`
	// By names the operator or the node that asked for it.
	By string `capnp:"by"`
	// Expects makes the change conditional (compare and swap): it is refused unless what it
	// replaces has the number Expected. That is the config's number for a config change, the
	// view's for all others.
	Expects  bool   `capnp:"expects"`
	Expected uint64 `capnp:"expected"`
	// Source and Compiled are the config of a ChangeConfig, unless Delta is set.
	Source   string `capnp:"source"`
	Compiled []byte `capnp:"compiled"`
	// Domain is the new state of a domain, for a ChangeDomain.
	Domain Domain `capnp:"domain"`
	// Runners are the new list of runners, or, if Partial, those to add or replace.
	Runners []Runner `capnp:"runners"`
	// Member is the store that has just been decommissioned and is missing from the Members
	// of a ChangeStores, if any.
	Member Member `capnp:"member"`
	// Members are the new list of a ChangeStores or ChangeControls.
	Members []Member `capnp:"members"`
	// RoleLease is the lease that a ChangeRoleLease grants, or the one under which a
	// ChangeRunners was made; its fencing token is checked when the change is applied.
	RoleLease RoleLease `capnp:"assignment"`
	// View is the complete view of a ChangeFounded or ChangeRecovered.
	View View `capnp:"view"`
	// Statement is the operator's statement in the query language, if there was one.
	Statement string `capnp:"query"`
	// Partial makes a ChangeRunners incremental: Runners are added or replaced and those
	// with an identity in Removed are taken out. Otherwise Runners replace the whole list.
	Partial bool     `capnp:"partial"`
	Removed []string `capnp:"gone"`
	// AdminRequest is the digest of the admin request that the change carries out, 0 if
	// there is none.
	AdminRequest uint64 `capnp:"feedOrder"`
	// RoutingRequests are the routing requests that the change carries out, numbered by their
	// revisions, after those that an older version remembered in the routing itself.
	RoutingRequests []AcceptedRequest `capnp:"routingOrders"`
	// RoutingForgotten is the highest revision whose request an older version has forgotten.
	RoutingForgotten uint64 `capnp:"routingForgotten"`
	// Delta is the config of a ChangeConfig as a difference from the one that it replaces.
	Delta ConfigDelta `capnp:"delta"`
}
