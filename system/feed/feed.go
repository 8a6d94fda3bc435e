// Package feed holds the numbered feed of changes that orders all that must not
// be obeyed late: config, domains, runner roster, store list, assignments. A View is
// the fold of all changes up to its number; views are never changed in place.
package feed

import (
	"bytes"
	"cmp"
	"iter"
	"slices"
	"time"

	"yardrock.example/system/placement"
)

// The states of domains, runners and stores.
const (
	StateServing         = "serving"
	StateDrained         = "emptied"
	StateDraining        = "leaving"
	StateWarmingUp       = "cold"
	StateDecommissioning = "retiring"
	StateDecommissioned  = "retired"
)

// The roles of nodes.
const (
	RoleFront   = "front"
	RoleStore   = "store"
	RoleControl = "control"
)

// Member is one node of the fleet.
type Member struct {
	Name           string `capnp:"name"`
	Role           string `capnp:"role"`
	Address        string `capnp:"address"`
	Domain         string `capnp:"domain"`
	State          string `capnp:"state"`
	Administration string `capnp:"administration"`
	// Machine is what the operator calls the node's machine; it may be empty.
	Machine string `capnp:"machine"`
}

// Runner is one model or application runner of the platform's list. Since is a wall
// clock's word, for people; Warmed tells that it has served for its group's ramp.
type Runner struct {
	// Life names this start of the runner; every start has a new one. It may be empty.
	Life    string `capnp:"life"`
	Address string `capnp:"address"`
	Group   string `capnp:"group"`
	Domain  string `capnp:"domain"`
	State   string `capnp:"state"`
	Since   int64  `capnp:"since"`
	Warmed  bool   `capnp:"warmed"`
	Slots   uint32 `capnp:"slots"`
	// WarmUpLeft is how long the runner stayed cold yet when the list was read.
	WarmUpLeft time.Duration `capnp:"coldFor" json:"ColdFor"`
	Revision   string        `capnp:"revision"` // of its software
}

// Identity is what a runner is known by: its life, or its address if lives are not told.
//
//	runners[runner.Identity()] = runner
func (runner Runner) Identity() string { return cmp.Or(runner.Life, runner.Address) }

// Domain is a zone, and whether it takes work.
type Domain struct {
	Name  string `capnp:"name"`
	State string `capnp:"state"`
	Since int64  `capnp:"since"`
}

// RoleLease is a single-node assignment: its owner holds it under a fence number.
type RoleLease struct {
	Key          string `capnp:"key"`
	Holder       string `capnp:"owner" json:"Owner"`
	FencingToken uint64 `capnp:"fence" json:"Fence"`
}

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

// View is everything in force at one number.
type View struct {
	Fleet          string      `capnp:"fleet"`
	Number         uint64      `capnp:"number"`
	ConfigNumber   uint64      `capnp:"configNumber"`
	Source         string      `capnp:"source"`
	Compiled       []byte      `capnp:"compiled"`
	Domains        []Domain    `capnp:"domains"`
	Runners        []Runner    `capnp:"runners"`
	FoundingStores []Member    `capnp:"foundingStores"`
	Stores         []Member    `capnp:"stores"`
	Controls       []Member    `capnp:"controls"`
	RoleLeases     []RoleLease `capnp:"assignments"`
	Groups         uint32      `capnp:"groups"`
	// Replicas is how many replicas a group has, fixed when the fleet is founded; 0 is
	// placement.Factor.
	Replicas uint32   `capnp:"copies"`
	Founding []string `capnp:"founding"`
	// Retired are the stores that were emptied and have left the list, the last of them.
	Decommissioned []Member `capnp:"retired"`
	// RoutingRequests are the last orders of the routing, numbered by its revisions;
	// AdminRequests the last others, numbered by the changes that they became.
	RoutingRequests RequestHistory `capnp:"routingOrders"`
	AdminRequests   RequestHistory `capnp:"feedOrders"`
}

// maxDecommissioned is how many retired stores are remembered.
const maxDecommissioned = 64

var foldFuncs = map[ChangeKind]func(*View, Change){
	ChangeFounded:   func(view *View, change Change) { *view = change.View },
	ChangeRecovered: func(view *View, change Change) { *view = change.View },
	ChangeConfig: func(view *View, change Change) {
		view.Source, view.Compiled, view.ConfigNumber = change.Source, change.Compiled, change.Number
	},
	ChangeDomain: func(view *View, change Change) {
		view.Domains = replaceOrAppend(view.Domains, change.Domain, func(domain Domain) bool { return domain.Name == change.Domain.Name })
	},
	ChangeRunners: func(view *View, change Change) {
		if change.Partial {
			view.Runners = mergeRunners(view.Runners, change.Runners, change.Removed)
		} else {
			view.Runners = change.Runners
		}
	},
	ChangeStores: func(view *View, change Change) {
		if len(view.FoundingStores) == 0 {
			view.FoundingStores = change.Members
		}
		view.Stores = change.Members
		// One that an operator enrols again is not retired any more.
		retired := slices.DeleteFunc(slices.Clone(view.Decommissioned), func(store Member) bool {
			return slices.ContainsFunc(change.Members, func(listed Member) bool { return listed.replaces(store) })
		})
		if change.Member.Name != "" {
			retired = append(retired, change.Member)
		}
		view.Decommissioned = retired[max(0, len(retired)-maxDecommissioned):]
	},
	ChangeControls: func(view *View, change Change) { view.Controls = change.Members },
	ChangeRoleLease: func(view *View, change Change) {
		view.RoleLeases = replaceOrAppend(view.RoleLeases, change.RoleLease, func(assignment RoleLease) bool { return assignment.Key == change.RoleLease.Key })
	},
}

// mergeRunners gives a list of runners with some replaced or added and some taken out, in the
// lists' order.
func mergeRunners(runners, changed []Runner, removed []string) []Runner {
	omitted := make(map[string]bool, len(changed)+len(removed))
	for _, runner := range changed {
		omitted[runner.Identity()] = true
	}
	for _, name := range removed {
		omitted[name] = true
	}
	next := make([]Runner, 0, len(runners)+len(changed))
	for _, runner := range runners {
		if !omitted[runner.Identity()] {
			next = append(next, runner)
		}
	}
	next = append(next, changed...)
	SortRunners(next)
	return next
}

// SortRunners puts runners in the order of lists: by address, then by life.
//
//	feed.SortRunners(view.Runners)
func SortRunners(runners []Runner) {
	slices.SortFunc(runners, func(left, right Runner) int {
		return cmp.Or(cmp.Compare(left.Address, right.Address), cmp.Compare(left.Life, right.Life))
	})
}

func replaceOrAppend[Item any](items []Item, item Item, same func(Item) bool) []Item {
	items = slices.Clone(items)
	if at := slices.IndexFunc(items, same); at >= 0 {
		items[at] = item
		return items
	}
	return append(items, item)
}

// Fold gives the view after a change. A change that is not newer changes nothing. If the
// change is a difference that does not fit the view, the error is ErrMismatch.
//
//	view, err := feed.Fold(view, change)
func Fold(view View, change Change) (View, error) {
	fold, known := foldFuncs[change.Kind]
	if !known || change.Number <= view.Number {
		return view, nil
	}
	if !change.Delta.IsZero() {
		source, compiled, err := change.Delta.apply(&view)
		if err != nil {
			return view, err
		}
		change.Source, change.Compiled = source, compiled
	}
	fold(&view, change)
	view.recordRequests(change)
	view.Number = change.Number
	return view, nil
}

// FoldAll gives the view after changes that follow on it without a gap; those that are not
// newer are passed over. Otherwise the error is ErrGap or ErrMismatch, and whoever holds
// the view needs a whole one.
//
//	view, err := feed.FoldAll(view, reply.Changes)
func FoldAll(view View, changes []Change) (View, error) {
	for _, change := range changes {
		if change.Number > view.Number+1 {
			return view, ErrGap
		}
		next, err := Fold(view, change)
		if err != nil {
			return view, err
		}
		view = next
	}
	return view, nil
}

// IsObservation tells whether a kind of change only tells what was seen, as against what was
// ordered: it is not acknowledged to anyone, and can be seen again after any loss.
//
//	if change.Kind.IsObservation() { ... }
func (kind ChangeKind) IsObservation() bool { return kind == ChangeRunners || kind == ChangeRoleLease }

// EqualExceptObservations tells whether two views differ at most in what observed changes bring.
//
//	if view.EqualExceptObservations(held) { ... }
func (view *View) EqualExceptObservations(other *View) bool {
	return view.RoutingRequests.equal(&other.RoutingRequests) && view.AdminRequests.equal(&other.AdminRequests) &&
		view.Fleet == other.Fleet && view.ConfigNumber == other.ConfigNumber && view.Groups == other.Groups && view.Source == other.Source &&
		bytes.Equal(view.Compiled, other.Compiled) && slices.Equal(view.Domains, other.Domains) && slices.Equal(view.Founding, other.Founding) &&
		slices.Equal(view.Decommissioned, other.Decommissioned) && slices.Equal(view.FoundingStores, other.FoundingStores) && slices.Equal(view.Stores, other.Stores) && slices.Equal(view.Controls, other.Controls)
}

// DomainDrained tells whether a domain takes no new work.
//
//	if view.DomainDrained(runner.Domain) { continue }
func (view *View) DomainDrained(name string) bool {
	for _, domain := range view.Domains {
		if domain.Name == name {
			return domain.State == StateDrained
		}
	}
	return false
}

// WasDecommissioned tells whether a store, or another one of its machine, was emptied and has left
// the list: its machine may be switched off, and is not to be enrolled again by itself.
//
//	if view.WasDecommissioned(member) { continue }
func (view *View) WasDecommissioned(store Member) bool {
	return slices.ContainsFunc(view.Decommissioned, store.replaces)
}

// replaces tells whether a store is the same as another, or on the same machine.
func (member Member) replaces(earlier Member) bool {
	return member.Name == earlier.Name || (member.Machine != "" && member.Machine == earlier.Machine)
}

// BoundFleet names the fleet that a node with this view belongs to for good. Until there
// is a store list nothing was acknowledged, and the control plane that founded the
// fleet may still find that it is the one of an older fleet that lost its disks.
//
//	query.Fleet = view.BoundFleet()
func (view *View) BoundFleet() string {
	if len(view.Stores) == 0 {
		return ""
	}
	return view.Fleet
}

// RoleLeaseOf finds who holds an assignment.
//
//	assignment := view.RoleLeaseOf("roster")
func (view *View) RoleLeaseOf(key string) RoleLease {
	for _, lease := range view.RoleLeases {
		if lease.Key == key {
			return lease
		}
	}
	return RoleLease{Key: key}
}

// ReplicationFactor is how many replicas a group has.
//
//	names := placement.ReplicasOf(group, view.PlacementCandidates(), view.ReplicationFactor())
func (view *View) ReplicationFactor() int {
	if view.Replicas == 0 {
		return placement.DefaultReplicas
	}
	return int(view.Replicas)
}

// PlacementCandidates lists the stores that replicas may be put on.
//
//	names := placement.ReplicasOf(group, view.PlacementCandidates(), view.ReplicationFactor())
func (view *View) PlacementCandidates() []placement.Candidate {
	return PlacementCandidates(view.Stores)
}

// PlacementCandidates turns members into places, leaving out those that go away.
//
//	places := feed.PlacementCandidates(view.FoundingStores)
func PlacementCandidates(members []Member) []placement.Candidate {
	candidates := []placement.Candidate{}
	for _, member := range ViewReplicas(members) {
		candidates = append(candidates, placement.Candidate{Name: member.Name, Domain: member.Domain})
	}
	return candidates
}

// ViewReplicas are the stores of which a majority keeps what was ordered: those that stay.
//
//	majority := len(feed.ViewReplicas(view.Stores))/2 + 1
func ViewReplicas(stores []Member) []Member {
	return slices.DeleteFunc(slices.Clone(stores), func(store Member) bool {
		return store.State == StateDecommissioning || store.State == StateDecommissioned
	})
}

// AddressOf finds a store's or control node's address.
//
//	address := view.AddressOf(name)
func (view *View) AddressOf(name string) string {
	for member := range view.Members() {
		if member.Name == name {
			return member.Address
		}
	}
	return ""
}

// Members iterates over the enrolled stores and control nodes.
//
//	for member := range view.Members() { ... }
func (view *View) Members() iter.Seq[Member] {
	return func(yield func(Member) bool) {
		for _, member := range view.Stores {
			if !yield(member) {
				return
			}
		}
		for _, member := range view.Controls {
			if !yield(member) {
				return
			}
		}
	}
}
