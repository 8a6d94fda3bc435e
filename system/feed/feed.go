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
	Serving  = "serving"
	Emptied  = "emptied"
	Leaving  = "leaving"
	Cold     = "cold"
	Retiring = "retiring"
	Retired  = "retired"
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
	// ColdFor is how long the runner stayed cold yet when the list was read.
	ColdFor  time.Duration `capnp:"coldFor"`
	Revision string        `capnp:"revision"` // of its software
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

// Assignment is a single-node assignment: its owner holds it under a fence number.
type Assignment struct {
	Key   string `capnp:"key"`
	Owner string `capnp:"owner"`
	Fence uint64 `capnp:"fence"`
}

// ChangeKind selects how a change folds.
type ChangeKind uint16

// The kinds of change.
const (
	ChangeFounded ChangeKind = iota + 1
	ChangeConfig
	ChangeDomain
	ChangeRoster
	ChangeStores
	ChangeControls
	ChangeAssignment
	ChangeRecovered
)

// Change is one numbered change of the feed. Expected guards against a second
// writer: the change is refused unless the part it replaces is of that number. The
// Member of a change of the store list is the one that left it emptied, if any.
type Change struct {
	Number     uint64     `capnp:"number"`
	Kind       ChangeKind `capnp:"kind"`
	At         int64      `capnp:"at"`
	By         string     `capnp:"by"`
	Expects    bool       `capnp:"expects"`
	Expected   uint64     `capnp:"expected"`
	Source     string     `capnp:"source"`
	Compiled   []byte     `capnp:"compiled"`
	Domain     Domain     `capnp:"domain"`
	Runners    []Runner   `capnp:"runners"`
	Member     Member     `capnp:"member"`
	Members    []Member   `capnp:"members"`
	Assignment Assignment `capnp:"assignment"`
	View       View       `capnp:"view"`
	Query      string     `capnp:"query"`
	// Partial tells that Runners are only those that are new or other than before, and
	// Gone the identities of those that are no longer listed.
	Partial bool     `capnp:"partial"`
	Gone    []string `capnp:"gone"`
	// FeedOrder is the digest of the operator's order that brought the change, 0 if none did.
	FeedOrder uint64 `capnp:"feedOrder"`
	// RoutingOrders are the orders of the routing that the change carries out, and those
	// that were remembered elsewhere until then; their numbers are revisions.
	RoutingOrders []TakenOrder `capnp:"routingOrders"`
	// RoutingForgotten is the highest revision whose order was forgotten elsewhere.
	RoutingForgotten uint64 `capnp:"routingForgotten"`
	// Delta is the config of a config change as a difference, in place of Source and
	// Compiled.
	Delta ConfigDelta `capnp:"delta"`
}

// View is everything in force at one number.
type View struct {
	Fleet          string       `capnp:"fleet"`
	Number         uint64       `capnp:"number"`
	ConfigNumber   uint64       `capnp:"configNumber"`
	Source         string       `capnp:"source"`
	Compiled       []byte       `capnp:"compiled"`
	Domains        []Domain     `capnp:"domains"`
	Runners        []Runner     `capnp:"runners"`
	FoundingStores []Member     `capnp:"foundingStores"`
	Stores         []Member     `capnp:"stores"`
	Controls       []Member     `capnp:"controls"`
	Assignments    []Assignment `capnp:"assignments"`
	Groups         uint32       `capnp:"groups"`
	// Copies is how many replicas a group has, fixed when the fleet is founded; 0 is
	// placement.Factor.
	Copies   uint32   `capnp:"copies"`
	Founding []string `capnp:"founding"`
	// Retired are the stores that were emptied and have left the list, the last of them.
	Retired []Member `capnp:"retired"`
	// RoutingOrders are the last orders of the routing, numbered by its revisions;
	// FeedOrders the last others, numbered by the changes that they became.
	RoutingOrders OrderHistory `capnp:"routingOrders"`
	FeedOrders    OrderHistory `capnp:"feedOrders"`
}

// retiredKept is how many retired stores are remembered.
const retiredKept = 64

var folds = map[ChangeKind]func(*View, Change){
	ChangeFounded:   func(view *View, change Change) { *view = change.View },
	ChangeRecovered: func(view *View, change Change) { *view = change.View },
	ChangeConfig: func(view *View, change Change) {
		view.Source, view.Compiled, view.ConfigNumber = change.Source, change.Compiled, change.Number
	},
	ChangeDomain: func(view *View, change Change) {
		view.Domains = replace(view.Domains, change.Domain, func(domain Domain) bool { return domain.Name == change.Domain.Name })
	},
	ChangeRoster: func(view *View, change Change) {
		if change.Partial {
			view.Runners = amended(view.Runners, change.Runners, change.Gone)
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
		retired := slices.DeleteFunc(slices.Clone(view.Retired), func(store Member) bool {
			return slices.ContainsFunc(change.Members, func(listed Member) bool { return listed.succeeds(store) })
		})
		if change.Member.Name != "" {
			retired = append(retired, change.Member)
		}
		view.Retired = retired[max(0, len(retired)-retiredKept):]
	},
	ChangeControls: func(view *View, change Change) { view.Controls = change.Members },
	ChangeAssignment: func(view *View, change Change) {
		view.Assignments = replace(view.Assignments, change.Assignment, func(assignment Assignment) bool { return assignment.Key == change.Assignment.Key })
	},
}

// amended gives a list of runners with some replaced or added and some taken out, in the
// lists' order.
func amended(runners, changed []Runner, gone []string) []Runner {
	out := make(map[string]bool, len(changed)+len(gone))
	for _, runner := range changed {
		out[runner.Identity()] = true
	}
	for _, name := range gone {
		out[name] = true
	}
	next := make([]Runner, 0, len(runners)+len(changed))
	for _, runner := range runners {
		if !out[runner.Identity()] {
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

func replace[Item any](items []Item, item Item, same func(Item) bool) []Item {
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
	fold, known := folds[change.Kind]
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
	view.recordOrders(change)
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

// Observed tells whether a kind of change only tells what was seen, as against what was
// ordered: it is not acknowledged to anyone, and can be seen again after any loss.
//
//	if change.Kind.Observed() { ... }
func (kind ChangeKind) Observed() bool { return kind == ChangeRoster || kind == ChangeAssignment }

// SameOrders tells whether two views differ at most in what observed changes bring.
//
//	if view.SameOrders(held) { ... }
func (view *View) SameOrders(other *View) bool {
	return view.RoutingOrders.same(&other.RoutingOrders) && view.FeedOrders.same(&other.FeedOrders) &&
		view.Fleet == other.Fleet && view.ConfigNumber == other.ConfigNumber && view.Groups == other.Groups && view.Source == other.Source &&
		bytes.Equal(view.Compiled, other.Compiled) && slices.Equal(view.Domains, other.Domains) && slices.Equal(view.Founding, other.Founding) &&
		slices.Equal(view.Retired, other.Retired) && slices.Equal(view.FoundingStores, other.FoundingStores) && slices.Equal(view.Stores, other.Stores) && slices.Equal(view.Controls, other.Controls)
}

// DomainEmptied tells whether a domain takes no new work.
//
//	if view.DomainEmptied(runner.Domain) { continue }
func (view *View) DomainEmptied(name string) bool {
	for _, domain := range view.Domains {
		if domain.Name == name {
			return domain.State == Emptied
		}
	}
	return false
}

// WasRetired tells whether a store, or another one of its machine, was emptied and has left
// the list: its machine may be switched off, and is not to be enrolled again by itself.
//
//	if view.WasRetired(member) { continue }
func (view *View) WasRetired(store Member) bool {
	return slices.ContainsFunc(view.Retired, store.succeeds)
}

// succeeds tells whether a store is the same as another, or on the same machine.
func (member Member) succeeds(earlier Member) bool {
	return member.Name == earlier.Name || (member.Machine != "" && member.Machine == earlier.Machine)
}

// Bound names the fleet that a node with this view belongs to for good. Until there
// is a store list nothing was acknowledged, and the control plane that founded the
// fleet may still find that it is the one of an older fleet that lost its disks.
//
//	query.Fleet = view.Bound()
func (view *View) Bound() string {
	if len(view.Stores) == 0 {
		return ""
	}
	return view.Fleet
}

// AssignmentOf finds who holds an assignment.
//
//	assignment := view.AssignmentOf("roster")
func (view *View) AssignmentOf(key string) Assignment {
	for _, assignment := range view.Assignments {
		if assignment.Key == key {
			return assignment
		}
	}
	return Assignment{Key: key}
}

// Factor is how many replicas a group has.
//
//	names := placement.ReplicasOf(group, view.StorePlaces(), view.Factor())
func (view *View) Factor() int {
	if view.Copies == 0 {
		return placement.Factor
	}
	return int(view.Copies)
}

// StorePlaces lists the stores that replicas may be put on.
//
//	names := placement.ReplicasOf(group, view.StorePlaces(), view.Factor())
func (view *View) StorePlaces() []placement.Place { return Places(view.Stores) }

// Places turns members into places, leaving out those that go away.
//
//	places := feed.Places(view.FoundingStores)
func Places(members []Member) []placement.Place {
	places := []placement.Place{}
	for _, member := range Keepers(members) {
		places = append(places, placement.Place{Name: member.Name, Domain: member.Domain})
	}
	return places
}

// Keepers are the stores of which a majority keeps what was ordered: those that stay.
//
//	majority := len(feed.Keepers(view.Stores))/2 + 1
func Keepers(stores []Member) []Member {
	return slices.DeleteFunc(slices.Clone(stores), func(store Member) bool { return store.State == Retiring || store.State == Retired })
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
