package controlplane

import (
	"context"
	"slices"
	"strconv"
	"strings"

	"yardrock.example/system/wire"
)

// sharedPrefixColumns are the columns of the table of shared prefixes. Their names are part of
// the query language.
var sharedPrefixColumns = []string{"group", "leader", "scope", "opening", "bytes", "lines", "saved", "state"}

// listSharedPrefixes lists the prefixes that session logs share, as reported by the groups'
// leaders, with the bytes saved over all replicas. The first row has the totals. The content of
// the prefixes is not shown.
func listSharedPrefixes(ctx context.Context, source tableSource) table {
	leaders := source.node.queryGroupLeaders(ctx, source.view, wire.StatusQuery{SharedPrefixes: true})
	formatUint := func(value uint64) string { return strconv.FormatUint(value, 10) }
	rows, totalSize, totalReferences, totalSaved := [][]string{}, uint64(0), uint64(0), uint64(0)
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
			totalSize, totalReferences, totalSaved = totalSize+prefix.Size, totalReferences+prefix.References, totalSaved+savedBytes
			rows = append(rows, []string{formatUint(uint64(group)), status.leader, prefix.Scope, prefix.Name, formatUint(prefix.Size), formatUint(prefix.References), formatUint(savedBytes), state})
		}
	}
	state := "off"
	if source.config.SharedPrefixes.Enabled {
		state = "on"
	}
	return table{columns: sharedPrefixColumns, rows: slices.Insert(rows, 0, []string{"all", "", "", "", formatUint(totalSize), formatUint(totalReferences), formatUint(totalSaved), state})}
}
