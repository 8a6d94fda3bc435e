package controlplane

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/feed"
)

// tableSource is the data that a table is listed from.
type tableSource struct {
	node *Node
	// view is the view of a quorum-confirmed state; config is its decoded config.
	view   *feed.View
	config *config.Config
}

// table is a table of the query language. Each row has one value per column.
type table struct {
	columns []string
	rows    [][]string
}

// tableFunc returns the content of a table.
type tableFunc func(ctx context.Context, source tableSource) table

// tables maps the names of the query language's tables, except changesTable, to their
// functions.
var tables = map[string]tableFunc{
	"nodes":       listNodes,
	"stores":      listStores,
	"controls":    listControls,
	"runners":     listRunners,
	"domains":     listDomains,
	"weights":     listWeights,
	"routes":      listRoutes,
	"services":    listServices,
	"programs":    listPrograms,
	"assignments": listRoleLeases,
	"groups":      listGroups,
	"openings":    listSharedPrefixes,
	"tallies":     listQuotaUsage,
	"demand":      listRunnerLoads,
	"config":      listConfig,
}

// changesTable is the only table that is listed from the history of a state instead of its view.
const changesTable = "changes"

// readTable returns the named table as of a confirmed state. The name must be one of
// querylanguage.Tables.
func (service adminService) readTable(ctx context.Context, state *feedState, name string) (table, error) {
	if name == changesTable {
		return listChanges(state)
	}
	decoded, err := service.node.decodeConfig(state.view)
	if err != nil {
		return table{}, err
	}
	// The function is never nil: the parser accepts only querylanguage.Tables, and
	// TestEveryTableOfTheQueryLanguageIsServed checks that the map has them all.
	return tables[name](ctx, tableSource{node: service.node, view: state.view, config: decoded}), nil
}

// historyUnavailableError reports that this node does not have the change history that a
// request needs.
func historyUnavailableError() error {
	return apierror.NewRetryable(apierror.NoQuorum, "this control node does not have the latest changes yet", "retry here or on another control node", time.Second)
}

// listChanges lists the latest changes of a confirmed state.
func listChanges(state *feedState) (table, error) {
	if state.lacksHistory {
		return table{}, historyUnavailableError()
	}
	rows := [][]string{}
	for _, change := range state.history.Changes {
		rows = append(rows, []string{strconv.FormatUint(change.Number, 10), changeKindNames[change.Kind], change.By, formatTime(change.At), change.Statement})
	}
	return table{columns: []string{"number", "kind", "by", "at", "command"}, rows: rows}, nil
}

// changeKindNames are the names of the change kinds in the query language.
var changeKindNames = map[feed.ChangeKind]string{
	feed.ChangeBootstrapped: "founded", feed.ChangeConfig: "config", feed.ChangeDomain: "domain", feed.ChangeRunners: "roster",
	feed.ChangeStores: "stores", feed.ChangeControls: "controls", feed.ChangeRoleLease: "assignment", feed.ChangeRecovered: "recovered",
}

// memberColumns are the columns of the tables that list members.
var memberColumns = []string{"name", "role", "domain", "address", "state"}

// memberRows returns the rows of a table that lists members.
func memberRows(members []feed.Member) [][]string {
	rows := [][]string{}
	for _, member := range members {
		state := member.State
		if state == "" {
			state = feed.StateServing
		}
		rows = append(rows, []string{member.Name, member.Role, member.Domain, member.Address, state})
	}
	return rows
}

// formatTime formats a Unix time in nanoseconds as RFC 3339 in UTC.
func formatTime(nanoseconds int64) string {
	return time.Unix(0, nanoseconds).UTC().Format(time.RFC3339)
}

// listNodes lists the live nodes.
func listNodes(_ context.Context, source tableSource) table {
	return table{columns: memberColumns, rows: memberRows(source.node.liveMembers())}
}

// listStores lists the stores in the store list.
func listStores(_ context.Context, source tableSource) table {
	return table{columns: memberColumns, rows: memberRows(source.view.Stores)}
}

// listControls lists the voters of the control group.
func listControls(_ context.Context, source tableSource) table {
	return table{columns: memberColumns, rows: memberRows(source.view.Controls)}
}

// listRunners lists the runners. A runner in a drained domain is shown as drained.
func listRunners(_ context.Context, source tableSource) table {
	rows := [][]string{}
	for _, runner := range source.view.Runners {
		state := runner.State
		if source.view.DomainDrained(runner.Domain) {
			state = feed.StateDrained
		}
		rows = append(rows, []string{runner.Address, runner.Group, runner.Domain, state, formatTime(runner.Since)})
	}
	return table{columns: []string{"address", "group", "domain", "state", "since"}, rows: rows}
}

// listDomains lists the domains that have runners or were ever drained.
func listDomains(_ context.Context, source tableSource) table {
	counts := map[string]int{}
	for _, runner := range source.view.Runners {
		counts[runner.Domain]++
	}
	for _, domain := range source.view.Domains {
		counts[domain.Name] += 0
	}
	rows := [][]string{}
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		state := feed.StateServing
		if source.view.DomainDrained(name) {
			state = feed.StateDrained
		}
		rows = append(rows, []string{name, state, strconv.Itoa(counts[name])})
	}
	return table{columns: []string{"name", "state", "runners"}, rows: rows}
}

// listRoleLeases lists the leases on singleton roles.
func listRoleLeases(_ context.Context, source tableSource) table {
	rows := [][]string{}
	for _, lease := range source.view.RoleLeases {
		rows = append(rows, []string{lease.Key, lease.Holder, strconv.FormatUint(lease.FencingToken, 10)})
	}
	return table{columns: []string{"key", "owner", "fence"}, rows: rows}
}
