package simulator

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

func TestInvalidInputIsRejectedWithKindAndRemedy(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		first, err := cluster.Turn(cluster.Fronts[0], map[string]any{"program": "dialogue", "kind": "talk", "words": "hello"})
		if err != nil {
			t.Fatal(err)
		}
		if answer, err := cluster.once(cluster.Fronts[0], "used", "one body"); err != nil || answer.Status != http.StatusOK {
			t.Fatalf("%v %+v", err, answer)
		}
		for _, one := range invalidQueries(first) {
			answer, err := cluster.askInvalid(cluster.Fronts[1].Host+":7100", one)
			if err != nil {
				t.Errorf("%s: %v", one.name, err)
				continue
			}
			if answer.Status != one.status || answer.Error.Kind != one.kind || answer.Error.Message == "" || answer.Error.Remedy == "" {
				t.Errorf("%s: %d %s", one.name, answer.Status, answer.Body)
			}
		}
		cluster.checkInvalidAdministration(t)
	})
}

// checkInvalidAdministration checks the errors of control nodes, and that the config stays.
func (cluster *Cluster) checkInvalidAdministration(t *testing.T) {
	t.Helper()
	before, err := cluster.fleet()
	if err != nil {
		t.Fatal(err)
	}
	for _, one := range invalidAdministration(before.ConfigNumber) {
		answer, err := cluster.askInvalid(cluster.Controls[1].Host+":7200", one)
		if err != nil || answer.Error.Kind != one.kind || answer.Error.Remedy == "" {
			t.Errorf("%s: %v %+v", one.name, err, answer)
		}
	}
	after, err := cluster.fleet()
	if err != nil || after.ConfigNumber != before.ConfigNumber {
		t.Errorf("refused configs changed the config from %d to %d (%v)", before.ConfigNumber, after.ConfigNumber, err)
	}
}

// invalidRequest is a request with the status and the kind of error that it must get.
type invalidRequest struct {
	name, method, path, token string
	body                      any
	status                    int // not compared if 0
	kind                      string
}

func (cluster *Cluster) askInvalid(address string, one invalidRequest) (*Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	return cluster.Ask(ctx, one.method, address, one.path, one.token, one.body)
}

// invalidQueries are requests to a front; first is a turn of a conversation that is there.
func invalidQueries(first *StreamedAnswer) []invalidRequest {
	here := "/v1/conversations/" + first.Conversation
	long := strings.Repeat("word ", 1<<20)
	return []invalidRequest{
		{"malformed JSON", "POST", "/v1/conversations", TeamToken, `{"program": "dialogue",`, 400, "invalid"},
		{"a field is missing", "POST", "/v1/conversations", TeamToken, `{"program": "dialogue"}`, 400, "invalid"},
		{"a field of the wrong type", "POST", "/v1/conversations", TeamToken, `{"program": 7, "kind": "talk", "words": "x"}`, 400, "invalid"},
		{"too large a body", "POST", "/v1/conversations", TeamToken, map[string]any{"program": "dialogue", "kind": "talk", "words": long}, 413, "too_large"},
		{"no token", "POST", "/v1/conversations", "", map[string]any{"program": "dialogue", "kind": "talk", "words": "x"}, 401, "unauthorized"},
		{"a wrong token", "POST", "/v1/conversations", "nobody", map[string]any{"program": "dialogue", "kind": "talk", "words": "x"}, 401, "unauthorized"},
		{"an unknown program", "POST", "/v1/conversations", TeamToken, map[string]any{"program": "none", "kind": "talk", "words": "x"}, 404, "not_found"},
		{"another team's program", "POST", "/v1/conversations", TeamToken, map[string]any{"program": "foreign", "kind": "talk", "words": "x"}, 404, "not_found"},
		{"an unknown kind", "POST", "/v1/conversations", TeamToken, map[string]any{"program": "dialogue", "kind": "none", "words": "x"}, 404, "not_found"},
		{"plain work as a turn", "POST", "/v1/conversations", TeamToken, map[string]any{"program": "dialogue", "kind": "lookup", "words": "x"}, 400, "invalid"},
		{"a turn as a lookup", "POST", "/v1/lookups", TeamToken, map[string]any{"program": "dialogue", "kind": "talk", "words": "x"}, 400, "invalid"},
		{"unrepeatable work as a lookup", "POST", "/v1/lookups", TeamToken, map[string]any{"program": "dialogue", "kind": "receipt", "words": "x"}, 400, "invalid"},
		{"a request without a key", "POST", "/v1/queries", TeamToken, map[string]any{"program": "dialogue", "kind": "receipt", "words": "x"}, 400, "invalid"},
		{"a request with an empty key", "POST", "/v1/queries", TeamToken, map[string]any{"program": "dialogue", "kind": "receipt", "words": "x", "query_key": ""}, 400, "invalid"},
		{"a used key with another body", "POST", "/v1/queries", TeamToken, map[string]any{"program": "dialogue", "kind": "receipt", "words": "another", "query_key": "used"}, 409, "conflict"},
		{"following an unknown conversation", "POST", "/v1/conversations/c-none/turns", TeamToken, map[string]any{"kind": "talk", "words": "x", "follows": 1}, 404, "not_found"},
		{"following a turn that is not there", "POST", here + "/turns", TeamToken, map[string]any{"kind": "talk", "words": "x", "follows": 99}, 404, "not_found"},
		{"following a piece", "POST", here + "/turns", TeamToken, map[string]any{"kind": "talk", "words": "x", "follows": 2}, 404, "not_found"},
		{"following nothing", "POST", here + "/turns", TeamToken, map[string]any{"kind": "talk", "words": "x", "follows": 0}, 400, "invalid"},
		{"following a foreign line", "POST", here + "/turns", OtherToken, map[string]any{"kind": "talk", "words": "x", "follows": first.Turn}, 404, "not_found"},
		{"reading a foreign line", "GET", here, OtherToken, nil, 404, "not_found"},
		{"tailing a foreign line", "GET", here + "/tail", OtherToken, nil, 404, "not_found"},
		{"a cursor beyond the end", "GET", here + "/tail?cursor=9999", TeamToken, nil, 400, "invalid"},
		{"a page beyond the end", "GET", here + "?after=9999", TeamToken, nil, 400, "invalid"},
		{"a page of no size", "GET", here + "?limit=0", TeamToken, nil, 400, "invalid"},
		{"a tool of an unknown conversation", "POST", "/v1/conversations/c-none/tools", TeamToken, map[string]any{"kind": "receipt", "words": "x", "follows": 1, "query_key": "k"}, 404, "not_found"},
		{"a helper of an unknown turn", "POST", here + "/helpers", TeamToken, map[string]any{"program": "dialogue", "kind": "talk", "words": "x", "follows": 99, "query_key": "k"}, 404, "not_found"},
		{"another team's tally", "GET", "/v1/tallies/foreign", TeamToken, nil, 404, "not_found"},
	}
}

// invalidAdministration are requests to a control node; number is that of the config in force.
func invalidAdministration(number uint64) []invalidRequest {
	return []invalidRequest{
		{"invalid CUE", "PUT", "/v1/config", RootToken, map[string]any{"source": "teams: {", "expected": number}, 0, "invalid"},
		{"a config that names no group", "PUT", "/v1/config", RootToken, map[string]any{"source": Config(BasicConfig) + "\ntables: talk: nowhere: 1", "expected": number}, 0, "invalid"},
		{"an old number", "PUT", "/v1/config", RootToken, map[string]any{"source": Config(BasicConfig), "expected": number - 1}, 0, "conflict"},
		{"a path that is not there", "PATCH", "/v1/config", RootToken, map[string]any{"path": "programs.none.allowance", "value": 5}, 0, "invalid"},
		{"a value out of range", "PATCH", "/v1/config", RootToken, map[string]any{"path": "programs.dialogue.allowance", "value": -5}, 0, "invalid"},
		{"a team's token", "PATCH", "/v1/config", TeamToken, map[string]any{"path": "programs.dialogue.allowance", "value": 5}, 0, "unauthorized"},
		{"no token", "GET", "/v1/fleet", "", nil, 0, "unauthorized"},
		{"an unknown state", "POST", "/v1/domains/east", RootToken, map[string]any{"state": "gone"}, 0, "invalid"},
	}
}

// TestAFrontCutOffFromTheStoresRunsNothing cuts a front from all stores: what it
// cannot record it must not run. As it cannot tell either what became of an earlier
// query under the key, it says so, and when to come back.
func TestAFrontCutOffFromTheStoresRunsNothing(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		front := cluster.Fronts[0]
		for _, store := range cluster.Stores {
			cluster.Network.Cut(front.Host, store.Host)
		}
		for round := range 3 {
			key := fmt.Sprintf("cut-%d", round)
			answer, err := cluster.once(front, key, "pay")
			if err != nil {
				t.Fatal(err)
			}
			if answer.Error.Kind != "unknown" || answer.Header.Get("Retry-After") == "" {
				t.Fatalf("%d %s", answer.Status, answer.Body)
			}
			checkOnce(t, cluster, key, []*Answer{answer})
		}
		for _, store := range cluster.Stores {
			cluster.Network.Heal(front.Host, store.Host)
		}
		<-time.After(15 * time.Second) // what waited on the cut links arrives now
		for round := range 3 {
			if count := cluster.executions(fmt.Sprintf("dialogue/receipt/cut-%d", round)); count != 0 {
				t.Fatalf("work that could not be recorded ran %d times", count)
			}
		}
	})
}
