package controlplane

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/feed"
	"yardrock.example/system/raft"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// modelRequest is a request that an operator of the model sent, and what is known of it.
type modelRequest struct {
	routing      routingRequest
	admin        *adminRequest // a request of the admin API, if set
	committed    uint64        // the number of its change; 0 if none was committed
	acknowledged bool
	rejected     bool
}

func (request *modelRequest) base() string {
	if request.admin != nil {
		return "config " + strconv.FormatUint(*request.admin.expected, 10)
	}
	return "routing " + strconv.FormatUint(request.routing.base, 10)
}

// modelProposal is a change that was proposed to Raft, which may lose or reorder it.
type modelProposal struct {
	request *modelRequest
	change  feed.Change
}

// requestsModel checks the decisions on requests against the state machine that carries them
// out, without a network: proposals are committed in any order or lost, the state machine is
// restored from its snapshot or recovered from what the stores have synced.
type requestsModel struct {
	t         *testing.T
	random    *rand.Rand
	node      *Node
	machine   *feedStateMachine
	synced    *feed.View // what a majority of the stores has synced
	requests  []*modelRequest
	proposals []modelProposal
	sent      int
}

var modelStores = []feed.Member{{Name: "a", Role: feed.RoleStore}, {Name: "b", Role: feed.RoleStore}, {Name: "c", Role: feed.RoleStore}}

func newRequestsModel(t *testing.T, seed uint64) *requestsModel {
	model := &requestsModel{t: t, random: rand.New(rand.NewPCG(seed, 41)), node: &Node{}, machine: newFeedStateMachine(), synced: &feed.View{}}
	founding := feed.View{Fleet: "model", Number: 1}
	if err := model.machine.Restore(encodeControlSnapshot(&founding, feed.History{})); err != nil {
		t.Fatal(err)
	}
	model.apply(feed.Change{Kind: feed.ChangeStores, Members: modelStores})
	return model
}

func (model *requestsModel) view() *feed.View { return model.machine.state().view }

func (model *requestsModel) apply(change feed.Change) changeOutcome {
	outcome := model.machine.Apply(raft.Entry{Data: wire.MustEncode(schema.Change_TypeID, &change)})
	return outcome.(changeOutcome)
}

func (model *requestsModel) routing() *config.Routing {
	decoded, err := model.node.decodeConfig(model.view())
	if err != nil {
		model.t.Fatal(err)
	}
	return decoded.Routing
}

// decide does what a node does with a request that comes to it.
func (model *requestsModel) decide(request *modelRequest) (decision, error) {
	view := model.view()
	if request.admin != nil {
		return request.admin.decide(view, []uint64{view.ConfigNumber}, func() (*feed.Change, error) {
			return model.node.planConfig(view, "", &config.Config{})
		})
	}
	return model.node.decideRouting(view, request.routing, func(*config.Routing) (config.Routing, error) {
		return config.Routing{Revision: request.routing.revision, Bounds: config.Bounds{IdleTimeout: config.Duration(request.routing.revision) * config.Duration(time.Second)}}, nil
	})
}

// create makes a request that builds on what is in force, or on something older.
func (model *requestsModel) create() *modelRequest {
	model.sent++
	by := fmt.Sprint("operator ", model.random.IntN(2))
	if model.random.IntN(4) == 0 {
		expected := model.view().ConfigNumber
		if model.random.IntN(5) == 0 && expected > 0 {
			expected--
		}
		request := newAdminRequest(by, &expected, "put", fmt.Sprint(model.sent))
		return &modelRequest{admin: &request}
	}
	base := model.routing().CurrentRevision()
	revision := base + 1 + model.random.Uint64N(3)
	if model.random.IntN(5) == 0 && base > 0 {
		base--
	}
	return &modelRequest{routing: routingRequest{operator: by, base: base, revision: revision, digest: fmt.Sprint(by, " ", model.sent)}}
}

// send gives a request to a node, and checks the answer against what is known of it.
func (model *requestsModel) send(request *modelRequest) {
	decided, err := model.decide(request)
	switch {
	case apierror.Is(err, apierror.NoQuorum):
		if request.committed == 0 && model.isRecent(request) {
			model.t.Fatalf("a request on %s that is not old is reported as forgotten: %v", request.base(), err)
		}
	case err != nil:
		if request.committed > 0 {
			model.t.Fatalf("a request on %s that was carried out is rejected: %v", request.base(), err)
		}
		request.rejected = true
	case decided.change != nil:
		if request.committed > 0 {
			model.t.Fatalf("a request on %s would be carried out twice", request.base())
		}
		if request.rejected {
			model.t.Fatalf("a request on %s that was rejected would be carried out", request.base())
		}
		model.proposals = append(model.proposals, modelProposal{request, compactForLog(model.view(), *decided.change)})
	default:
		if request.committed == 0 {
			model.t.Fatalf("a request on %s that was not carried out is acknowledged", request.base())
		}
		if request.admin != nil && decided.acceptedAs != request.committed {
			model.t.Fatalf("the request of number %d is acknowledged as %d", request.committed, decided.acceptedAs)
		}
		model.acknowledge(request)
	}
}

// isRecent reports whether a request builds on something that is surely remembered.
func (model *requestsModel) isRecent(request *modelRequest) bool {
	view := model.view()
	if request.admin != nil {
		return *request.admin.expected >= view.AdminRequests.Forgotten
	}
	return request.routing.revision > view.RoutingRequests.Forgotten
}

// acknowledge has the stores sync what is in force, and checks that no other request on the
// same base was acknowledged.
func (model *requestsModel) acknowledge(request *modelRequest) {
	model.synced = model.view()
	request.acknowledged = true
	for _, other := range model.requests {
		if other != request && other.acknowledged && other.base() == request.base() {
			model.t.Fatalf("two requests on %s are acknowledged", request.base())
		}
	}
}

// commit commits any proposal; the outcome may be lost.
func (model *requestsModel) commit() {
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
	if proposal.request.committed > 0 {
		model.t.Fatalf("a request on %s was carried out twice", proposal.request.base())
	}
	if proposal.request.rejected {
		model.t.Fatalf("a request on %s that was rejected was carried out", proposal.request.base())
	}
	proposal.request.committed = outcome.number
	if model.random.IntN(2) == 0 {
		model.acknowledge(proposal.request)
	}
}

// restore replaces the state machine by one that starts from its snapshot.
func (model *requestsModel) restore() {
	snapshot := model.machine.Snapshot()()
	model.machine = newFeedStateMachine()
	if err := model.machine.Restore(snapshot); err != nil {
		model.t.Fatal(err)
	}
}

// recover loses all control nodes' disks: what the stores have synced is put in force again,
// and what was not acknowledged may be lost.
func (model *requestsModel) recover() {
	if len(model.synced.Stores) == 0 {
		return
	}
	synced := *model.synced
	model.machine = newFeedStateMachine()
	founding := feed.View{Fleet: "other", Number: 1}
	if err := model.machine.Restore(encodeControlSnapshot(&founding, feed.History{})); err != nil {
		model.t.Fatal(err)
	}
	lost := false
	for _, request := range model.requests {
		if request.committed > synced.Number {
			request.committed, lost = 0, true
		}
	}
	for _, request := range model.requests {
		request.rejected = request.rejected && !lost // one that was rejected for what is lost may be accepted now
	}
	synced.Number += recoveredNumberStep
	if outcome := model.apply(feed.Change{Kind: feed.ChangeRecovered, View: synced}); outcome.err != nil {
		model.t.Fatal(outcome.err)
	}
	model.proposals = nil
	model.synced = model.view()
	model.node.decodedConfig.Store(nil)
}

// checkRead compares what is in force with the newest request that was carried out.
func (model *requestsModel) checkRead() {
	newest := uint64(0)
	for _, request := range model.requests {
		if request.admin == nil && request.committed > 0 {
			newest = max(newest, request.routing.revision)
		}
		if request.acknowledged && request.committed == 0 {
			model.t.Fatalf("an acknowledged request on %s is lost", request.base())
		}
	}
	if read := model.routing().CurrentRevision(); read != newest {
		model.t.Fatalf("revision %d is read, %d was carried out last", read, newest)
	}
	if newest > 0 && model.routing().Bounds.IdleTimeout != config.Duration(newest)*config.Duration(time.Second) {
		model.t.Fatal("what is read is not the content of its revision")
	}
}

// step takes one random action.
func (model *requestsModel) step() {
	switch draw := model.random.IntN(100); {
	case draw < 35:
		request := model.create()
		model.requests = append(model.requests, request)
		model.send(request)
	case draw < 55 && len(model.requests) > 0:
		model.send(model.requests[model.random.IntN(len(model.requests))])
	case draw < 95:
		model.commit()
	case draw < 98:
		model.restore()
	case draw == 98:
		model.recover()
	default:
		model.apply(feed.Change{Kind: feed.ChangeRunners, Partial: true})
	}
}

// TestAdminRequestsModel takes random actions from many seeds.
func TestAdminRequestsModel(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			model := newRequestsModel(t, seed)
			for range 400 {
				model.step()
				model.checkRead()
			}
		})
	}
}

// TestAdminRequestsModelBeyondHistory takes random actions where many requests are forgotten.
func TestAdminRequestsModelBeyondHistory(t *testing.T) {
	const burst, steps = 5500, 1500
	model := newRequestsModel(t, 7)
	for range burst {
		request := model.create()
		model.requests = append(model.requests, request)
		model.send(request)
		model.commit()
	}
	for step := range steps {
		model.step()
		if step%50 == 0 {
			model.checkRead()
		}
	}
	view := model.view()
	if view.RoutingRequests.Forgotten == 0 {
		t.Fatalf("no request was forgotten of %d", len(model.requests))
	}
	t.Logf("%d requests, routing requests up to revision %d are forgotten", len(model.requests), view.RoutingRequests.Forgotten)
	for _, request := range model.requests {
		model.send(request)
	}
}
