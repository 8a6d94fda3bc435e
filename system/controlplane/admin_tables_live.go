package controlplane

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"

	"yardrock.example/system/feed"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/storeclient"
	"yardrock.example/system/wire"
)

// listGroups lists the session log groups as reported by their leaders.
func listGroups(ctx context.Context, source tableSource) table {
	leaders := source.node.groupLeaders(ctx, source.view)
	rows := [][]string{}
	for group := range source.view.Groups {
		status := leaders[group]
		rows = append(rows, []string{strconv.Itoa(int(group)), status.leader, strings.Join(status.Voters, " "), strings.Join(status.Learners, " ")})
	}
	return table{columns: []string{"group", "leader", "voters", "learners"}, rows: rows}
}

// listQuotaUsage lists how much of its quota each program has spent and reserved, as recorded
// in a session log; "unknown" if the log cannot be read.
func listQuotaUsage(ctx context.Context, source tableSource) table {
	stores := storeclient.New(source.node.client, func() *feed.View { return source.view })
	rows := [][]string{}
	for _, name := range slices.Sorted(maps.Keys(source.config.Programs)) {
		program := source.config.Programs[name]
		readCtx, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err := stores.Read(readCtx, wire.ReadQuery{Session: sessionlog.QuotaName(program.Team, name, program.Period), QuotaUsage: true})
		cancel()
		spent, reserved := "unknown", "unknown"
		if err == nil {
			spent, reserved = strconv.FormatUint(reply.Spent, 10), strconv.FormatUint(reply.Reserved, 10)
		}
		rows = append(rows, []string{name, program.Team, program.Period, spent, reserved, strconv.FormatUint(program.Quota, 10)})
	}
	return table{columns: []string{"program", "team", "period", "spent", "reserved", "allowance"}, rows: rows}
}

// listRunnerLoads lists the load of the runners as reported by each front; "unknown" if a front
// does not answer.
func listRunnerLoads(ctx context.Context, source tableSource) table {
	rows := [][]string{}
	for _, member := range source.node.liveMembers() {
		if member.Role != feed.RoleFront {
			continue
		}
		status, err := source.node.queryStatus(ctx, member.Address, callTimeout, wire.StatusQuery{})
		if err != nil {
			rows = append(rows, []string{member.Name, "unknown", "", "", ""})
			continue
		}
		waiting := strconv.FormatUint(uint64(status.Queued), 10)
		for _, runner := range status.RunnerLoads {
			rows = append(rows, []string{member.Name, runner.Address, strconv.FormatUint(uint64(runner.InFlight), 10), strconv.FormatBool(runner.WarmingUp), waiting})
		}
		if len(status.RunnerLoads) == 0 {
			rows = append(rows, []string{member.Name, "", "0", "", waiting})
		}
	}
	return table{columns: []string{"front", "runner", "out", "cooled", "waiting"}, rows: rows}
}
