package simulator

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/controlplane"
	"yardrock.example/system/forwarding"
)

// The keys of the tenants of tenantsConfig.
const (
	harborKey = "harbor-key"
	hillKey   = "hill-key"
	dockKey   = "dock-key"
)

// namedTenants are tenants whose names go on from that of another one, or from a prefix of a session's
// name. The key of each is its name with keySuffix.
var namedTenants = []string{"harbor/program", "harbor/operation", "harbor/session/hill", "program", "operation/harbor", "harbor/program/program", "tenant/harbor"}

// keySuffix follows the names of namedTenants in their keys.
const keySuffix = "-key"

// tenantsConfig returns RoutedConfig with tenants: "harbor" has the given limit, "hill",
// "harbor/dock" and namedTenants have none. Turns on the route "open" need no key. The
// fronts record the operations of the keyed route "booking", the runners those of "receipt".
func tenantsConfig(revision int, rate, burst float64, harborKeys ...string) string {
	hashes := []string{}
	for _, key := range harborKeys {
		hashes = append(hashes, fmt.Sprintf("%q", config.HashToken(key)))
	}
	named := ""
	for _, tenant := range namedTenants {
		named += fmt.Sprintf("\t\t{name: %q, key_hashes: [%q]},\n", tenant, config.HashToken(tenant+keySuffix))
	}
	tenants := fmt.Sprintf(`
	tenants: [
		{name: "harbor", key_hashes: [%s], rate: %v, burst: %v},
		{name: "hill", key_hashes: [%q]},
		{name: "harbor/dock", key_hashes: [%q]},
%s	]
`, strings.Join(hashes, ", "), rate, burst, config.HashToken(hillKey), config.HashToken(dockKey), named)
	routes := `
		{name: "booking", host: "talk.example", prefix: "/booking/", kind: "keyed", patience: "3s", target: "500ms", urgency: 2, shares: [{service: "tools", weight: 1}], tries: 2},
		{name: "receipt", host: "talk.example", prefix: "/receipt/", kind: "keyed", patience: "3s", target: "500ms", urgency: 2, shares: [{service: "records", weight: 1}], tries: 2},
		{name: "open", host: "talk.example", prefix: "/talk/open/", kind: "streaming", patience: "4s", target: "250ms", gap: "400ms", urgency: 0, shares: [{service: "engines", weight: 1}], tries: 2, keeps_history: true, keep: "60s", sticky: true, public: true},
		{name: "status", host: "talk.example", prefix: "/status/", kind: "repeatable", patience: "2s", target: "150ms", urgency: 2, shares: [{service: "tools", weight: 1}], tries: 3, public: true},
	]
	bounds:`
	source := strings.Replace(RoutedConfig, "\n\t]\n\tbounds:", routes, 1)
	source = strings.Replace(source, "\n\t]\n\troutes:", "\n\t\t{name: \"records\", deduplicates: true},\n\t]\n\troutes:", 1)
	source = strings.Replace(source, "revision: 1", fmt.Sprintf("revision: %d", revision), 1)
	return strings.Replace(source, "\n\tbounds:", tenants+"\tbounds:", 1)
}

// simulateTenants is simulateRouted with the tenants' config.
func simulateTenants(t *testing.T, rate, burst float64, body func(t *testing.T, cluster *Cluster)) {
	t.Helper()
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		putTenants(t, cluster, 2, rate, burst, harborKey)
		body(t, cluster)
	})
}

// putTenants stores a config with tenants and waits until every front has it.
func putTenants(t *testing.T, cluster *Cluster, revision int, rate, burst float64, harborKeys ...string) {
	t.Helper()
	if err := cluster.PutConfig(tenantsConfig(revision, rate, burst, harborKeys...)); err != nil {
		t.Fatal(err)
	}
	cluster.Sleep(2 * time.Second)
}

// TestOnlyRequestsWithATenantsKeyRun guards against requests that run without a key, or with one that
// was revoked, and against runners that learn a key or a tenant that the client made up.
func TestOnlyRequestsWithATenantsKeyRun(t *testing.T) {
	simulateTenants(t, 0, 0, func(t *testing.T, cluster *Cluster) {
		send := func(name, path, key string) *ForwardedAnswer {
			return cluster.ForwardWith(cluster.Fronts[0], forwarding.Request{ID: name, Path: path, TenantKey: key}, http.Header{
				"Authorization": {"Bearer " + key}, standin.HeaderNames.Tenant: {"made-up"},
			})
		}
		for _, key := range []string{"", "unknown", "harbor"} {
			name := "no-tenant-" + key
			if answer := send(name, "/lookup/1", key); !apierror.Is(answer.Err, apierror.Unauthorized) || executionsOf(cluster, name) != 0 {
				t.Errorf("key %q: %d %v", key, answer.Status, answer.Err)
			}
		}
		for name, expected := range map[string]struct{ path, key, tenant string }{
			"by-harbor": {"/lookup/1", harborKey, "harbor"}, "by-hill": {"/order/1", hillKey, "hill"},
			"public": {"/status/1", "", ""}, "public-by-hill": {"/status/1", hillKey, "hill"},
		} {
			if answer := send(name, expected.path, expected.key); !answer.Complete() {
				t.Errorf("%s: %d %v", name, answer.Status, answer.Err)
			}
			checkTenantHeaders(t, cluster, name, expected.tenant)
		}
		putTenants(t, cluster, 3, 0, 0, "harbor-new-key")
		if answer := send("revoked", "/lookup/1", harborKey); !apierror.Is(answer.Err, apierror.Unauthorized) || executionsOf(cluster, "revoked") != 0 {
			t.Errorf("revoked key: %d %v", answer.Status, answer.Err)
		}
		if answer := send("replaced", "/lookup/1", "harbor-new-key"); !answer.Complete() {
			t.Errorf("new key: %d %v", answer.Status, answer.Err)
		}
	})
}

// TestNoKeyIsValidOnceTheLastTenantIsRemoved guards against a list of tenants that lets in all requests
// once it is empty.
func TestNoKeyIsValidOnceTheLastTenantIsRemoved(t *testing.T) {
	simulateTenants(t, 0, 0, func(t *testing.T, cluster *Cluster) {
		if first := sendBooking(cluster, cluster.Fronts[0], "before", harborKey, "op-1"); !first.Complete() {
			t.Fatal(first.Err)
		}
		tenants := append([]string{"harbor", "hill", "harbor/dock"}, namedTenants...)
		if err := cluster.requestChange(0, ackTimeout, func(ctx context.Context, node *controlplane.Node) error {
			return node.PatchRouting(ctx, "root", 2, config.RoutingPatch{Revision: 3, RemoveTenants: tenants}, "remove all")
		}); err != nil {
			t.Fatal(err)
		}
		cluster.Sleep(2 * time.Second)
		for number, key := range []string{harborKey, "never-held", ""} {
			id := fmt.Sprintf("after-%d", number)
			if answer := sendBooking(cluster, cluster.Fronts[number%2], id, key, "op-1"); !apierror.Is(answer.Err, apierror.Unauthorized) || executionsOf(cluster, id) != 0 {
				t.Errorf("key %q: %d %v", key, answer.Status, answer.Err)
			}
		}
		if answer := cluster.Forward(cluster.Fronts[0], forwarding.Request{ID: "public", Path: "/status/1"}); !answer.Complete() {
			t.Errorf("public route: %d %v", answer.Status, answer.Err)
		}
		checkTenantHeaders(t, cluster, "public", "")
	})
}

// checkTenantHeaders checks what the runner of a request learned of its client.
func checkTenantHeaders(t *testing.T, cluster *Cluster, name, tenant string) {
	t.Helper()
	for _, machine := range cluster.Engines {
		for _, execution := range machine.Engine.Executions() {
			if execution.RequestID != name {
				continue
			}
			if got := execution.Header.Get(standin.HeaderNames.Tenant); got != tenant || execution.Header.Get("Authorization") != "" {
				t.Errorf("%s: the runner got tenant %q, authorization %q", name, got, execution.Header.Get("Authorization"))
			}
		}
	}
}

// TestTurnOfAnotherTenantIsUnknown guards against histories that cross tenants.
func TestTurnOfAnotherTenantIsUnknown(t *testing.T) {
	simulateTenants(t, 0, 0, func(t *testing.T, cluster *Cluster) {
		turn := func(front int, name, program, key, follows string) *ForwardedAnswer {
			return cluster.Forward(cluster.Fronts[front], forwarding.Request{ID: name, Path: "/talk/kept/" + name, Program: program, TenantKey: key, Follows: follows, Body: []byte("secret " + name)})
		}
		if answer := turn(0, "first", "shared-program", harborKey, ""); !answer.Complete() {
			t.Fatal(answer.Err)
		}
		for _, program := range []string{"shared-program", "another-program"} {
			if answer := turn(1, "stolen-"+program, program, hillKey, "first"); !apierror.Is(answer.Err, apierror.NotFound) {
				t.Errorf("%s: %d %v", program, answer.Status, answer.Err)
			}
			if answer := turn(1, "own-"+program, program, harborKey, "first"); !answer.Complete() {
				t.Errorf("%s of the tenant itself: %d %v", program, answer.Status, answer.Err)
			}
		}
	})
}

// TestTurnOfATenantIsUnknownWithoutAKey guards against clients without a key that get a tenant's
// conversation by naming one of its turns on a public route.
func TestTurnOfATenantIsUnknownWithoutAKey(t *testing.T) {
	simulateTenants(t, 0, 0, func(t *testing.T, cluster *Cluster) {
		turn := func(front int, name, program, key, follows string) *ForwardedAnswer {
			return cluster.Forward(cluster.Fronts[front], forwarding.Request{ID: name, Path: "/talk/open/" + name, Program: program, TenantKey: key, Follows: follows, Body: []byte("words of " + name)})
		}
		for name, key := range map[string]string{"of-harbor": harborKey, "of-nobody": ""} {
			if answer := turn(0, name, "p", key, ""); !answer.Complete() {
				t.Fatal(answer.Err)
			}
		}
		for position, program := range []string{"p", "another", ""} {
			if answer := turn(1, fmt.Sprint("stolen-", position), program, "", "of-harbor"); !apierror.Is(answer.Err, apierror.NotFound) || executionsOf(cluster, fmt.Sprint("stolen-", position)) != 0 {
				t.Errorf("%q without a key: %d %v", program, answer.Status, answer.Err)
			}
			if answer := turn(1, fmt.Sprint("public-", position), program, harborKey, "of-nobody"); !apierror.Is(answer.Err, apierror.NotFound) {
				t.Errorf("%q of a tenant after a turn without a key: %d %v", program, answer.Status, answer.Err)
			}
			for name, key := range map[string]string{"of-harbor": harborKey, "of-nobody": ""} {
				own := fmt.Sprint("own-", name, position)
				if answer := turn(1, own, program, key, name); !answer.Complete() || !strings.HasPrefix(promptOf(cluster, own), "words of "+name) {
					t.Errorf("%q after its own turn: %d %v; a runner got %q", program, answer.Status, answer.Err, promptOf(cluster, own))
				}
			}
		}
	})
}

// TestTurnOfATenantWithALongerNameIsUnknown guards against tenants that get the conversations of those
// whose names begin with theirs and a slash.
func TestTurnOfATenantWithALongerNameIsUnknown(t *testing.T) {
	simulateTenants(t, 0, 0, func(t *testing.T, cluster *Cluster) {
		turn := func(front int, name, program, key, follows string) *ForwardedAnswer {
			return cluster.Forward(cluster.Fronts[front], forwarding.Request{ID: name, Path: "/talk/kept/" + name, Program: program, TenantKey: key, Follows: follows, Body: []byte("words of " + name)})
		}
		if answer := turn(0, "of-dock", "p", dockKey, ""); !answer.Complete() {
			t.Fatal(answer.Err)
		}
		for _, program := range []string{"p", "another"} {
			if answer := turn(1, "stolen-"+program, program, harborKey, "of-dock"); !apierror.Is(answer.Err, apierror.NotFound) {
				t.Errorf("%s: %d %v", program, answer.Status, answer.Err)
			}
			if answer := turn(1, "own-"+program, program, dockKey, "of-dock"); !answer.Complete() {
				t.Errorf("%s of the tenant itself: %d %v", program, answer.Status, answer.Err)
			}
		}
	})
}

// TestRateLimitHoldsOverAllFrontsWhileStoresAreLost sends three times a tenant's limit through all
// fronts while the stores that count for it are killed one after another. Another tenant is served.
func TestRateLimitHoldsOverAllFrontsWhileStoresAreLost(t *testing.T) {
	const rate, burst, window, duration = 60, 20, 5 * time.Second, 24 * time.Second
	const excess, slack = 0.1, 20
	simulateTenants(t, rate, burst, func(t *testing.T, cluster *Cluster) {
		random := cluster.Random(77)
		began := time.Now()
		go func() {
			for time.Since(began) < duration-6*time.Second {
				victim := cluster.Stores[random.IntN(len(cluster.Stores))]
				victim.Kill()
				cluster.Sleep(time.Second + time.Duration(random.Int64N(int64(time.Second))))
				if err := victim.Start(); err != nil {
					t.Error(err)
				}
				cluster.Sleep(2 * time.Second)
			}
		}()
		results := make(chan string)
		sent := 0
		for time.Since(began) < duration {
			for range 3 * rate / 20 {
				name, front := fmt.Sprintf("limited-%d", sent), cluster.Fronts[sent%len(cluster.Fronts)]
				sent++
				go func() {
					answer := cluster.Forward(front, forwarding.Request{ID: name, Path: "/lookup/" + name, TenantKey: harborKey, Deadline: time.Now().Add(2 * time.Second)})
					if answer.Err != nil && !apierror.Is(answer.Err, apierror.RateLimited) && !apierror.Is(answer.Err, apierror.NotRun) {
						t.Errorf("%s: %v", name, answer.Err)
					}
					results <- ""
				}()
			}
			cluster.Sleep(50 * time.Millisecond)
			name := fmt.Sprintf("other-%d", sent)
			go func() {
				if answer := cluster.Forward(cluster.Fronts[0], forwarding.Request{ID: name, Path: "/lookup/" + name, TenantKey: hillKey}); !answer.Complete() {
					t.Errorf("%s: %v", name, answer.Err)
				}
				results <- ""
			}()
			sent++
		}
		for range sent {
			<-results
		}
		arrivals := []time.Time{}
		for _, machine := range cluster.Engines {
			for _, execution := range machine.Engine.Executions() {
				if execution.Header.Get(standin.HeaderNames.Tenant) == "harbor" {
					arrivals = append(arrivals, execution.At)
				}
			}
		}
		allowed := (rate*window.Seconds()+burst)*(1+excess) + slack
		if highest := maxWithin(arrivals, window); float64(highest) > allowed {
			t.Errorf("%d requests ran within %s, at most %.0f are allowed", highest, window, allowed)
		}
		if least := rate * duration.Seconds() / 2; float64(len(arrivals)) < least {
			t.Errorf("%d requests ran in %s, at least %.0f expected", len(arrivals), duration, least)
		}
	})
}

// TestLowerRateLimitBindsAllFronts guards against fronts that spend tokens of a limit that was lowered.
func TestLowerRateLimitBindsAllFronts(t *testing.T) {
	simulateTenants(t, 400, 100, func(t *testing.T, cluster *Cluster) {
		flood := func(phase string, duration time.Duration) (ran int) {
			ran, _ = floodLookups(cluster, phase, duration)
			return ran
		}
		if ran := flood("high", 2*time.Second); ran < 600 {
			t.Errorf("%d requests ran under the high limit", ran)
		}
		putTenants(t, cluster, 3, 20, 10, harborKey)
		cluster.Sleep(time.Second)
		if ran := flood("low", 4*time.Second); ran > 4*20+10+20 || ran < 40 {
			t.Errorf("%d requests ran in 4 s under the low limit of 20 a second", ran)
		}
	})
}

// floodLookups sends 400 lookups of a tenant each second through all fronts and counts those answered.
func floodLookups(cluster *Cluster, phase string, duration time.Duration) (answered, sent int) {
	results := make(chan bool)
	for began := time.Now(); time.Since(began) < duration; cluster.Sleep(5 * time.Millisecond) {
		for _, front := range cluster.Fronts {
			name := fmt.Sprintf("%s-%d", phase, sent)
			sent++
			go func() {
				results <- cluster.Forward(front, forwarding.Request{ID: name, Path: "/lookup/" + name, TenantKey: harborKey}).Complete()
			}()
		}
	}
	for range sent {
		if <-results {
			answered++
		}
	}
	return answered, sent
}

// maxWithin returns the largest number of times within any period.
func maxWithin(times []time.Time, period time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	highest, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) >= period {
			first++
		}
		highest = max(highest, last-first+1)
	}
	return highest
}
