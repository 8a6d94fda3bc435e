package main

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
)

// finalFaults lists the faults that may end a scenario.
var finalFaults = []finalFault{
	{Kind: "power_off_all"},
	{Kind: "power_off_all", Mode: "all"},
	{Kind: "power_off_all", Mode: "timed"},
	{Kind: "power_off_all", Mode: "taken"},
	{Kind: "wipe_after_ack"},
	{Kind: "wipe_after_ack", Mode: "all"},
	{Kind: "wipe_after_ack", Mode: "timed"},
	{Kind: "wipe_after_ack", Mode: "taken"},
	{Kind: "kill_all"},
	{Kind: "kill_all", Mode: "timed"},
}

// generator draws random scenarios for one site. It is not safe for concurrent use.
type generator struct {
	site   site
	kinds  []kind
	random *rand.Rand
}

// newGenerator returns a generator whose scenarios depend only on the site, its kinds and the
// seed.
func newGenerator(site site, kinds []kind, seed uint64) *generator {
	name := fnv.New64a()
	name.Write([]byte(site.Name))
	return &generator{site: site, kinds: kinds, random: rand.New(rand.NewPCG(seed, name.Sum64()))}
}

// uniform draws a number between low and high, rounded to a hundredth.
func (generator *generator) uniform(low, high float64) float64 {
	return roundToHundredth(low + generator.random.Float64()*(high-low))
}

// fromInterval draws from an interval; it returns 0, which is not encoded, if it is not set.
func (generator *generator) fromInterval(bounds interval) float64 {
	if !bounds.isSet() {
		return 0
	}
	return generator.uniform(bounds.low, bounds.high)
}

// pick draws one of the values with equal probability.
func pick[Value any](generator *generator, values []Value) Value {
	return values[generator.random.IntN(len(values))]
}

// zone draws the name of a zone.
func (generator *generator) zone() string {
	return pick(generator, generator.site.Zones).Name
}

// chance returns true with the given probability.
func (generator *generator) chance(probability float64) bool {
	return generator.random.Float64() < probability
}

// entryOfKind draws an entry of a kind that starts at the given time.
func (generator *generator) entryOfKind(kind kind, at float64) entry {
	entry := entry{
		At:       roundToHundredth(at),
		Kind:     kind.name,
		Count:    int(math.Round(generator.fromInterval(kind.count))),
		Share:    generator.fromInterval(kind.share),
		Strength: generator.fromInterval(kind.strength),
		Duration: generator.fromInterval(kind.duration),
		Gap:      generator.fromInterval(kind.gap),
	}
	generator.setTarget(kind, &entry)
	entry.Mode = generator.mode(kind)
	if strings.HasSuffix(entry.Mode, "one_zone") {
		entry.ToZone = generator.zone()
	}
	return entry
}

// setTarget draws the target of an entry; the bench chooses what remains empty.
func (generator *generator) setTarget(kind kind, entry *entry) {
	switch kind.target {
	case targetMachines:
		entry.MachineClass = pick(generator, []string{"", classFront, classStore, classCore, classCore})
	case targetStatefulMachines:
		entry.MachineClass = pick(generator, []string{"", classCore, classStore})
	case targetRunners:
		if generator.chance(0.8) {
			entry.Service = pick(generator, generator.site.Services).Name
		}
	case targetZone:
		entry.Zone = generator.zone()
	case targetClients:
		if generator.chance(0.5) {
			entry.Zone = generator.zone()
		} else {
			entry.RequestClass = pick(generator, generator.site.Classes).Name
		}
	}
}

// mode draws the mode of an entry of a kind.
func (generator *generator) mode(kind kind) string {
	mode := ""
	if len(kind.modes) > 0 {
		mode = pick(generator, kind.modes)
	}
	if kind.selectsMachine {
		mode = joinWords(mode, pick(generator, machineSelectors), pick(generator, concurrentEvents))
	}
	if kind.mayInterruptResponses && generator.chance(0.5) {
		mode = joinWords(mode, "busy")
	}
	return mode
}

// finalFault draws the fault that ends a scenario. It returns nil for finalFaultNone.
func (generator *generator) finalFault(requested string) (*finalFault, error) {
	if requested == finalFaultNone {
		return nil, nil
	}
	candidates := slices.DeleteFunc(slices.Clone(finalFaults), func(candidate finalFault) bool {
		return requested != finalFaultAny && candidate.Kind != requested
	})
	if len(candidates) == 0 {
		return nil, fmt.Errorf("unknown final fault %q; use none, any or a kind that the bench lists", requested)
	}
	fault := pick(generator, candidates)
	fault.Down = generator.uniform(0.5, 1.8)
	return &fault, nil
}

// joinWords joins the non-empty words with spaces.
func joinWords(words ...string) string {
	joined := ""
	for _, word := range words {
		if word == "" {
			continue
		}
		if joined != "" {
			joined += " "
		}
		joined += word
	}
	return joined
}

// roundToHundredth rounds to the precision of scenario files.
func roundToHundredth(value float64) float64 {
	return math.Round(value*100) / 100
}
