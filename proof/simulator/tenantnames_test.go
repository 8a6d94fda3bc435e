package simulator

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"yardrock.example/system/apierror"
	"yardrock.example/system/forwarding"
)

// TestTenantsWhoseNamesGoOnShareNoRecord guards against a turn, a budget or an operation that two tenants
// share, as the name of one, a slash and an identifier can be read as the name of the other.
func TestTenantsWhoseNamesGoOnShareNoRecord(t *testing.T) {
	simulateTenants(t, 0, 0, func(t *testing.T, cluster *Cluster) {
		front := cluster.Fronts[0]
		turn := func(id, program, key, follows string) *ForwardedAnswer {
			return cluster.Forward(front, forwarding.Request{ID: id, Path: "/talk/kept/" + id, Program: program, TenantKey: key, Follows: follows, Body: []byte("words of " + id), HasOutputBudget: true, OutputBudget: 30, MaxOutputTokens: 20})
		}
		if first := turn("of-harbor", "program/17", harborKey, ""); !first.Complete() {
			t.Fatal(first.Err)
		}
		for _, program := range []string{"17", "another"} {
			id := "stolen-in-" + program
			if stolen := turn(id, program, "harbor/program-key", "of-harbor"); !apierror.Is(stolen.Err, apierror.NotFound) || executionsOf(cluster, id) != 0 {
				t.Errorf("UNASKED: program %q: %d %v", program, stolen.Status, stolen.Err)
			}
		}
		if own := turn("own", "17", "harbor/program-key", ""); !own.Complete() {
			t.Errorf("BUDGET: the program of the other tenant has spent it: %d %v", own.Status, own.Err)
		}
		first := sendBooking(cluster, front, "op-of-harbor", harborKey, "operation/7")
		other := sendBooking(cluster, front, "op-of-other", "harbor/operation-key", "7")
		if !first.Complete() || !other.Complete() || string(first.Body) == string(other.Body) || executionsOf(cluster, "op-of-other") != 1 {
			t.Errorf("MIXED: %d %q and %d %q", first.Status, first.Body, other.Status, other.Body)
		}
	})
}

// drawnTurn is a complete turn of a tenant and what a turn that continues it brings to the runner.
type drawnTurn struct {
	tenant string
	chain  string
}

// nameDraw sends requests of tenants, programs and operations with drawn names, one after another, and
// checks each against what the same tenant did before.
type nameDraw struct {
	t       *testing.T
	cluster *Cluster
	random  *rand.Rand
	keys    map[string]string // by tenant
	tenants []string

	turns map[string]drawnTurn
	ids   []string
	// tokens are those that each program of a tenant has put out, seals the bodies of the operations.
	tokens map[[2]string]uint64
	bodies map[[2]string]string
}

const (
	// drawnBudget is the budget of each program, drawnTurnTokens what a turn puts out, and at most.
	drawnBudget     = 100
	drawnTurnTokens = 20
)

// name draws the name of a program or an operation, such as could go on from a tenant's.
func (draw *nameDraw) name() string {
	parts := []string{"17", "program", "operation", "session", "hill", "harbor", "tenant"}
	name := parts[draw.random.IntN(len(parts))]
	for range draw.random.IntN(3) {
		name += "/" + parts[draw.random.IntN(len(parts))]
	}
	return name
}

// turn takes a turn that starts a conversation or continues one of any tenant.
func (draw *nameDraw) turn(id, tenant string, front *Machine) {
	request := forwarding.Request{ID: id, Path: "/talk/open/" + id, Program: draw.name(), TenantKey: draw.keys[tenant], Body: []byte("words of " + id + "\n"), HasOutputBudget: true, OutputBudget: drawnBudget, MaxOutputTokens: drawnTurnTokens}
	if len(draw.ids) > 0 && draw.random.IntN(3) > 0 {
		request.Follows = draw.ids[draw.random.IntN(len(draw.ids))]
	}
	program := [2]string{tenant, request.Program}
	followed := draw.turns[request.Follows]
	answer := draw.cluster.Forward(front, request)
	switch {
	case draw.tokens[program]+drawnTurnTokens > drawnBudget:
		if !apierror.Is(answer.Err, apierror.QuotaExhausted) {
			draw.t.Errorf("BUDGET: %q of %q has put out %d tokens and gets %d %v", request.Program, tenant, draw.tokens[program], answer.Status, answer.Err)
		}
	case request.Follows != "" && followed.tenant != tenant:
		if !apierror.Is(answer.Err, apierror.NotFound) {
			draw.t.Errorf("UNASKED: %q of %q continues a turn of %q: %d %v", request.Program, tenant, followed.tenant, answer.Status, answer.Err)
		}
	case !answer.Complete():
		draw.t.Errorf("%q of %q: %d %v, %d tokens before", request.Program, tenant, answer.Status, answer.Err, draw.tokens[program])
	default:
		prompt := followed.chain + string(request.Body)
		if got := promptOf(draw.cluster, id); got != prompt {
			draw.t.Errorf("UNASKED: %q of %q: the runner got %q, want %q", request.Program, tenant, got, prompt)
		}
		draw.tokens[program] += drawnTurnTokens
		draw.turns[id] = drawnTurn{tenant, prompt + answer.Text()}
		draw.ids = append(draw.ids, id)
	}
}

// operation sends a request of an operation.
func (draw *nameDraw) operation(id, tenant string, front *Machine) {
	operation := [2]string{tenant, draw.name()}
	answer := sendBooking(draw.cluster, front, id, draw.keys[tenant], operation[1])
	earlier, known := draw.bodies[operation]
	if !answer.Complete() || (executionsOf(draw.cluster, id) == 1) == known || known && string(answer.Body) != earlier {
		draw.t.Errorf("TWICE, MIXED: operation %q of %q: %d %q %v, before %q", operation[1], tenant, answer.Status, answer.Body, answer.Err, earlier)
	}
	draw.bodies[operation] = string(answer.Body)
}

// TestDrawnNamesShareNoRecord sends turns with budgets and operations of tenants, also of clients without
// one, whose names and those of their programs and operations are drawn so that they meet when joined.
func TestDrawnNamesShareNoRecord(t *testing.T) {
	simulateTenants(t, 0, 0, func(t *testing.T, cluster *Cluster) {
		draw := &nameDraw{
			t: t, cluster: cluster, random: cluster.Random(94), keys: map[string]string{"": "", "harbor": harborKey, "hill": hillKey, "harbor/dock": dockKey},
			turns: map[string]drawnTurn{}, tokens: map[[2]string]uint64{}, bodies: map[[2]string]string{},
		}
		draw.tenants = append([]string{"", "harbor", "hill", "harbor/dock"}, namedTenants...)
		for _, tenant := range namedTenants {
			draw.keys[tenant] = tenant + keySuffix
		}
		for number := range 400 {
			tenant, front := draw.tenants[draw.random.IntN(len(draw.tenants))], cluster.Fronts[draw.random.IntN(len(cluster.Fronts))]
			// The IDs are unique, and drawn like names.
			id := fmt.Sprintf("%d/%s", number, draw.name())
			if tenant != "" && draw.random.IntN(2) == 0 {
				draw.operation(strings.ReplaceAll(id, "/", "-"), tenant, front)
			} else {
				draw.turn(id, tenant, front)
			}
		}
		if len(draw.ids) < 60 || len(draw.bodies) < 60 {
			t.Errorf("only %d turns and %d operations were answered", len(draw.ids), len(draw.bodies))
		}
	})
}
