package controlplane

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/feed"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/storeclient"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// tableFunc returns the columns and rows of a table of the query language.
type tableFunc func(service adminService, ctx context.Context, view *feed.View, made *config.Config) ([]string, [][]string)

// tables are the tables of the query language, by their names in it.
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
		stores := storeclient.New(service.node.client, func() *feed.View { return view })
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
			reply, err := service.node.client.Call(limited, member.Address, &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}})
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

// readTable returns a table of the query language as of a confirmed state.
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

// farBehindError says that a state lacks the history which a request needs.
func farBehindError() error {
	return apierror.NewRetryable(apierror.NoQuorum, "this control node does not hold the last changes yet", "ask again, or another control node", time.Second)
}

// showChanges returns the last changes of a confirmed state.
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

// changeKindNames are the kinds of change as operators see them.
var changeKindNames = map[feed.ChangeKind]string{
	feed.ChangeFounded: "founded", feed.ChangeConfig: "config", feed.ChangeDomain: "domain", feed.ChangeRunners: "roster",
	feed.ChangeStores: "stores", feed.ChangeControls: "controls", feed.ChangeRoleLease: "assignment", feed.ChangeRecovered: "recovered",
}

// memberRows returns the rows of a table of members.
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

// formatTime formats nanoseconds since 1970 for people.
func formatTime(nanoseconds int64) string {
	return time.Unix(0, nanoseconds).UTC().Format(time.RFC3339)
}

var memberColumns = []string{"name", "role", "domain", "address", "state"}

// changesTable is the table that needs the history of the state beside its view.
const changesTable = "changes"
