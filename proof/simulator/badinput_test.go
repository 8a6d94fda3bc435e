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
		if answer, err := cluster.sendReceiptQuery(cluster.Fronts[0], "used", "one body"); err != nil || answer.Status != http.StatusOK {
			t.Fatalf("%v %+v", err, answer)
		}
		for _, request := range invalidFrontRequests(first) {
			answer, err := cluster.sendInvalidRequest(cluster.Fronts[1].Host+":7100", request)
			if err != nil {
				t.Errorf("%s: %v", request.name, err)
				continue
			}
			if answer.Status != request.status || answer.Error.Kind != request.kind || answer.Error.Message == "" || answer.Error.Remedy == "" {
				t.Errorf("%s: %d %s", request.name, answer.Status, answer.Body)
			}
		}
		cluster.checkInvalidControlRequests(t)
	})
}

// checkInvalidControlRequests checks the errors of control nodes, and that the config is unchanged.
func (cluster *Cluster) checkInvalidControlRequests(t *testing.T) {
	t.Helper()
	before, err := cluster.fleet()
	if err != nil {
		t.Fatal(err)
	}
	for _, request := range invalidControlRequests(before.ConfigNumber) {
		answer, err := cluster.sendInvalidRequest(cluster.Controls[1].Host+":7200", request)
		if err != nil || answer.Error.Kind != request.kind || answer.Error.Remedy == "" {
			t.Errorf("%s: %v %+v", request.name, err, answer)
		}
	}
	after, err := cluster.fleet()
	if err != nil || after.ConfigNumber != before.ConfigNumber {
		t.Errorf("rejected changes advanced the config from %d to %d (%v)", before.ConfigNumber, after.ConfigNumber, err)
	}
}

// invalidRequest is a request with its expected status and error kind.
type invalidRequest struct {
	name, method, path, token string
	body                      any
	status                    int // not compared if 0
	kind                      string
}

func (cluster *Cluster) sendInvalidRequest(address string, request invalidRequest) (*Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	return cluster.Ask(ctx, request.method, address, request.path, request.token, request.body)
}

// invalidFrontRequests are requests to a front; first is a turn of an existing conversation.
func invalidFrontRequests(first *StreamedAnswer) []invalidRequest {
	conversationPath := "/v1/conversations/" + first.Conversation
	longText := strings.Repeat("word ", 1<<20)
	return []invalidRequest{
		{"malformed JSON", "POST", "/v1/conversations", TeamToken, `{"program": "dialogue",`, 400, "invalid"},
		{"a missing field", "POST", "/v1/conversations", TeamToken, `{"program": "dialogue"}`, 400, "invalid"},
		{"a field of the wrong type", "POST", "/v1/conversations", TeamToken, `{"program": 7, "kind": "talk", "words": "x"}`, 400, "invalid"},
		{"a body above the size limit", "POST", "/v1/conversations", TeamToken, map[string]any{"program": "dialogue", "kind": "talk", "words": longText}, 413, "too_large"},
		{"no token", "POST", "/v1/conversations", "", map[string]any{"program": "dialogue", "kind": "talk", "words": "x"}, 401, "unauthorized"},
		{"a wrong token", "POST", "/v1/conversations", "nobody", map[string]any{"program": "dialogue", "kind": "talk", "words": "x"}, 401, "unauthorized"},
		{"an unknown program", "POST", "/v1/conversations", TeamToken, map[string]any{"program": "none", "kind": "talk", "words": "x"}, 404, "not_found"},
		{"another team's program", "POST", "/v1/conversations", TeamToken, map[string]any{"program": "foreign", "kind": "talk", "words": "x"}, 404, "not_found"},
		{"an unknown kind", "POST", "/v1/conversations", TeamToken, map[string]any{"program": "dialogue", "kind": "none", "words": "x"}, 404, "not_found"},
		{"a plain kind as a turn", "POST", "/v1/conversations", TeamToken, map[string]any{"program": "dialogue", "kind": "lookup", "words": "x"}, 400, "invalid"},
		{"a turn kind as a lookup", "POST", "/v1/lookups", TeamToken, map[string]any{"program": "dialogue", "kind": "talk", "words": "x"}, 400, "invalid"},
		{"a kind that is not idempotent as a lookup", "POST", "/v1/lookups", TeamToken, map[string]any{"program": "dialogue", "kind": "receipt", "words": "x"}, 400, "invalid"},
		{"a request without a key", "POST", "/v1/queries", TeamToken, map[string]any{"program": "dialogue", "kind": "receipt", "words": "x"}, 400, "invalid"},
		{"a request with an empty key", "POST", "/v1/queries", TeamToken, map[string]any{"program": "dialogue", "kind": "receipt", "words": "x", "query_key": ""}, 400, "invalid"},
		{"a used key with another body", "POST", "/v1/queries", TeamToken, map[string]any{"program": "dialogue", "kind": "receipt", "words": "another", "query_key": "used"}, 409, "conflict"},
		{"following an unknown conversation", "POST", "/v1/conversations/c-none/turns", TeamToken, map[string]any{"kind": "talk", "words": "x", "follows": 1}, 404, "not_found"},
		{"following a missing turn", "POST", conversationPath + "/turns", TeamToken, map[string]any{"kind": "talk", "words": "x", "follows": 99}, 404, "not_found"},
		{"following the seq of a piece", "POST", conversationPath + "/turns", TeamToken, map[string]any{"kind": "talk", "words": "x", "follows": 2}, 404, "not_found"},
		{"following seq 0", "POST", conversationPath + "/turns", TeamToken, map[string]any{"kind": "talk", "words": "x", "follows": 0}, 400, "invalid"},
		{"following a turn of another team's conversation", "POST", conversationPath + "/turns", OtherToken, map[string]any{"kind": "talk", "words": "x", "follows": first.Turn}, 404, "not_found"},
		{"reading another team's conversation", "GET", conversationPath, OtherToken, nil, 404, "not_found"},
		{"tailing another team's conversation", "GET", conversationPath + "/tail", OtherToken, nil, 404, "not_found"},
		{"a cursor beyond the end", "GET", conversationPath + "/tail?cursor=9999", TeamToken, nil, 400, "invalid"},
		{"a page beyond the end", "GET", conversationPath + "?after=9999", TeamToken, nil, 400, "invalid"},
		{"a page size of 0", "GET", conversationPath + "?limit=0", TeamToken, nil, 400, "invalid"},
		{"a tool of an unknown conversation", "POST", "/v1/conversations/c-none/tools", TeamToken, map[string]any{"kind": "receipt", "words": "x", "follows": 1, "query_key": "k"}, 404, "not_found"},
		{"a helper of an unknown turn", "POST", conversationPath + "/helpers", TeamToken, map[string]any{"program": "dialogue", "kind": "talk", "words": "x", "follows": 99, "query_key": "k"}, 404, "not_found"},
		{"another team's tally", "GET", "/v1/tallies/foreign", TeamToken, nil, 404, "not_found"},
	}
}

// invalidControlRequests are requests to a control node; configNumber is that of the config in
// force.
func invalidControlRequests(configNumber uint64) []invalidRequest {
	return []invalidRequest{
		{"invalid CUE", "PUT", "/v1/config", RootToken, map[string]any{"source": "teams: {", "expected": configNumber}, 0, "invalid"},
		{"a config with an unknown group", "PUT", "/v1/config", RootToken, map[string]any{"source": Config(BasicConfig) + "\ntables: talk: nowhere: 1", "expected": configNumber}, 0, "invalid"},
		{"an outdated config number", "PUT", "/v1/config", RootToken, map[string]any{"source": Config(BasicConfig), "expected": configNumber - 1}, 0, "conflict"},
		{"an unknown path", "PATCH", "/v1/config", RootToken, map[string]any{"path": "programs.none.allowance", "value": 5}, 0, "invalid"},
		{"a value out of range", "PATCH", "/v1/config", RootToken, map[string]any{"path": "programs.dialogue.allowance", "value": -5}, 0, "invalid"},
		{"a team's token", "PATCH", "/v1/config", TeamToken, map[string]any{"path": "programs.dialogue.allowance", "value": 5}, 0, "unauthorized"},
		{"no token", "GET", "/v1/fleet", "", nil, 0, "unauthorized"},
		{"an unknown state", "POST", "/v1/domains/east", RootToken, map[string]any{"state": "gone"}, 0, "invalid"},
	}
}

// TestFrontWithoutStoresRunsNothing guards against a front that runs requests while it cannot
// record them. It can't know the outcome of an earlier request with the same key either, so it
// answers "unknown" with a Retry-After header.
func TestFrontWithoutStoresRunsNothing(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		front := cluster.Fronts[0]
		for _, store := range cluster.Stores {
			cluster.Network.Cut(front.Host, store.Host)
		}
		for round := range 3 {
			key := fmt.Sprintf("cut-%d", round)
			answer, err := cluster.sendReceiptQuery(front, key, "pay")
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
		<-time.After(15 * time.Second) // for the packets held back by the cut links
		for round := range 3 {
			if count := cluster.executions(fmt.Sprintf("dialogue/receipt/cut-%d", round)); count != 0 {
				t.Fatalf("a request that could not be recorded ran %d times", count)
			}
		}
	})
}
