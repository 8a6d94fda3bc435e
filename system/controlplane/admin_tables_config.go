package controlplane

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// listWeights lists the group weights of the config's tables.
func listWeights(_ context.Context, source tableSource) table {
	rows := [][]string{}
	for _, name := range slices.Sorted(maps.Keys(source.config.WeightTables)) {
		weights := source.config.WeightTables[name]
		for _, group := range slices.Sorted(maps.Keys(weights)) {
			rows = append(rows, []string{name, group, strconv.FormatFloat(weights[group], 'g', -1, 64)})
		}
	}
	return table{columns: []string{"table", "group", "weight"}, rows: rows}
}

// listRoutes lists the routes of the current routing.
func listRoutes(_ context.Context, source tableSource) table {
	rows := [][]string{}
	if source.config.Routing != nil {
		for _, route := range source.config.Routing.Routes {
			shares := []string{}
			for _, share := range route.Shares {
				shares = append(shares, share.Service+":"+strconv.FormatFloat(share.Weight, 'g', -1, 64))
			}
			rows = append(rows, []string{route.Name, route.Host, route.Prefix, string(route.Kind), time.Duration(route.Timeout).String(),
				strconv.Itoa(route.Urgency), strings.Join(shares, " "), strconv.FormatUint(source.config.Routing.Revision, 10)})
		}
	}
	return table{columns: []string{"name", "host", "prefix", "kind", "patience", "urgency", "shares", "revision"}, rows: rows}
}

// listServices lists the services of the current routing with their runner counts.
func listServices(_ context.Context, source tableSource) table {
	rows := [][]string{}
	if source.config.Routing != nil {
		counts := map[string]int{}
		for _, runner := range source.view.Runners {
			counts[runner.Group]++
		}
		for _, service := range source.config.Routing.Services {
			rows = append(rows, []string{service.Name, service.HealthPath, strconv.Itoa(service.MaxConnections), time.Duration(service.WarmUp).String(),
				strconv.FormatFloat(service.WarmUpRate, 'g', -1, 64), strconv.Itoa(counts[service.Name])})
		}
	}
	return table{columns: []string{"name", "health_path", "most_connections", "cold_for", "cold_rate", "runners"}, rows: rows}
}

// listPrograms lists the programs of the config.
func listPrograms(_ context.Context, source tableSource) table {
	rows := [][]string{}
	for _, name := range slices.Sorted(maps.Keys(source.config.Programs)) {
		program := source.config.Programs[name]
		rows = append(rows, []string{name, program.Team, strconv.FormatUint(program.Quota, 10), strconv.FormatUint(program.TurnLimit, 10), program.Period})
	}
	return table{columns: []string{"name", "team", "allowance", "turn_limit", "period"}, rows: rows}
}

// listConfig lists the numbers of the current config and view, and the fleet.
func listConfig(_ context.Context, source tableSource) table {
	return table{columns: []string{"number", "newest", "fleet"}, rows: [][]string{{strconv.FormatUint(source.view.ConfigNumber, 10), strconv.FormatUint(source.view.Number, 10), source.view.Fleet}}}
}
