package simulator

import (
	"encoding/json"
	"net/http"
	"slices"
	"testing"
	"time"

	"yardrock.example/system/querylanguage"
)

// show runs one statement of the query language and returns its columns and rows.
func (cluster *Cluster) show(t *testing.T, text string) ([]string, [][]string) {
	t.Helper()
	answer, err := cluster.Administer(http.MethodPost, "/v1/query", map[string]any{"text": text})
	if err != nil || answer.Status != http.StatusOK {
		t.Fatalf("%s: %v %s", text, err, answer)
	}
	var reported struct {
		Columns []string
		Rows    [][]string
	}
	if err := json.Unmarshal(answer.Body, &reported); err != nil {
		t.Fatal(err)
	}
	return reported.Columns, reported.Rows
}

// TestEveryTableShowsCurrentState shows each table of the query language on a healthy fleet.
func TestEveryTableShowsCurrentState(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		cluster.startConversations(t, 3)
		if err := cluster.replaceRouting(0, 0, oneRoute(4, time.Second), "shown"); err != nil {
			t.Fatal(err)
		}
		slowResponse := cluster.sendInBackground(cluster.Fronts[0], "/v1/queries", receipt("shown", "pay !slow"))
		cluster.checkTablesHaveRows(t)
		cluster.checkRoutingTables(t)
		cluster.checkUsageTables(t)
		_, rows := cluster.show(t, "show groups where leader = unknown")
		if len(rows) != 0 {
			t.Errorf("groups without a leader: %v", rows)
		}
		if answer := <-slowResponse; answer == nil || answer.Status != http.StatusOK {
			t.Fatalf("%s", answer)
		}
	})
}

func (cluster *Cluster) checkTablesHaveRows(t *testing.T) {
	t.Helper()
	for _, table := range querylanguage.Tables {
		columns, rows := cluster.show(t, "show "+table)
		if len(columns) == 0 || (len(rows) == 0 && table != "domains") {
			t.Errorf("%s shows columns %v and rows %v", table, columns, rows)
		}
		for _, row := range rows {
			if len(row) != len(columns) {
				t.Errorf("%s: row %v does not match the columns %v", table, row, columns)
			}
		}
	}
}

func (cluster *Cluster) checkRoutingTables(t *testing.T) {
	t.Helper()
	_, rows := cluster.show(t, "show routes where shares ~ small")
	if len(rows) != 1 || !slices.Equal(rows[0], []string{"chat", "one.example", "/chat/", "once", "1s", "0", "small:1", "4"}) {
		t.Errorf("routes show %v", rows)
	}
	_, rows = cluster.show(t, "show services")
	if len(rows) != 1 || !slices.Equal(rows[0], []string{"small", "/health", "0", "0s", "0", "2"}) {
		t.Errorf("services show %v", rows)
	}
}

// checkUsageTables requires one query in flight at an application runner.
func (cluster *Cluster) checkUsageTables(t *testing.T) {
	t.Helper()
	_, rows := cluster.show(t, "show demand where out > 0")
	if len(rows) != 1 || rows[0][1] != cluster.Runners[slices.IndexFunc(cluster.Runners, func(machine *RunnerMachine) bool {
		return machine.Runner.Record().MaxInFlight > 0 && machine.Host[5] == '4'
	})].Host+":8000" {
		t.Errorf("demand shows %v", rows)
	}
	before, err := cluster.quota(cluster.Fronts[0], "dialogue")
	if err != nil {
		t.Fatal(err)
	}
	_, rows = cluster.show(t, "show tallies where program = dialogue")
	if len(rows) != 1 || rows[0][3] == "0" || rows[0][3] == "unknown" || before.Spent == 0 {
		t.Errorf("tallies show %v, the front reports %+v", rows, before)
	}
}
