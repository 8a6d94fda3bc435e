package main

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

const (
	// finalFaultNone requests no final fault, finalFaultAny one of any kind.
	finalFaultNone = "none"
	finalFaultAny  = "any"
	// A history scenario has historyChanges configuration changes, one every historyGap seconds,
	// at intensity 1.
	historyChanges = 300
	historyGap     = 0.1
	// longPartition is the duration in seconds of a control node's long partition.
	longPartition = 20.0
	// parallelRequests is the number of concurrent admin requests, the documented maximum.
	parallelRequests = 8
	// randomEntriesPerMinute is the entry rate of a random scenario at intensity 1.
	randomEntriesPerMinute = 20.0
)

// scenarioParameters determine the scenario to generate.
type scenarioParameters struct {
	preset     string
	seed       uint64
	intensity  float64 // multiple of the default number of entries
	finalFault string  // kind of the final fault, finalFaultNone or finalFaultAny
}

// preset is a type of scenario.
type preset struct {
	name string
	// minLength is the minimum length of the site in seconds; 0: any.
	minLength float64
	// generate adds entries to the scenario; their number scales with the intensity.
	generate func(generator *generator, scenario *scenario, intensity float64)
}

// presets are all types of scenarios: random entries of all kinds, and one type for each of five
// known weaknesses of control planes.
var presets = []preset{
	{name: "random", generate: generateRandom},
	{name: "cut", generate: generatePartition},
	{name: "race", generate: generateRace},
	{name: "secondloss", generate: generateSecondLoss},
	{name: "history", minLength: 60, generate: generateHistory},
	{name: "answers", generate: generateResponseFaults},
}

// findPreset looks up a preset by name.
func findPreset(name string) (preset, error) {
	index := slices.IndexFunc(presets, func(candidate preset) bool { return candidate.name == name })
	if index < 0 {
		return preset{}, fmt.Errorf("unknown preset %q; use all, or one of %s", name, strings.Join(presetNames("all"), ", "))
	}
	return presets[index], nil
}

// generateScenario generates one scenario. The result depends only on the arguments.
func generateScenario(site site, kinds []kind, parameters scenarioParameters) (scenario, error) {
	preset, err := findPreset(parameters.preset)
	if err != nil {
		return scenario{}, err
	}
	if site.Length < preset.minLength {
		return scenario{}, fmt.Errorf("preset %s needs a length of at least %g s; the site has %g s", preset.name, preset.minLength, site.Length)
	}
	generator := newGenerator(site, kinds, parameters.seed)
	generated := scenario{
		Name:   fmt.Sprintf("%s-%d", parameters.preset, parameters.seed),
		Slot:   "trouble",
		Seed:   parameters.seed,
		Plan:   []entry{},
		Faults: []entry{},
	}
	preset.generate(generator, &generated, parameters.intensity)
	if generated.FinalFault, err = generator.finalFault(parameters.finalFault); err != nil {
		return scenario{}, err
	}
	generated.sortByTime()
	return generated, nil
}

// randomTime draws a start time that leaves time before the end of the scenario.
func (generator *generator) randomTime() float64 {
	return generator.uniform(1, generator.site.Length-4)
}

// configChange draws a configuration change.
func (generator *generator) configChange(at float64) entry {
	return entry{At: roundToHundredth(at), Kind: "config_change", Mode: pick(generator, configChanges)}
}

// configRace returns a burst of conflicting pairs of configuration changes, each pair based on
// the same version.
func configRace(at float64, count int, gap float64) entry {
	return entry{At: roundToHundredth(at), Kind: "config_race", Count: count, Gap: gap}
}

// scaledCount multiplies a count by the intensity; the result is at least 1.
func scaledCount(count, intensity float64) int {
	return max(1, int(math.Round(count*intensity)))
}

// generateRandom draws entries of all kinds of the site at random times; they may repeat and
// overlap.
func generateRandom(generator *generator, scenario *scenario, intensity float64) {
	count := scaledCount(randomEntriesPerMinute*generator.site.Length/60, intensity)
	for range count {
		scenario.add(generator.entryOfKind(pick(generator, generator.kinds), generator.randomTime()))
	}
}

// generatePartition partitions a control node for longPartition during configuration changes and
// races. Acknowledgements may be lost meanwhile, and a second partition may follow.
func generatePartition(generator *generator, scenario *scenario, intensity float64) {
	start := generator.uniform(2, 6)
	mode := joinWords(
		pick(generator, []string{"leader", "leader", "reader", "seed", ""}),
		pick(generator, partitionModes),
		pick(generator, concurrentEvents),
	)
	scenario.add(entry{At: start, Kind: "core_cut", MachineClass: classCore, Count: 1, Duration: longPartition, Mode: mode})
	for range scaledCount(10, intensity) {
		scenario.add(generator.configChange(generator.uniform(start, start+longPartition+2)))
	}
	for range scaledCount(2, intensity) {
		scenario.add(configRace(generator.uniform(start, start+longPartition-3), 2+generator.random.IntN(4), generator.uniform(0.3, 1.5)))
	}
	if generator.chance(0.5) {
		scenario.add(entry{At: start, Kind: "ack_lost", Duration: longPartition, Strength: generator.uniform(0.3, 0.8)})
	}
	if generator.chance(0.5) {
		evacuation, _ := findKind("evacuate")
		scenario.add(generator.entryOfKind(evacuation, generator.uniform(start, start+longPartition-8)))
	}
	if generator.chance(0.6) {
		partition, _ := findKind("core_cut")
		scenario.add(generator.entryOfKind(partition, start+longPartition+generator.uniform(0, 4)))
	}
}

// generateRace combines bursts of conflicting changes, parallelRequests concurrent admin requests
// and lost acknowledgements with faults of control nodes, mostly of the leader.
func generateRace(generator *generator, scenario *scenario, intensity float64) {
	for range scaledCount(3, intensity) {
		at := generator.randomTime()
		scenario.add(configRace(at, 6+generator.random.IntN(6), generator.uniform(0.15, 0.6)))
		scenario.add(entry{At: roundToHundredth(max(0.5, at-0.5)), Kind: "ack_lost", Duration: generator.uniform(3, 8), Strength: generator.uniform(0.4, 0.9)})
	}
	for range scaledCount(2, intensity) {
		at := generator.randomTime()
		for range parallelRequests - 1 {
			scenario.add(generator.configChange(at))
		}
		scenario.add(entry{At: roundToHundredth(at), Kind: "evacuate", Zone: generator.zone(), Duration: generator.uniform(3, 6)})
	}
	coreFaults := []entry{
		{Kind: "node_kill", MachineClass: classCore, Count: 1, Duration: 2, Mode: "leader race hard"},
		{Kind: "node_kill", MachineClass: classCore, Count: 1, Duration: 2.5, Mode: "power leader meet"},
		{Kind: "node_freeze", MachineClass: classCore, Count: 1, Duration: 3, Mode: "leader race"},
		{Kind: "core_cut", MachineClass: classCore, Count: 1, Duration: 4, Mode: "leader race hard"},
		{Kind: "core_cut", MachineClass: classCore, Count: 1, Duration: 3, Mode: "leader one_way race"},
		{Kind: "disk_stall", MachineClass: classCore, Count: 1, Duration: 2},
	}
	for range scaledCount(2, intensity) {
		fault := pick(generator, coreFaults)
		fault.At = generator.randomTime()
		scenario.add(fault)
	}
	scenario.add(entry{At: generator.randomTime(), Kind: "bad_config", Count: 4, Gap: 0.4})
}

// losses are the ways in which a stateful machine may be lost.
var losses = []entry{
	{Kind: "replace_core", Strength: 0.5},
	{Kind: "replace_core", Strength: 2},
	{Kind: "replace_core", Mode: "planned", Strength: 1},
	{Kind: "after_ack_wipe", Count: 1, Duration: 1},
	{Kind: "after_ack_wipe", Count: 1, Duration: 2, Mode: "taken"},
	{Kind: "after_ack_kill", Count: 1, Duration: 1.5},
	{Kind: "node_kill", Count: 1, Duration: 1.5, Mode: "power leader"},
	{Kind: "node_kill", Count: 1, Duration: 1.5, Mode: "leader"},
	{Kind: "core_cut", Count: 1, Duration: 3, Mode: "leader"},
	{Kind: "node_freeze", Count: 1, Duration: 2.5, Mode: "leader"},
	{Kind: "retire", Duration: 6, Mode: "wipe"},
}

// generateSecondLoss has a sequence of losses of stateful machines. Each is due when the system
// must have recovered from the previous one, or earlier; the bench then delays it until that time.
func generateSecondLoss(generator *generator, scenario *scenario, intensity float64) {
	// A store can only be retired after another one has joined.
	scenario.add(entry{At: 0.5, Kind: "add_nodes", MachineClass: classStore, Count: 1})
	at := generator.uniform(1, 3)
	class := pick(generator, []string{classCore, classStore})
	for at < generator.site.Length-3 {
		loss := pick(generator, losses)
		loss.At = roundToHundredth(at)
		if loss.Kind != "retire" {
			loss.MachineClass = class
		}
		scenario.add(loss)
		scenario.add(generator.configChange(at + generator.uniform(0, 2)))
		if generator.chance(0.3) {
			class = pick(generator, []string{classCore, classStore})
		}
		wait := max(loss.Duration, loss.Strength) + generator.site.Timing.CatchUp
		if generator.chance(0.5) {
			wait = generator.uniform(loss.Duration, wait)
		}
		at += (wait + generator.uniform(0, 0.3)) / max(intensity, 0.1)
	}
}

// generateHistory has hundreds of configuration changes followed by kills, wipes and power losses,
// so that control nodes restart far behind and must catch up on a long history.
func generateHistory(generator *generator, scenario *scenario, intensity float64) {
	changes := scaledCount(historyChanges, intensity)
	for number := range changes {
		scenario.add(generator.configChange(1 + float64(number)*historyGap))
	}
	at := 1 + float64(changes)*historyGap
	faults := []entry{
		{Kind: "node_kill", MachineClass: classCore, Count: 1, Duration: 1.5, Mode: "leader race"},
		{Kind: "after_ack_wipe", MachineClass: classCore, Count: 1, Duration: 1},
		{Kind: "node_kill", MachineClass: classCore, Count: 1, Duration: 2, Mode: "power leader meet"},
		{Kind: "replace_core", MachineClass: classCore, Strength: 1},
		{Kind: "after_ack_wipe", MachineClass: classStore, Count: 1, Duration: 1},
		{Kind: "herd_kill", MachineClass: classCore, Duration: 1},
	}
	generator.random.Shuffle(len(faults), func(left, right int) {
		faults[left], faults[right] = faults[right], faults[left]
	})
	scenario.add(entry{At: roundToHundredth(at / 2), Kind: "node_kill", MachineClass: classCore, Count: 1, Duration: 6, Mode: "power"})
	for _, fault := range faults {
		if at >= generator.site.Length-3 {
			break
		}
		fault.At = roundToHundredth(at)
		scenario.add(fault)
		at += generator.uniform(4, generator.site.Timing.CatchUp+3)
	}
}

// responseFaultKinds are the kinds that may mix up responses or provoke duplicate requests.
var responseFaultKinds = []string{
	"answer_lost", "garble", "srv_grey", "reset_conns", "srv_crash", "replace_with_reuse",
	"node_kill", "node_freeze", "roll_term", "burst", "release", "node_cut", "scale_in", "idle_race",
}

// generateResponseFaults has lost, duplicated, late and truncated responses, timeouts and resets
// at runners and fronts; most of them overlap.
func generateResponseFaults(generator *generator, scenario *scenario, intensity float64) {
	kinds := slices.DeleteFunc(slices.Clone(generator.kinds), func(candidate kind) bool {
		return !slices.Contains(responseFaultKinds, candidate.name)
	})
	for range scaledCount(0.4*generator.site.Length, intensity) {
		entry := generator.entryOfKind(pick(generator, kinds), generator.randomTime())
		if entry.MachineClass != "" {
			entry.MachineClass = classFront
		}
		scenario.add(entry)
	}
}
