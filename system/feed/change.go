package feed

// ChangeKind selects how a change folds.
type ChangeKind uint16

// The kinds of change.
const (
	ChangeFounded ChangeKind = iota + 1
	ChangeConfig
	ChangeDomain
	ChangeRunners
	ChangeStores
	ChangeControls
	ChangeRoleLease
	ChangeRecovered
)

// IsObservation tells whether a kind of change only tells what was seen, as against what was
// ordered: it is not acknowledged to anyone, and can be seen again after any loss.
//
//	if change.Kind.IsObservation() { ... }
func (kind ChangeKind) IsObservation() bool { return kind == ChangeRunners || kind == ChangeRoleLease }

// Change is one numbered change of the feed. Expected guards against a second
// writer: the change is refused unless the part it replaces is of that number. The
// Member of a change of the store list is the one that left it emptied, if any.
type Change struct {
	Number    uint64     `capnp:"number"`
	Kind      ChangeKind `capnp:"kind"`
	At        int64      `capnp:"at"`
	By        string     `capnp:"by"`
	Expects   bool       `capnp:"expects"`
	Expected  uint64     `capnp:"expected"`
	Source    string     `capnp:"source"`
	Compiled  []byte     `capnp:"compiled"`
	Domain    Domain     `capnp:"domain"`
	Runners   []Runner   `capnp:"runners"`
	Member    Member     `capnp:"member"`
	Members   []Member   `capnp:"members"`
	RoleLease RoleLease  `capnp:"assignment"`
	View      View       `capnp:"view"`
	Statement string     `capnp:"query"`
	// Partial tells that Runners are only those that are new or other than before, and
	// Gone the identities of those that are no longer listed.
	Partial bool     `capnp:"partial"`
	Removed []string `capnp:"gone"`
	// AdminRequest is the digest of the operator's order that brought the change, 0 if none did.
	AdminRequest uint64 `capnp:"feedOrder"`
	// RoutingRequests are the orders of the routing that the change carries out, and those
	// that were remembered elsewhere until then; their numbers are revisions.
	RoutingRequests []AcceptedRequest `capnp:"routingOrders"`
	// RoutingForgotten is the highest revision whose order was forgotten elsewhere.
	RoutingForgotten uint64 `capnp:"routingForgotten"`
	// Delta is the config of a config change as a difference, in place of Source and
	// Compiled.
	Delta ConfigDelta `capnp:"delta"`
}
