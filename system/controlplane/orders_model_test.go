package controlplane

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"yardrock.example/system/agreement"
	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// modelOrder is an order that an operator of the model sent, and what is known of it.
type modelOrder struct {
	routing      routingOrder
	numbered     *numberedOrder // an order of the administration API, if set
	committed    uint64         // the number of its change; 0 if none was committed
	acknowledged bool
	refused      bool
}

func (order *modelOrder) base() string {
	if order.numbered != nil {
		return "config " + strconv.FormatUint(*order.numbered.expected, 10)
	}
	return "routing " + strconv.FormatUint(order.routing.base, 10)
}

// proposal is a change on its way to the agreement, which may lose or reorder it.
type modelProposal struct {
	order  *modelOrder
	change feed.Change
}

// ordersModel walks over the decisions on orders and the state machine that carries them
// out, without a network: proposals are committed in any order or lost, the machine is
// restored from its image or recovered from what the stores hold.
type ordersModel struct {
	t         *testing.T
	random    *rand.Rand
	node      *Node
	machine   *feedMachine
	held      *feed.View // what a majority of the stores has synced
	orders    []*modelOrder
	proposals []modelProposal
	sent      int
}

var modelStores = []feed.Member{{Name: "a", Role: feed.RoleStore}, {Name: "b", Role: feed.RoleStore}, {Name: "c", Role: feed.RoleStore}}

func newOrdersModel(t *testing.T, seed uint64) *ordersModel {
	model := &ordersModel{t: t, random: rand.New(rand.NewPCG(seed, 41)), node: &Node{}, machine: newFeedMachine(), held: &feed.View{}}
	founding := feed.View{Fleet: "model", Number: 1}
	if err := model.machine.Restore(controlImage(&founding, feed.History{})); err != nil {
		t.Fatal(err)
	}
	model.apply(feed.Change{Kind: feed.ChangeStores, Members: modelStores})
	return model
}

func (model *ordersModel) view() *feed.View { return model.machine.state().view }

func (model *ordersModel) apply(change feed.Change) changeOutcome {
	outcome := model.machine.Apply(agreement.Entry{Data: wire.MustEncode(schema.Change_TypeID, &change)})
	return outcome.(changeOutcome)
}

func (model *ordersModel) routing() *config.Routing {
	made, err := model.node.configOf(model.view())
	if err != nil {
		model.t.Fatal(err)
	}
	return made.Routing
}

// decide does what a node does with an order that comes to it.
func (model *ordersModel) decide(order *modelOrder) (decision, error) {
	view := model.view()
	if order.numbered != nil {
		return order.numbered.decide(view, []uint64{view.ConfigNumber}, func() (*feed.Change, error) {
			return model.node.configChange(view, "", &config.Config{})
		})
	}
	return model.node.decideRouting(view, order.routing, func(*config.Routing) (config.Routing, error) {
		return config.Routing{Revision: order.routing.revision, Bounds: config.Bounds{Idle: config.Duration(order.routing.revision) * config.Duration(time.Second)}}, nil
	})
}

// create makes an order that builds on what is in force, or on something older.
func (model *ordersModel) create() *modelOrder {
	model.sent++
	by := fmt.Sprint("operator ", model.random.IntN(2))
	if model.random.IntN(4) == 0 {
		expected := model.view().ConfigNumber
		if model.random.IntN(5) == 0 && expected > 0 {
			expected--
		}
		order := newOrder(by, &expected, "put", fmt.Sprint(model.sent))
		return &modelOrder{numbered: &order}
	}
	base := model.routing().Revised()
	revision := base + 1 + model.random.Uint64N(3)
	if model.random.IntN(5) == 0 && base > 0 {
		base--
	}
	return &modelOrder{routing: routingOrder{by: by, base: base, revision: revision, digest: fmt.Sprint(by, " ", model.sent)}}
}

// send gives an order to a node, and checks the answer against what is known of it.
func (model *ordersModel) send(order *modelOrder) {
	made, err := model.decide(order)
	switch {
	case apierror.Is(err, apierror.NoQuorum):
		if order.committed == 0 && model.isRecent(order) {
			model.t.Fatalf("an order on %s that is not old is called forgotten: %v", order.base(), err)
		}
	case err != nil:
		if order.committed > 0 {
			model.t.Fatalf("an order on %s that was carried out is refused: %v", order.base(), err)
		}
		order.refused = true
	case made.change != nil:
		if order.committed > 0 {
			model.t.Fatalf("an order on %s would be carried out twice", order.base())
		}
		if order.refused {
			model.t.Fatalf("an order on %s that was refused would be carried out", order.base())
		}
		model.proposals = append(model.proposals, modelProposal{order, proposable(model.view(), *made.change)})
	default:
		if order.committed == 0 {
			model.t.Fatalf("an order on %s that was not carried out is acknowledged", order.base())
		}
		if order.numbered != nil && made.taken != order.committed {
			model.t.Fatalf("the order of number %d is acknowledged as %d", order.committed, made.taken)
		}
		model.acknowledge(order)
	}
}

// isRecent tells that an order builds on something that is surely remembered.
func (model *ordersModel) isRecent(order *modelOrder) bool {
	view := model.view()
	if order.numbered != nil {
		return *order.numbered.expected >= view.FeedOrders.Forgotten
	}
	return order.routing.revision > view.RoutingOrders.Forgotten
}

// acknowledge has the stores hold what is in force, and checks that no other order on the
// same base was acknowledged.
func (model *ordersModel) acknowledge(order *modelOrder) {
	model.held = model.view()
	order.acknowledged = true
	for _, other := range model.orders {
		if other != order && other.acknowledged && other.base() == order.base() {
			model.t.Fatalf("two orders on %s are acknowledged", order.base())
		}
	}
}

// commit has the agreement commit any proposal; its answer may be lost.
func (model *ordersModel) commit() {
	if len(model.proposals) == 0 {
		return
	}
	at := model.random.IntN(len(model.proposals))
	proposal := model.proposals[at]
	model.proposals = append(model.proposals[:at:at], model.proposals[at+1:]...)
	if model.random.IntN(6) == 0 {
		return // lost with its leader
	}
	outcome := model.apply(proposal.change)
	if outcome.err != nil {
		return // the node decides anew
	}
	if proposal.order.committed > 0 {
		model.t.Fatalf("an order on %s was carried out twice", proposal.order.base())
	}
	if proposal.order.refused {
		model.t.Fatalf("an order on %s that was refused was carried out", proposal.order.base())
	}
	proposal.order.committed = outcome.number
	if model.random.IntN(2) == 0 {
		model.acknowledge(proposal.order)
	}
}

// restore replaces the machine by one that starts from its image.
func (model *ordersModel) restore() {
	image := model.machine.Snapshot()()
	model.machine = newFeedMachine()
	if err := model.machine.Restore(image); err != nil {
		model.t.Fatal(err)
	}
}

// recover loses all control nodes' disks: what the stores hold is put in force again, and
// what was not acknowledged may be gone.
func (model *ordersModel) recover() {
	if len(model.held.Stores) == 0 {
		return
	}
	held := *model.held
	model.machine = newFeedMachine()
	founding := feed.View{Fleet: "other", Number: 1}
	if err := model.machine.Restore(controlImage(&founding, feed.History{})); err != nil {
		model.t.Fatal(err)
	}
	lost := false
	for _, order := range model.orders {
		if order.committed > held.Number {
			order.committed, lost = 0, true
		}
	}
	for _, order := range model.orders {
		order.refused = order.refused && !lost // one that was refused for what is lost may be taken now
	}
	held.Number += recoveredStep
	if outcome := model.apply(feed.Change{Kind: feed.ChangeRecovered, View: held}); outcome.err != nil {
		model.t.Fatal(outcome.err)
	}
	model.proposals = nil
	model.held = model.view()
	model.node.decoded.Store(nil)
}

// checkRead compares what is in force with the newest order that was carried out.
func (model *ordersModel) checkRead() {
	newest := uint64(0)
	for _, order := range model.orders {
		if order.numbered == nil && order.committed > 0 {
			newest = max(newest, order.routing.revision)
		}
		if order.acknowledged && order.committed == 0 {
			model.t.Fatalf("an acknowledged order on %s is lost", order.base())
		}
	}
	if read := model.routing().Revised(); read != newest {
		model.t.Fatalf("revision %d is read, %d was carried out last", read, newest)
	}
	if newest > 0 && model.routing().Bounds.Idle != config.Duration(newest)*config.Duration(time.Second) {
		model.t.Fatal("what is read is not the content of its revision")
	}
}

// step does one thing at random.
func (model *ordersModel) step() {
	switch draw := model.random.IntN(100); {
	case draw < 35:
		order := model.create()
		model.orders = append(model.orders, order)
		model.send(order)
	case draw < 55 && len(model.orders) > 0:
		model.send(model.orders[model.random.IntN(len(model.orders))])
	case draw < 95:
		model.commit()
	case draw < 98:
		model.restore()
	case draw == 98:
		model.recover()
	default:
		model.apply(feed.Change{Kind: feed.ChangeRoster, Partial: true})
	}
}

// TestOrdersModel walks at random from many seeds.
func TestOrdersModel(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			model := newOrdersModel(t, seed)
			for range 400 {
				model.step()
				model.checkRead()
			}
		})
	}
}

// TestOrdersModelBeyondMemory walks on where many orders are forgotten already.
func TestOrdersModelBeyondMemory(t *testing.T) {
	const burst, steps = 5500, 1500
	model := newOrdersModel(t, 7)
	for range burst {
		order := model.create()
		model.orders = append(model.orders, order)
		model.send(order)
		model.commit()
	}
	for step := range steps {
		model.step()
		if step%50 == 0 {
			model.checkRead()
		}
	}
	view := model.view()
	if view.RoutingOrders.Forgotten == 0 {
		t.Fatalf("no order was forgotten of %d", len(model.orders))
	}
	t.Logf("%d orders, routing orders up to revision %d are forgotten", len(model.orders), view.RoutingOrders.Forgotten)
	for _, order := range model.orders {
		model.send(order)
	}
}
