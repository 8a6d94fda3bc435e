package simulator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestTwoOperatorsNeverOverwriteEachOther(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		type result struct {
			quota   int
			changed ChangeResult
		}
		var acknowledged []result
		for round := range 12 {
			var reported struct{ Number uint64 }
			answer, err := cluster.Administer(http.MethodGet, "/v1/config", nil)
			if err != nil || json.Unmarshal(answer.Body, &reported) != nil {
				t.Fatal(err)
			}
			results := make(chan result, 2)
			for operator := range 2 {
				go func() {
					quota := 1000 + 10*round + operator
					ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
					defer cancel()
					answer, err := cluster.Ask(ctx, http.MethodPatch, cluster.Controls[(round+operator)%3].Host+":7200", "/v1/config", RootToken,
						map[string]any{"path": "programs.dialogue.allowance", "value": quota, "expected": reported.Number})
					done := result{quota: quota}
					if err == nil && answer.Status == http.StatusOK {
						json.Unmarshal(answer.Body, &done.changed)
					}
					results <- done
				}()
			}
			acknowledgedInRound := slices.DeleteFunc([]result{<-results, <-results}, func(candidate result) bool { return !candidate.changed.Acknowledged })
			if len(acknowledgedInRound) > 1 {
				t.Fatalf("round %d: both operators replaced config %d", round, reported.Number)
			}
			acknowledged = append(acknowledged, acknowledgedInRound...)
			if round%4 == 3 {
				leader := slices.IndexFunc(cluster.Controls, func(machine *Machine) bool { return machine.Control.IsLeader() })
				cluster.Controls[leader].LosePower()
				if err := cluster.Controls[leader].Start(); err != nil {
					t.Fatal(err)
				}
				<-time.After(4 * time.Second)
			}
		}
		if len(acknowledged) < 8 {
			t.Fatalf("only %d changes were acknowledged", len(acknowledged))
		}
		last := acknowledged[len(acknowledged)-1]
		answer, err := cluster.Administer(http.MethodGet, "/v1/config", nil)
		if err != nil || !strings.Contains(string(answer.Body), fmt.Sprint(last.quota)) {
			t.Fatalf("the config read back lacks %d: %v %s", last.quota, err, answer.Body)
		}
	})
}
