package main

import (
	"bufio"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// interval is a closed range from which a number of an entry is drawn.
type interval struct {
	low, high float64
}

// isSet reports whether the field is drawn at all.
func (bounds interval) isSet() bool {
	return bounds.high > 0
}

// targetKind is what the entries of a kind strike.
type targetKind int

const (
	// With the zero value nothing is chosen: the whole deployment is struck.
	_ targetKind = iota
	// targetMachines strikes machines of the system, of the class in On.
	targetMachines
	// targetCountedMachines strikes machines with a disk: On is core or store.
	targetCountedMachines
	// targetRunners strikes the runners of one service.
	targetRunners
	// targetZone strikes a whole zone.
	targetZone
	// targetClients strikes the clients of one zone or one kind of request.
	targetClients
)

// kind describes one kind of fault or planned work: which fields its entries have and from
// which ranges they are drawn.
type kind struct {
	name     string
	planned  bool
	target   targetKind
	duration interval
	gap      interval
	share    interval
	count    interval
	strength interval
	// variants are the values of How; an empty one leaves it out.
	variants []string
	// aimable kinds may also choose a machine and what else happens to it.
	aimable bool
	// mayStopBusy kinds may stop machines in the middle of responses.
	mayStopBusy bool
}

var (
	// machineSelectors choose which machine is struck.
	machineSelectors = []string{"", "leader", "reader", "seed"}
	// concurrentEvents are what else happens to the machine at the same time.
	concurrentEvents = []string{"", "meet", "race", "race hard", "drain", "meet drain", "race drain hard"}
	// configChanges are the ways in which a configuration is changed.
	configChanges = []string{"route", "weights", "timeout", "tenant", "quota", "idle"}
	// invalidChanges are the ways in which a configuration is invalid.
	invalidChanges = []string{
		"cut_short", "unknown_service", "same_place", "no_weight", "no_timeout",
		"old_version", "same_version", "stale_match", "shared_key",
	}
	// greyFailureVariants are the ways in which a runner fails that passes its health checks.
	greyFailureVariants = []string{"errors", "shed", "busy", "hang", "reset", "mute", "slow", "errors one_zone", "hang one_zone"}
	// cutVariants are the ways in which counted machines are partitioned.
	cutVariants = []string{"", "one_way", "reset", "refuse", "seeds", "both"}
)

// allKinds are all kinds that the bench has for the current deployments.
var allKinds = []kind{
	{name: "burst", target: targetClients, duration: interval{2, 5}, strength: interval{1.3, 2.3}},
	{name: "release", planned: true, target: targetRunners, share: interval{0.2, 0.6}, strength: interval{1, 2}, gap: interval{0.4, 1.5}},
	{name: "answer_lost", target: targetRunners, share: interval{0.3, 1}, strength: interval{0.02, 0.1}, duration: interval{2, 8}, variants: []string{"", "reset"}},
	{name: "garble", target: targetRunners, share: interval{0.3, 1}, strength: interval{0.01, 0.06}, duration: interval{2, 8}, variants: []string{"", "extra", "extra late"}},
	{name: "node_kill", target: targetMachines, share: interval{0.1, 0.3}, duration: interval{1, 4}, variants: []string{"", "power"}, aimable: true},
	{name: "node_freeze", target: targetMachines, share: interval{0.1, 0.3}, duration: interval{1, 5}, aimable: true},
	{name: "node_slow", target: targetMachines, share: interval{0.1, 0.3}, duration: interval{2, 6}, strength: interval{2, 8}, aimable: true},
	{name: "herd_kill", target: targetMachines, share: interval{0.3, 1}, duration: interval{0.5, 2}, variants: []string{"", "power", "taken"}},
	{name: "roll_term", planned: true, target: targetMachines, share: interval{0.3, 1}, strength: interval{1, 2}, gap: interval{0.8, 2}, variants: []string{"", "remove"}, mayStopBusy: true},
	{name: "add_nodes", planned: true, target: targetMachines, count: interval{1, 2}},
	{name: "replace_core", target: targetCountedMachines, strength: interval{0.5, 3}, variants: []string{"", "planned"}},
	{name: "seed_turnover", planned: true},
	{name: "after_ack_kill", target: targetCountedMachines, count: interval{1, 2}, duration: interval{1, 4}, variants: []string{"", "kill", "timed", "taken"}},
	{name: "after_ack_wipe", target: targetCountedMachines, count: interval{1, 2}, duration: interval{1, 4}, variants: []string{"", "timed", "taken"}},
	{name: "disk_slow", target: targetCountedMachines, count: interval{1, 2}, duration: interval{2, 6}, strength: interval{10, 40}},
	{name: "disk_full", target: targetCountedMachines, count: interval{1, 2}, duration: interval{2, 6}},
	{name: "disk_stall", target: targetCountedMachines, count: interval{1, 2}, duration: interval{1, 5}},
	{name: "clock_step", target: targetMachines, share: interval{0.2, 0.6}, duration: interval{2, 8}, strength: interval{500, 20000}, variants: []string{"back", "ahead"}},
	{name: "hup", planned: true, target: targetMachines, share: interval{0.3, 1}, gap: interval{0.5, 2}},
	{name: "reset_conns", target: targetMachines, share: interval{0.1, 0.6}, strength: interval{0.3, 1}},
	{name: "zone_loss", target: targetZone, duration: interval{2, 5}},
	{name: "zone_cut", target: targetZone, duration: interval{2, 6}},
	{name: "node_cut", target: targetMachines, share: interval{0.1, 0.3}, duration: interval{2, 6}, variants: []string{"", "servers"}},
	{name: "core_cut", target: targetCountedMachines, count: interval{1, 1}, duration: interval{2, 20}, variants: cutVariants, aimable: true},
	{name: "config_change", planned: true, variants: configChanges},
	{name: "config_race", planned: true, count: interval{1, 6}, gap: interval{0.3, 1.5}},
	{name: "bad_config", planned: true, count: interval{1, 4}, gap: interval{0.3, 1.5}, variants: append([]string{""}, invalidChanges...)},
	{name: "retire", planned: true, duration: interval{5, 9}, variants: []string{"", "wipe"}},
	{name: "ack_lost", duration: interval{3, 15}, strength: interval{0.3, 0.9}},
	{name: "evacuate", planned: true, target: targetZone, duration: interval{3, 8}, variants: []string{"", "warm"}},
	{name: "srv_crash", target: targetRunners, share: interval{0.1, 0.3}, duration: interval{2, 6}, variants: []string{"", "dark", "gone"}},
	{name: "srv_slow", target: targetRunners, share: interval{0.1, 0.3}, duration: interval{2, 6}, strength: interval{2, 6}},
	{name: "srv_grey", target: targetRunners, share: interval{0.1, 0.3}, duration: interval{2, 8}, strength: interval{0.2, 0.6}, variants: greyFailureVariants},
	{name: "srv_lying_health", target: targetRunners, share: interval{0.1, 0.3}, duration: interval{2, 6}, variants: []string{"errors", "hang", "reset", "bad"}},
	{name: "srv_flap", target: targetRunners, share: interval{0.1, 0.2}, duration: interval{3, 8}, gap: interval{0.5, 2}},
	{name: "replace_with_reuse", target: targetRunners, share: interval{0.1, 0.25}, variants: []string{"", "drain", "dark"}},
	{name: "scale_out", planned: true, target: targetRunners, share: interval{0.1, 0.4}, gap: interval{0.5, 3}},
	{name: "scale_in", planned: true, target: targetRunners, share: interval{0.1, 0.25}, strength: interval{1, 3}, variants: []string{"", "spot"}},
	{name: "cold_return", target: targetZone, duration: interval{2, 5}, variants: []string{"", "dark"}},
	{name: "idle_race", target: targetRunners, share: interval{0.3, 0.7}, duration: interval{3, 8}, strength: interval{100, 500}},
}

// findKind finds a kind by its name.
func findKind(name string) (kind, bool) {
	position := slices.IndexFunc(allKinds, func(candidate kind) bool { return candidate.name == name })
	if position < 0 {
		return kind{}, false
	}
	return allKinds[position], true
}

// kindLine matches the line of one kind in the bench's list.
var kindLine = regexp.MustCompile(`^([a-z_]+): `)

// parseKinds reads from the bench's list which kinds a site may have. A kind that allKinds lacks
// is an error, so that none is left out unnoticed.
func parseKinds(printed string) ([]kind, error) {
	var found []kind
	lines := bufio.NewScanner(strings.NewReader(printed))
	for lines.Scan() {
		match := kindLine.FindStringSubmatch(lines.Text())
		if match == nil {
			continue
		}
		known, ok := findKind(match[1])
		if !ok {
			return nil, fmt.Errorf("the site has kind %q, which this program lacks: add it to kinds.go", match[1])
		}
		found = append(found, known)
	}
	if len(found) == 0 {
		return nil, errors.New("the bench lists no kind: check its path and version")
	}
	return found, lines.Err()
}
