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

// modelRequest is a request of an operator, with its outcome so far.
type modelRequest struct {
	routing      routingRequest
	admin        *adminRequest // set for a request of the admin API, which has no routing
	committed    uint64        // the number of its committed change; 0 if there is none
	acknowledged bool
	rejected     bool
}

// base describes what the request builds on; requests on the same base conflict.
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

// requestsModel checks decisions on requests against the state machine that applies them,
// without a network: proposals commit in any order or are lost, and the state machine is
// restored from its snapshot or recovered from the view that the stores have synced.
type requestsModel struct {
	t         *testing.T
	random    *rand.Rand
	node      *Node
	machine   *feedStateMachine
	synced    *feed.View // the view that a majority of the stores has synced
	requests  []*modelRequest
	proposals []modelProposal
	created   int
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

// decide decides on a request as the node that receives it does.
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

// create returns a request that builds on the current number or revision, or on an older one.
func (model *requestsModel) create() *modelRequest {
	model.created++
	by := fmt.Sprint("operator ", model.random.IntN(2))
	if model.random.IntN(4) == 0 {
		expected := model.view().ConfigNumber
		if model.random.IntN(5) == 0 && expected > 0 {
			expected--
		}
		request := newAdminRequest(by, &expected, "put", fmt.Sprint(model.created))
		return &modelRequest{admin: &request}
	}
	base := model.routing().CurrentRevision()
	revision := base + 1 + model.random.Uint64N(3)
	if model.random.IntN(5) == 0 && base > 0 {
		base--
	}
	return &modelRequest{routing: routingRequest{operator: by, base: base, revision: revision, digest: fmt.Sprint(by, " ", model.created)}}
}

// send has a node decide on a request, and checks the decision against the outcome so far.
func (model *requestsModel) send(request *modelRequest) {
	decided, err := model.decide(request)
	switch {
	case apierror.Is(err, apierror.NoQuorum):
		if request.committed == 0 && model.isRecent(request) {
			model.t.Fatalf("a recent request on %s is reported as forgotten: %v", request.base(), err)
		}
	case err != nil:
		if request.committed > 0 {
			model.t.Fatalf("a committed request on %s is rejected: %v", request.base(), err)
		}
		request.rejected = true
	case decided.change != nil:
		if request.committed > 0 {
			model.t.Fatalf("a committed request on %s would be proposed again", request.base())
		}
		if request.rejected {
			model.t.Fatalf("a rejected request on %s would be proposed", request.base())
		}
		model.proposals = append(model.proposals, modelProposal{request, compactForLog(model.view(), *decided.change)})
	default:
		if request.committed == 0 {
			model.t.Fatalf("a request on %s is acknowledged without a commit", request.base())
		}
		if request.admin != nil && decided.acceptedAs != request.committed {
			model.t.Fatalf("the request committed as number %d is acknowledged as %d", request.committed, decided.acceptedAs)
		}
		model.acknowledge(request)
	}
}

// isRecent reports whether a request is too recent for the request history to have dropped it.
func (model *requestsModel) isRecent(request *modelRequest) bool {
	view := model.view()
	if request.admin != nil {
		return *request.admin.expected >= view.AdminRequests.EvictedUpTo
	}
	return request.routing.revision > view.RoutingRequests.EvictedUpTo
}

// acknowledge has the stores sync the current view, and checks that no other request on the same
// base was acknowledged.
func (model *requestsModel) acknowledge(request *modelRequest) {
	model.synced = model.view()
	request.acknowledged = true
	for _, other := range model.requests {
		if other != request && other.acknowledged && other.base() == request.base() {
			model.t.Fatalf("two requests on %s are acknowledged", request.base())
		}
	}
}

// commit commits or loses a random proposal; the commit may stay unacknowledged.
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
		return // rejected; a node decides on the request again when it is resent
	}
	if proposal.request.committed > 0 {
		model.t.Fatalf("a request on %s was committed twice", proposal.request.base())
	}
	if proposal.request.rejected {
		model.t.Fatalf("a rejected request on %s was committed", proposal.request.base())
	}
	proposal.request.committed = outcome.number
	if model.random.IntN(2) == 0 {
		model.acknowledge(proposal.request)
	}
}

// restore replaces the state machine with one restored from its snapshot.
func (model *requestsModel) restore() {
	snapshot := model.machine.Snapshot()()
	model.machine = newFeedStateMachine()
	if err := model.machine.Restore(snapshot); err != nil {
		model.t.Fatal(err)
	}
}

// recover simulates the loss of all control disks: the feed is recovered from the view that the
// stores have synced, and unacknowledged changes may be lost.
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
		request.rejected = request.rejected && !lost // one rejected because of a lost change may be accepted now
	}
	synced.Number += recoveredNumberStep
	if outcome := model.apply(feed.Change{Kind: feed.ChangeRecovered, View: synced}); outcome.err != nil {
		model.t.Fatal(outcome.err)
	}
	model.proposals = nil
	model.synced = model.view()
	model.node.decodedConfig.Store(nil)
}

// checkRead checks that the routing is that of the newest committed routing request, and that no
// acknowledged request is lost.
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
		model.t.Fatalf("read revision %d, but revision %d was committed last", read, newest)
	}
	if newest > 0 && model.routing().Bounds.IdleTimeout != config.Duration(newest)*config.Duration(time.Second) {
		model.t.Fatal("the routing read does not have the content of its revision")
	}
}

// step performs one random action.
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

// TestAdminRequestsModel runs random actions from many seeds, and guards against requests that
// are applied twice, lost after their acknowledgement, or both committed and rejected.
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

// TestAdminRequestsModelBeyondHistory guards against a wrong answer to a repeated request that
// the request history has dropped.
func TestAdminRequestsModelBeyondHistory(t *testing.T) {
	const requestCount, steps = 5500, 1500
	model := newRequestsModel(t, 7)
	for range requestCount {
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
	if view.RoutingRequests.EvictedUpTo == 0 {
		t.Fatalf("the history has dropped none of %d requests", len(model.requests))
	}
	t.Logf("%d requests; the history has dropped routing requests up to revision %d", len(model.requests), view.RoutingRequests.EvictedUpTo)
	for _, request := range model.requests {
		model.send(request)
	}
}
