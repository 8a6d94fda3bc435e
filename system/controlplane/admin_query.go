package controlplane

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"yardrock.example/system/api/gen/administration"
	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/feed"
	"yardrock.example/system/querylanguage"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/storeclient"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// tableFunc gives a table's columns and rows.
type tableFunc func(service adminService, ctx context.Context, view *feed.View, made *config.Config) ([]string, [][]string)

const changesTable = "changes"

func formatTime(nanoseconds int64) string {
	return time.Unix(0, nanoseconds).UTC().Format(time.RFC3339)
}

func memberRows(listed []feed.Member) [][]string {
	rows := [][]string{}
	for _, member := range listed {
		state := member.State
		if state == "" {
			state = feed.StateServing
		}
		rows = append(rows, []string{member.Name, member.Role, member.Domain, member.Address, state})
	}
	return rows
}

var memberColumns = []string{"name", "role", "domain", "address", "state"}

var tables = map[string]tableFunc{
	"nodes": func(service adminService, _ context.Context, _ *feed.View, _ *config.Config) ([]string, [][]string) {
		return memberColumns, memberRows(service.node.LiveMembers())
	},
	"stores": func(_ adminService, _ context.Context, view *feed.View, _ *config.Config) ([]string, [][]string) {
		return memberColumns, memberRows(view.Stores)
	},
	"controls": func(_ adminService, _ context.Context, view *feed.View, _ *config.Config) ([]string, [][]string) {
		return memberColumns, memberRows(view.Controls)
	},
	"runners": func(_ adminService, _ context.Context, view *feed.View, _ *config.Config) ([]string, [][]string) {
		rows := [][]string{}
		for _, runner := range view.Runners {
			state := runner.State
			if view.DomainDrained(runner.Domain) {
				state = feed.StateDrained
			}
			rows = append(rows, []string{runner.Address, runner.Group, runner.Domain, state, formatTime(runner.Since)})
		}
		return []string{"address", "group", "domain", "state", "since"}, rows
	},
	"domains": func(_ adminService, _ context.Context, view *feed.View, _ *config.Config) ([]string, [][]string) {
		counts := map[string]int{}
		for _, runner := range view.Runners {
			counts[runner.Domain]++
		}
		for _, domain := range view.Domains {
			counts[domain.Name] += 0
		}
		rows := [][]string{}
		for _, name := range slices.Sorted(maps.Keys(counts)) {
			state := feed.StateServing
			if view.DomainDrained(name) {
				state = feed.StateDrained
			}
			rows = append(rows, []string{name, state, strconv.Itoa(counts[name])})
		}
		return []string{"name", "state", "runners"}, rows
	},
	"weights": func(_ adminService, _ context.Context, _ *feed.View, decoded *config.Config) ([]string, [][]string) {
		rows := [][]string{}
		for _, table := range slices.Sorted(maps.Keys(decoded.Tables)) {
			for _, group := range slices.Sorted(maps.Keys(decoded.Tables[table])) {
				rows = append(rows, []string{table, group, strconv.FormatFloat(decoded.Tables[table][group], 'g', -1, 64)})
			}
		}
		return []string{"table", "group", "weight"}, rows
	},
	"routes": func(_ adminService, _ context.Context, _ *feed.View, decoded *config.Config) ([]string, [][]string) {
		rows := [][]string{}
		if decoded.Routing != nil {
			for _, route := range decoded.Routing.Routes {
				shares := []string{}
				for _, share := range route.Shares {
					shares = append(shares, share.Service+":"+strconv.FormatFloat(share.Weight, 'g', -1, 64))
				}
				rows = append(rows, []string{route.Name, route.Host, route.Prefix, string(route.Kind), time.Duration(route.Timeout).String(),
					strconv.Itoa(route.Urgency), strings.Join(shares, " "), strconv.FormatUint(decoded.Routing.Revision, 10)})
			}
		}
		return []string{"name", "host", "prefix", "kind", "patience", "urgency", "shares", "revision"}, rows
	},
	"services": func(_ adminService, _ context.Context, view *feed.View, decoded *config.Config) ([]string, [][]string) {
		rows := [][]string{}
		if decoded.Routing != nil {
			counts := map[string]int{}
			for _, runner := range view.Runners {
				counts[runner.Group]++
			}
			for _, service := range decoded.Routing.Services {
				rows = append(rows, []string{service.Name, service.HealthPath, strconv.Itoa(service.MaxConnections), time.Duration(service.WarmUp).String(),
					strconv.FormatFloat(service.WarmUpRate, 'g', -1, 64), strconv.Itoa(counts[service.Name])})
			}
		}
		return []string{"name", "health_path", "most_connections", "cold_for", "cold_rate", "runners"}, rows
	},
	"programs": func(_ adminService, _ context.Context, _ *feed.View, decoded *config.Config) ([]string, [][]string) {
		rows := [][]string{}
		for _, name := range slices.Sorted(maps.Keys(decoded.Programs)) {
			program := decoded.Programs[name]
			rows = append(rows, []string{name, program.Team, strconv.FormatUint(program.Quota, 10), strconv.FormatUint(program.TurnLimit, 10), program.Period})
		}
		return []string{"name", "team", "allowance", "turn_limit", "period"}, rows
	},
	"assignments": func(_ adminService, _ context.Context, view *feed.View, _ *config.Config) ([]string, [][]string) {
		rows := [][]string{}
		for _, assignment := range view.RoleLeases {
			rows = append(rows, []string{assignment.Key, assignment.Holder, strconv.FormatUint(assignment.FencingToken, 10)})
		}
		return []string{"key", "owner", "fence"}, rows
	},
	"groups": func(service adminService, ctx context.Context, view *feed.View, _ *config.Config) ([]string, [][]string) {
		leaders := service.node.groupLeaders(ctx, view)
		rows := [][]string{}
		for group := range view.Groups {
			status := leaders[group]
			rows = append(rows, []string{strconv.Itoa(int(group)), status.leader, strings.Join(status.Voters, " "), strings.Join(status.Learners, " ")})
		}
		return []string{"group", "leader", "voters", "learners"}, rows
	},
	"openings": showSharedPrefixes,
	"tallies": func(service adminService, ctx context.Context, view *feed.View, decoded *config.Config) ([]string, [][]string) {
		stores := storeclient.New(service.node.caller, func() *feed.View { return view })
		rows := [][]string{}
		for _, name := range slices.Sorted(maps.Keys(decoded.Programs)) {
			program := decoded.Programs[name]
			limited, cancel := context.WithTimeout(ctx, callTimeout)
			reply, err := stores.Read(limited, wire.ReadQuery{Session: sessionlog.QuotaName(program.Team, name, program.Period), QuotaUsage: true})
			cancel()
			spent, reserved := "unknown", "unknown"
			if err == nil {
				spent, reserved = strconv.FormatUint(reply.Spent, 10), strconv.FormatUint(reply.Reserved, 10)
			}
			rows = append(rows, []string{name, program.Team, program.Period, spent, reserved, strconv.FormatUint(program.Quota, 10)})
		}
		return []string{"program", "team", "period", "spent", "reserved", "allowance"}, rows
	},
	"demand": func(service adminService, ctx context.Context, _ *feed.View, _ *config.Config) ([]string, [][]string) {
		rows := [][]string{}
		for _, member := range service.node.LiveMembers() {
			if member.Role != feed.RoleFront {
				continue
			}
			limited, cancel := context.WithTimeout(ctx, callTimeout)
			reply, err := service.node.caller.Call(limited, member.Address, &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}})
			cancel()
			if err != nil || reply.Status == nil {
				rows = append(rows, []string{member.Name, "unknown", "", "", ""})
				continue
			}
			waiting := strconv.FormatUint(uint64(reply.Status.Queued), 10)
			for _, runner := range reply.Status.RunnerLoads {
				rows = append(rows, []string{member.Name, runner.Address, strconv.FormatUint(uint64(runner.InFlight), 10), strconv.FormatBool(runner.WarmingUp), waiting})
			}
			if len(reply.Status.RunnerLoads) == 0 {
				rows = append(rows, []string{member.Name, "", "0", "", waiting})
			}
		}
		return []string{"front", "runner", "out", "cooled", "waiting"}, rows
	},
	"config": func(_ adminService, _ context.Context, view *feed.View, _ *config.Config) ([]string, [][]string) {
		return []string{"number", "newest", "fleet"}, [][]string{{strconv.FormatUint(view.ConfigNumber, 10), strconv.FormatUint(view.Number, 10), view.Fleet}}
	},
}

// farBehindError answers what can't be told from a state without its changes.
func farBehindError() error {
	return apierror.NewRetryable(apierror.NoQuorum, "this control node does not hold the last changes yet", "ask again, or another control node", time.Second)
}

// showChanges lists the last changes of a confirmed state.
func showChanges(state *feedState) ([]string, [][]string, error) {
	if state.lacksHistory {
		return nil, nil, farBehindError()
	}
	rows := [][]string{}
	for _, change := range state.history.Changes {
		rows = append(rows, []string{strconv.FormatUint(change.Number, 10), changeKindNames[change.Kind], change.By, formatTime(change.At), change.Statement})
	}
	return []string{"number", "kind", "by", "at", "command"}, rows, nil
}

var changeKindNames = map[feed.ChangeKind]string{
	feed.ChangeFounded: "founded", feed.ChangeConfig: "config", feed.ChangeDomain: "domain", feed.ChangeRunners: "roster",
	feed.ChangeStores: "stores", feed.ChangeControls: "controls", feed.ChangeRoleLease: "assignment", feed.ChangeRecovered: "recovered",
}

// Statement runs one line of the query language.
func (service adminService) Query(ctx context.Context, payload *administration.QueryPayload) (*administration.QueryResult, error) {
	ctx, cancel, from, err := service.beginRequest(ctx, payload.Authorization, decommissionTimeout)
	defer cancel()
	if err != nil {
		return nil, err
	}
	statement, err := querylanguage.Parse(payload.Text)
	if err != nil {
		return nil, err
	}
	if statement.Show == nil {
		return service.execute(ctx, from, statement)
	}
	reading, stop := context.WithTimeout(ctx, administrationTimeout)
	defer stop()
	columns, rows, err := service.readTable(reading, from.state, statement.Show.What)
	if err != nil {
		return nil, err
	}
	rows, err = statement.Show.Apply(columns, rows)
	return &administration.QueryResult{Columns: columns, Rows: rows}, err
}

func (service adminService) readTable(ctx context.Context, state *feedState, table string) ([]string, [][]string, error) {
	if table == changesTable {
		return showChanges(state)
	}
	decoded, err := service.node.decodeConfig(state.view)
	if err != nil {
		return nil, nil, err
	}
	columns, rows := tables[table](service, ctx, state.view, decoded)
	return columns, rows, nil
}

// planFunc finds the change of a statement on a view, none if all is as it asks, and tells
// what it would do.
type planFunc func(view *feed.View) (change *feed.Change, would string, err error)

// execute carries out a statement that changes something.
func (service adminService) execute(ctx context.Context, from authenticatedOperator, statement *querylanguage.Statement) (*administration.QueryResult, error) {
	plan := service.planFor(from.state, statement)
	expected := statement.Expect
	request := newAdminRequest(from.name, expected, statement.String())
	request.statement = statement.String()
	inForce := func(view *feed.View) []uint64 { return []uint64{view.Number, view.ConfigNumber} }
	result := &administration.QueryResult{Columns: []string{}, Rows: [][]string{}}
	if statement.DryRun {
		if err := request.checkExpected(from.state.view, inForce(from.state.view)); err != nil {
			return nil, err
		}
		_, would, err := plan(from.state.view)
		result.Would = &would
		return result, err
	}
	changing, cancel := context.WithTimeout(ctx, administrationTimeout)
	defer cancel()
	reply, err := service.node.execute(changing, func(view *feed.View) (decision, error) {
		return request.decide(view, inForce(view), func() (*feed.Change, error) {
			change, _, err := plan(view)
			return change, err
		})
	})
	if err == nil && statement.Retire != nil {
		reply, err = service.node.awaitDecommissioned(ctx, statement.Retire.Name)
	}
	changed, err := changeResult(reply, err)
	if err != nil {
		return nil, err
	}
	result.Number, result.Acknowledged = &changed.Number, &changed.Acknowledged
	return result, nil
}

// planFor finds the plan of a statement that changes something.
func (service adminService) planFor(state *feedState, statement *querylanguage.Statement) planFunc {
	switch {
	case statement.Set != nil:
		return func(view *feed.View) (*feed.Change, string, error) { return service.planSet(view, statement.Set) }
	case statement.Restore != nil:
		return func(view *feed.View) (*feed.Change, string, error) {
			change, err := service.planRestore(view, state, statement.Restore.Number)
			return change, fmt.Sprintf("config %d would be in force again under a new number", statement.Restore.Number), err
		}
	case statement.Empty != nil:
		return func(view *feed.View) (*feed.Change, string, error) {
			change, err := planDomain(view, statement.Empty.Name, feed.StateDrained, statement.Empty.Force)
			return change, "domain " + statement.Empty.Name + " would get no new work", err
		}
	case statement.Refill != nil:
		return func(view *feed.View) (*feed.Change, string, error) {
			change, err := planDomain(view, statement.Refill.Name, feed.StateServing, false)
			return change, "domain " + statement.Refill.Name + " would get work again", err
		}
	case statement.Enrol != nil:
		return func(view *feed.View) (*feed.Change, string, error) {
			change, err := service.node.planEnrol(view, statement.Enrol.Name)
			return change, "store " + statement.Enrol.Name + " would be in the store list", err
		}
	default:
		return func(view *feed.View) (*feed.Change, string, error) {
			name := statement.Retire.Name
			change, err := planDecommission(view, name, hasName(name))
			return change, "store " + name + " would be emptied and leave the store list", err
		}
	}
}

func newDomainChange(view *feed.View, name, state string) feed.Change {
	return feed.Change{Kind: feed.ChangeDomain, Expects: true, Expected: view.Number, Domain: feed.Domain{Name: name, State: state, Since: time.Now().UnixNano()}}
}

// planSet makes the config change of a set command; the name must be there.
func (service adminService) planSet(view *feed.View, set *querylanguage.Set) (*feed.Change, string, error) {
	path, err := set.Path()
	if err != nil {
		return nil, "", err
	}
	decoded, err := service.node.decodeConfig(view)
	if err != nil {
		return nil, "", err
	}
	missing := func(kind, name string, known []string) error {
		return apierror.New(apierror.Invalid, "no "+kind+" is named "+strconv.Quote(name)+querylanguage.Suggest(name, known), "name one of "+strings.Join(known, ", "))
	}
	if set.Weight != nil {
		if tables := slices.Sorted(maps.Keys(decoded.Tables)); !slices.Contains(tables, set.Weight.First) {
			return nil, "", missing("table", set.Weight.First, tables)
		}
		if groups := slices.Sorted(maps.Keys(decoded.Groups)); !slices.Contains(groups, set.Weight.Second) {
			return nil, "", missing("group", set.Weight.Second, groups)
		}
	}
	if set.Allowance != nil {
		if programs := slices.Sorted(maps.Keys(decoded.Programs)); !slices.Contains(programs, set.Allowance.First) {
			return nil, "", missing("program", set.Allowance.First, programs)
		}
	}
	var value any = set.Value
	if number, err := strconv.ParseFloat(set.Value, 64); err == nil {
		value = number
	}
	change, err := service.node.planValue(view, path, value)
	return change, path + " would be " + set.Value, err
}

// planRestore finds an earlier config that a confirmed state keeps. The routing in force stays:
// its revisions never fall.
func (service adminService) planRestore(view *feed.View, state *feedState, number uint64) (*feed.Change, error) {
	if state.lacksHistory {
		return nil, farBehindError()
	}
	source, compiled, kept, err := state.history.ConfigAt(state.view, number)
	if err != nil {
		return nil, err
	}
	if !kept {
		return nil, apierror.New(apierror.NotFound, fmt.Sprintf("no config of number %d is kept: it was never in force, or too much has changed since", number), "show changes where kind = config")
	}
	decoded, err := config.Decode(compiled)
	if err != nil {
		return nil, err
	}
	decoded.Routing = nil
	return service.node.planConfig(view, source, decoded)
}
