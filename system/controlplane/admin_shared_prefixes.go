package controlplane

import (
	"context"
	"slices"
	"strconv"
	"strings"

	"yardrock.example/system/config"
	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
)

var sharedPrefixColumns = []string{"group", "leader", "scope", "opening", "bytes", "lines", "saved", "state"}

// showSharedPrefixes lists the prefixes that many session logs share, as the groups' leaders
// report them, and how many bytes all replicas together save by that. The first row sums up.
// No content is shown.
func showSharedPrefixes(service adminService, ctx context.Context, view *feed.View, decoded *config.Config) ([]string, [][]string) {
	leaders := service.node.queryGroupLeaders(ctx, view, wire.StatusQuery{SharedPrefixes: true})
	number := func(value uint64) string { return strconv.FormatUint(value, 10) }
	rows, bytes, lines, saved := [][]string{}, uint64(0), uint64(0), uint64(0)
	for group := range view.Groups {
		status := leaders[group]
		slices.SortFunc(status.SharedPrefixes, func(left, right wire.SharedPrefixStatus) int { return strings.Compare(left.Name, right.Name) })
		for _, opening := range status.SharedPrefixes {
			state, spared := "held", uint64(0)
			if opening.Corrupt {
				state = "damaged"
			}
			if opening.References > 0 {
				spared = (opening.References - 1) * opening.Size * uint64(len(status.Voters))
			}
			bytes, lines, saved = bytes+opening.Size, lines+opening.References, saved+spared
			rows = append(rows, []string{number(uint64(group)), status.leader, opening.Scope, opening.Name, number(opening.Size), number(opening.References), number(spared), state})
		}
	}
	state := "off"
	if decoded.SharedPrefixes.Enabled {
		state = "on"
	}
	return sharedPrefixColumns, slices.Insert(rows, 0, []string{"all", "", "", "", number(bytes), number(lines), number(saved), state})
}
