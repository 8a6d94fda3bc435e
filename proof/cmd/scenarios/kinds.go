package main

import (
	"bufio"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// interval is the closed range from which a numeric field of an entry is drawn.
type interval struct {
	low, high float64
}

// isSet reports whether the field is drawn; otherwise it stays empty.
func (bounds interval) isSet() bool {
	return bounds.high > 0
}

// targetType is what the entries of a kind affect.
type targetType int

const (
	// The zero value selects nothing: the entry affects the whole deployment.
	_ targetType = iota
	// targetMachines affects machines of the system, of the class in MachineClass.
	targetMachines
	// targetStatefulMachines affects machines with a disk: MachineClass is core or store.
	targetStatefulMachines
	// targetRunners affects the runners of one service.
	targetRunners
	// targetZone affects a whole zone.
	targetZone
	// targetClients affects the clients of one zone or of one request class.
	targetClients
)

// kind describes one kind of fault or planned work: the fields of its entries and the ranges from
// which they are drawn.
type kind struct {
	name     string
	planned  bool
	target   targetType
	duration interval
	gap      interval
	share    interval
	count    interval
	strength interval
	// modes are the possible values of Mode; an empty one omits the field.
	modes []string
	// selectsMachine: the mode may also have a machine selector and concurrent events.
	selectsMachine bool
	// mayInterruptResponses: the mode may also stop machines in the middle of responses.
	mayInterruptResponses bool
}

var (
	// machineSelectors select the affected machine.
	machineSelectors = []string{"", "leader", "reader", "seed"}
	// concurrentEvents happen to the selected machine at the same time.
	concurrentEvents = []string{"", "meet", "race", "race hard", "drain", "meet drain", "race drain hard"}
	// configChanges are the modes of config_change.
	configChanges = []string{"route", "weights", "timeout", "tenant", "quota", "idle"}
	// invalidConfigs are the modes of bad_config: ways in which a configuration is invalid.
	invalidConfigs = []string{
		"cut_short", "unknown_service", "same_place", "no_weight", "no_timeout",
		"old_version", "same_version", "stale_match", "shared_key",
	}
	// greyFailureModes are the ways in which a runner fails while it passes its health checks.
	greyFailureModes = []string{"errors", "shed", "busy", "hang", "reset", "mute", "slow", "errors one_zone", "hang one_zone"}
	// partitionModes are the ways in which stateful machines are partitioned.
	partitionModes = []string{"", "one_way", "reset", "refuse", "seeds", "both"}
)

// allKinds are the kinds that the bench supports for the current sites.
var allKinds = []kind{
	{name: "burst", target: targetClients, duration: interval{2, 5}, strength: interval{1.3, 2.3}},
	{name: "release", planned: true, target: targetRunners, share: interval{0.2, 0.6}, strength: interval{1, 2}, gap: interval{0.4, 1.5}},
	{name: "answer_lost", target: targetRunners, share: interval{0.3, 1}, strength: interval{0.02, 0.1}, duration: interval{2, 8}, modes: []string{"", "reset"}},
	{name: "garble", target: targetRunners, share: interval{0.3, 1}, strength: interval{0.01, 0.06}, duration: interval{2, 8}, modes: []string{"", "extra", "extra late"}},
	{name: "node_kill", target: targetMachines, share: interval{0.1, 0.3}, duration: interval{1, 4}, modes: []string{"", "power"}, selectsMachine: true},
	{name: "node_freeze", target: targetMachines, share: interval{0.1, 0.3}, duration: interval{1, 5}, selectsMachine: true},
	{name: "node_slow", target: targetMachines, share: interval{0.1, 0.3}, duration: interval{2, 6}, strength: interval{2, 8}, selectsMachine: true},
	{name: "herd_kill", target: targetMachines, share: interval{0.3, 1}, duration: interval{0.5, 2}, modes: []string{"", "power", "taken"}},
	{name: "roll_term", planned: true, target: targetMachines, share: interval{0.3, 1}, strength: interval{1, 2}, gap: interval{0.8, 2}, modes: []string{"", "remove"}, mayInterruptResponses: true},
	{name: "add_nodes", planned: true, target: targetMachines, count: interval{1, 2}},
	{name: "replace_core", target: targetStatefulMachines, strength: interval{0.5, 3}, modes: []string{"", "planned"}},
	{name: "seed_turnover", planned: true},
	{name: "after_ack_kill", target: targetStatefulMachines, count: interval{1, 2}, duration: interval{1, 4}, modes: []string{"", "kill", "timed", "taken"}},
	{name: "after_ack_wipe", target: targetStatefulMachines, count: interval{1, 2}, duration: interval{1, 4}, modes: []string{"", "timed", "taken"}},
	{name: "disk_slow", target: targetStatefulMachines, count: interval{1, 2}, duration: interval{2, 6}, strength: interval{10, 40}},
	{name: "disk_full", target: targetStatefulMachines, count: interval{1, 2}, duration: interval{2, 6}},
	{name: "disk_stall", target: targetStatefulMachines, count: interval{1, 2}, duration: interval{1, 5}},
	{name: "clock_step", target: targetMachines, share: interval{0.2, 0.6}, duration: interval{2, 8}, strength: interval{500, 20000}, modes: []string{"back", "ahead"}},
	{name: "hup", planned: true, target: targetMachines, share: interval{0.3, 1}, gap: interval{0.5, 2}},
	{name: "reset_conns", target: targetMachines, share: interval{0.1, 0.6}, strength: interval{0.3, 1}},
	{name: "zone_loss", target: targetZone, duration: interval{2, 5}},
	{name: "zone_cut", target: targetZone, duration: interval{2, 6}},
	{name: "node_cut", target: targetMachines, share: interval{0.1, 0.3}, duration: interval{2, 6}, modes: []string{"", "servers"}},
	{name: "core_cut", target: targetStatefulMachines, count: interval{1, 1}, duration: interval{2, 20}, modes: partitionModes, selectsMachine: true},
	{name: "config_change", planned: true, modes: configChanges},
	{name: "config_race", planned: true, count: interval{1, 6}, gap: interval{0.3, 1.5}},
	{name: "bad_config", planned: true, count: interval{1, 4}, gap: interval{0.3, 1.5}, modes: append([]string{""}, invalidConfigs...)},
	{name: "retire", planned: true, duration: interval{5, 9}, modes: []string{"", "wipe"}},
	{name: "ack_lost", duration: interval{3, 15}, strength: interval{0.3, 0.9}},
	{name: "evacuate", planned: true, target: targetZone, duration: interval{3, 8}, modes: []string{"", "warm"}},
	{name: "srv_crash", target: targetRunners, share: interval{0.1, 0.3}, duration: interval{2, 6}, modes: []string{"", "dark", "gone"}},
	{name: "srv_slow", target: targetRunners, share: interval{0.1, 0.3}, duration: interval{2, 6}, strength: interval{2, 6}},
	{name: "srv_grey", target: targetRunners, share: interval{0.1, 0.3}, duration: interval{2, 8}, strength: interval{0.2, 0.6}, modes: greyFailureModes},
	{name: "srv_lying_health", target: targetRunners, share: interval{0.1, 0.3}, duration: interval{2, 6}, modes: []string{"errors", "hang", "reset", "bad"}},
	{name: "srv_flap", target: targetRunners, share: interval{0.1, 0.2}, duration: interval{3, 8}, gap: interval{0.5, 2}},
	{name: "replace_with_reuse", target: targetRunners, share: interval{0.1, 0.25}, modes: []string{"", "drain", "dark"}},
	{name: "scale_out", planned: true, target: targetRunners, share: interval{0.1, 0.4}, gap: interval{0.5, 3}},
	{name: "scale_in", planned: true, target: targetRunners, share: interval{0.1, 0.25}, strength: interval{1, 3}, modes: []string{"", "spot"}},
	{name: "cold_return", target: targetZone, duration: interval{2, 5}, modes: []string{"", "dark"}},
	{name: "idle_race", target: targetRunners, share: interval{0.3, 0.7}, duration: interval{3, 8}, strength: interval{100, 500}},
}

// findKind looks up a kind by name.
func findKind(name string) (kind, bool) {
	index := slices.IndexFunc(allKinds, func(candidate kind) bool { return candidate.name == name })
	if index < 0 {
		return kind{}, false
	}
	return allKinds[index], true
}

// kindLine matches the line of a kind in the bench's listing.
var kindLine = regexp.MustCompile(`^([a-z_]+): `)

// parseKinds extracts the kinds that a site supports from the bench's listing. A kind missing from
// allKinds is an error, so that no kind is silently left untested.
func parseKinds(listing string) ([]kind, error) {
	var kinds []kind
	lines := bufio.NewScanner(strings.NewReader(listing))
	for lines.Scan() {
		match := kindLine.FindStringSubmatch(lines.Text())
		if match == nil {
			continue
		}
		kind, ok := findKind(match[1])
		if !ok {
			return nil, fmt.Errorf("the bench lists kind %q, which is not supported: add it to kinds.go", match[1])
		}
		kinds = append(kinds, kind)
	}
	if len(kinds) == 0 {
		return nil, errors.New("the bench lists no kinds: check its path and version")
	}
	return kinds, lines.Err()
}
