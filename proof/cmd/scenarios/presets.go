package main

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

const (
	// finalFaultNone asks for no final fault, finalFaultAny for one of any kind.
	finalFaultNone = "none"
	finalFaultAny  = "any"
	// historyEntries changes of the configuration, one every historyGap seconds, make a long
	// history.
	historyEntries = 300
	historyGap     = 0.1
	// longCut is how long a control machine is partitioned, in seconds.
	longCut = 20.0
	// parallelRequests are admin requests in flight at once, as many as the pages allow.
	parallelRequests = 8
	// randomPerMinute is the number of entries a minute of a random scenario, at intensity 1.
	randomPerMinute = 20.0
)

// scenarioParameters say which scenario is to be generated.
type scenarioParameters struct {
	preset    string
	seed      uint64
	intensity float64 // multiple of the usual number of entries
	closing   string  // kind of the final fault, finalFaultNone or finalFaultAny
}

// preset is one sort of scenario.
type preset struct {
	name string
	// minLength is the least length in seconds that the scenario needs; 0: any.
	minLength float64
	// generate adds the entries, by the intensity.
	generate func(generator *generator, scenario *scenario, intensity float64)
}

// presets are all sorts of scenarios: all kinds at random, and one for each of the five points
// at which control planes of this kind have failed.
var presets = []preset{
	{name: "random", generate: generateRandom},
	{name: "cut", generate: generateCut},
	{name: "race", generate: generateRace},
	{name: "secondloss", generate: generateSecondLoss},
	{name: "history", minLength: 60, generate: generateHistory},
	{name: "answers", generate: generateAnswers},
}

// findPreset finds a preset by its name.
func findPreset(name string) (preset, error) {
	position := slices.IndexFunc(presets, func(candidate preset) bool { return candidate.name == name })
	if position < 0 {
		return preset{}, fmt.Errorf("no preset %q; use all, or one of %s", name, strings.Join(presetNames("all"), ", "))
	}
	return presets[position], nil
}

// generateScenario generates one scenario; the same parameters for the same site and kinds give
// the same scenario.
func generateScenario(target site, kinds []kind, parameters scenarioParameters) (scenario, error) {
	chosen, err := findPreset(parameters.preset)
	if err != nil {
		return scenario{}, err
	}
	if target.Length < chosen.minLength {
		return scenario{}, fmt.Errorf("preset %s needs a day of %g s, the site's has %g", chosen.name, chosen.minLength, target.Length)
	}
	generator := newGenerator(target, kinds, parameters.seed)
	generated := scenario{
		Name:   fmt.Sprintf("%s-%d", parameters.preset, parameters.seed),
		Slot:   "trouble",
		Seed:   parameters.seed,
		Plan:   []entry{},
		Faults: []entry{},
	}
	chosen.generate(generator, &generated, parameters.intensity)
	if generated.Closing, err = generator.finalFault(parameters.closing); err != nil {
		return scenario{}, err
	}
	generated.sortByTime()
	return generated, nil
}

// randomTime draws a time, not too near the end of the scenario.
func (generator *generator) randomTime() float64 {
	return generator.uniform(1, generator.site.Length-4)
}

// configChange draws a change of the configuration.
func (generator *generator) configChange(at float64) entry {
	return entry{At: roundHundredth(at), Kind: "config_change", How: pick(generator, configChanges)}
}

// configRace is a burst of pairs of changes, each pair on one version.
func configRace(at float64, count int, gap float64) entry {
	return entry{At: roundHundredth(at), Kind: "config_race", Count: count, Gap: gap}
}

// scaled multiplies a count by the intensity; the result is 1 at least.
func scaled(count, intensity float64) int {
	return max(1, int(math.Round(count*intensity)))
}

// generateRandom draws entries of all kinds of the site at any time; they may repeat and overlap.
func generateRandom(generator *generator, scenario *scenario, intensity float64) {
	count := scaled(randomPerMinute*generator.site.Length/60, intensity)
	for range count {
		scenario.add(generator.entryOfKind(pick(generator, generator.kinds), generator.randomTime()))
	}
}

// generateCut partitions a control machine for twenty seconds, while changes and races go on and
// acknowledgements may be lost; a shorter partition of another may follow.
func generateCut(generator *generator, scenario *scenario, intensity float64) {
	start := generator.uniform(2, 6)
	how := joinWords(
		pick(generator, []string{"leader", "leader", "reader", "seed", ""}),
		pick(generator, cutVariants),
		pick(generator, concurrentEvents),
	)
	scenario.add(entry{At: start, Kind: "core_cut", On: classCore, Count: 1, For: longCut, How: how})
	for range scaled(10, intensity) {
		scenario.add(generator.configChange(generator.uniform(start, start+longCut+2)))
	}
	for range scaled(2, intensity) {
		scenario.add(configRace(generator.uniform(start, start+longCut-3), 2+generator.random.IntN(4), generator.uniform(0.3, 1.5)))
	}
	if generator.chance(0.5) {
		scenario.add(entry{At: start, Kind: "ack_lost", For: longCut, X: generator.uniform(0.3, 0.8)})
	}
	if generator.chance(0.5) {
		evacuation, _ := findKind("evacuate")
		scenario.add(generator.entryOfKind(evacuation, generator.uniform(start, start+longCut-8)))
	}
	if generator.chance(0.6) {
		again, _ := findKind("core_cut")
		scenario.add(generator.entryOfKind(again, start+longCut+generator.uniform(0, 4)))
	}
}

// generateRace has bursts of pairs of changes on one version, eight admin requests at one time
// and lost acknowledgements, while the leader is struck.
func generateRace(generator *generator, scenario *scenario, intensity float64) {
	for range scaled(3, intensity) {
		at := generator.randomTime()
		scenario.add(configRace(at, 6+generator.random.IntN(6), generator.uniform(0.15, 0.6)))
		scenario.add(entry{At: roundHundredth(max(0.5, at-0.5)), Kind: "ack_lost", For: generator.uniform(3, 8), X: generator.uniform(0.4, 0.9)})
	}
	for range scaled(2, intensity) {
		at := generator.randomTime()
		for range parallelRequests - 1 {
			scenario.add(generator.configChange(at))
		}
		scenario.add(entry{At: roundHundredth(at), Kind: "evacuate", Zone: generator.zone(), For: generator.uniform(3, 6)})
	}
	struck := []entry{
		{Kind: "node_kill", On: classCore, Count: 1, For: 2, How: "leader race hard"},
		{Kind: "node_kill", On: classCore, Count: 1, For: 2.5, How: "power leader meet"},
		{Kind: "node_freeze", On: classCore, Count: 1, For: 3, How: "leader race"},
		{Kind: "core_cut", On: classCore, Count: 1, For: 4, How: "leader race hard"},
		{Kind: "core_cut", On: classCore, Count: 1, For: 3, How: "leader one_way race"},
		{Kind: "disk_stall", On: classCore, Count: 1, For: 2},
	}
	for range scaled(2, intensity) {
		strike := pick(generator, struck)
		strike.At = generator.randomTime()
		scenario.add(strike)
	}
	scenario.add(entry{At: generator.randomTime(), Kind: "bad_config", Count: 4, Gap: 0.4})
}

// losses are the ways in which a counted machine may be lost.
var losses = []entry{
	{Kind: "replace_core", X: 0.5},
	{Kind: "replace_core", X: 2},
	{Kind: "replace_core", How: "planned", X: 1},
	{Kind: "after_ack_wipe", Count: 1, For: 1},
	{Kind: "after_ack_wipe", Count: 1, For: 2, How: "taken"},
	{Kind: "after_ack_kill", Count: 1, For: 1.5},
	{Kind: "node_kill", Count: 1, For: 1.5, How: "power leader"},
	{Kind: "node_kill", Count: 1, For: 1.5, How: "leader"},
	{Kind: "core_cut", Count: 1, For: 3, How: "leader"},
	{Kind: "node_freeze", Count: 1, For: 2.5, How: "leader"},
	{Kind: "retire", For: 6, How: "wipe"},
}

// generateSecondLoss has loss after loss. Each is set for the time at which the one before no
// longer counts, or earlier: then the bench holds it back until that time.
func generateSecondLoss(generator *generator, scenario *scenario, intensity float64) {
	// A store can be retired only if another has joined.
	scenario.add(entry{At: 0.5, Kind: "add_nodes", On: classStore, Count: 1})
	at := generator.uniform(1, 3)
	class := pick(generator, []string{classCore, classStore})
	for at < generator.site.Length-3 {
		loss := pick(generator, losses)
		loss.At = roundHundredth(at)
		if loss.Kind != "retire" {
			loss.On = class
		}
		scenario.add(loss)
		scenario.add(generator.configChange(at + generator.uniform(0, 2)))
		if generator.chance(0.3) {
			class = pick(generator, []string{classCore, classStore})
		}
		wait := max(loss.For, loss.X) + generator.site.Timing.CatchUp
		if generator.chance(0.5) {
			wait = generator.uniform(loss.For, wait)
		}
		at += (wait + generator.uniform(0, 0.3)) / max(intensity, 0.1)
	}
}

// generateHistory has hundreds of changes, then kills, wipes and losses of power, so that
// control nodes come back far behind and must read a long history.
func generateHistory(generator *generator, scenario *scenario, intensity float64) {
	changes := scaled(historyEntries, intensity)
	for number := range changes {
		scenario.add(generator.configChange(1 + float64(number)*historyGap))
	}
	at := 1 + float64(changes)*historyGap
	strikes := []entry{
		{Kind: "node_kill", On: classCore, Count: 1, For: 1.5, How: "leader race"},
		{Kind: "after_ack_wipe", On: classCore, Count: 1, For: 1},
		{Kind: "node_kill", On: classCore, Count: 1, For: 2, How: "power leader meet"},
		{Kind: "replace_core", On: classCore, X: 1},
		{Kind: "after_ack_wipe", On: classStore, Count: 1, For: 1},
		{Kind: "herd_kill", On: classCore, For: 1},
	}
	generator.random.Shuffle(len(strikes), func(left, right int) {
		strikes[left], strikes[right] = strikes[right], strikes[left]
	})
	scenario.add(entry{At: roundHundredth(at / 2), Kind: "node_kill", On: classCore, Count: 1, For: 6, How: "power"})
	for _, strike := range strikes {
		if at >= generator.site.Length-3 {
			break
		}
		strike.At = roundHundredth(at)
		scenario.add(strike)
		at += generator.uniform(4, generator.site.Timing.CatchUp+3)
	}
}

// answerKinds are the kinds that may mix up responses or tempt to send a request twice.
var answerKinds = []string{
	"answer_lost", "garble", "srv_grey", "reset_conns", "srv_crash", "replace_with_reuse",
	"node_kill", "node_freeze", "roll_term", "burst", "release", "node_cut", "scale_in", "idle_race",
}

// generateAnswers has lost, doubled, late and truncated responses, timeouts and resets at runners
// and fronts, which mostly overlap.
func generateAnswers(generator *generator, scenario *scenario, intensity float64) {
	known := slices.DeleteFunc(slices.Clone(generator.kinds), func(candidate kind) bool {
		return !slices.Contains(answerKinds, candidate.name)
	})
	for range scaled(0.4*generator.site.Length, intensity) {
		made := generator.entryOfKind(pick(generator, known), generator.randomTime())
		if made.On != "" {
			made.On = classFront
		}
		scenario.add(made)
	}
}
