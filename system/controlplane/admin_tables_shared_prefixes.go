package controlplane

import (
	"context"
	"slices"
	"strconv"
	"strings"

	"yardrock.example/system/wire"
)

// sharedPrefixColumns keep the names that the query language gave them.
var sharedPrefixColumns = []string{"group", "leader", "scope", "opening", "bytes", "lines", "saved", "state"}

// listSharedPrefixes lists the prefixes that many session logs share, as the groups' leaders
// report them, and how many bytes all replicas together save by that. The first row sums up.
// No content is shown.
func listSharedPrefixes(ctx context.Context, source tableSource) table {
	leaders := source.node.queryGroupLeaders(ctx, source.view, wire.StatusQuery{SharedPrefixes: true})
	number := func(value uint64) string { return strconv.FormatUint(value, 10) }
	rows, size, references, saved := [][]string{}, uint64(0), uint64(0), uint64(0)
	for group := range source.view.Groups {
		status := leaders[group]
		slices.SortFunc(status.SharedPrefixes, func(left, right wire.SharedPrefixStatus) int { return strings.Compare(left.Name, right.Name) })
		for _, prefix := range status.SharedPrefixes {
			state, savedBytes := "held", uint64(0)
			if prefix.Corrupt {
				state = "damaged"
			}
			if prefix.References > 0 {
				savedBytes = (prefix.References - 1) * prefix.Size * uint64(len(status.Voters))
			}
			size, references, saved = size+prefix.Size, references+prefix.References, saved+savedBytes
			rows = append(rows, []string{number(uint64(group)), status.leader, prefix.Scope, prefix.Name, number(prefix.Size), number(prefix.References), number(savedBytes), state})
		}
	}
	state := "off"
	if source.config.SharedPrefixes.Enabled {
		state = "on"
	}
	return table{columns: sharedPrefixColumns, rows: slices.Insert(rows, 0, []string{"all", "", "", "", number(size), number(references), number(saved), state})}
}
