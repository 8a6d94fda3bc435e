package main

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
)

// finalFaults are all ways in which a scenario may end with a fault.
var finalFaults = []finalFault{
	{Kind: "power_off_all"},
	{Kind: "power_off_all", How: "all"},
	{Kind: "power_off_all", How: "timed"},
	{Kind: "power_off_all", How: "taken"},
	{Kind: "wipe_after_ack"},
	{Kind: "wipe_after_ack", How: "all"},
	{Kind: "wipe_after_ack", How: "timed"},
	{Kind: "wipe_after_ack", How: "taken"},
	{Kind: "kill_all"},
	{Kind: "kill_all", How: "timed"},
}

// generator draws scenarios of one site at random. It is used by one goroutine.
type generator struct {
	site   site
	kinds  []kind
	random *rand.Rand
}

// newGenerator makes a generator whose scenarios depend on the site, its kinds and the seed alone.
func newGenerator(target site, kinds []kind, seed uint64) *generator {
	name := fnv.New64a()
	name.Write([]byte(target.Name))
	return &generator{site: target, kinds: kinds, random: rand.New(rand.NewPCG(seed, name.Sum64()))}
}

// uniform draws a number from low to high, rounded to a hundredth.
func (generator *generator) uniform(low, high float64) float64 {
	return roundHundredth(low + generator.random.Float64()*(high-low))
}

// fromInterval draws from an interval; one that is not set gives 0, which is left out.
func (generator *generator) fromInterval(bounds interval) float64 {
	if !bounds.isSet() {
		return 0
	}
	return generator.uniform(bounds.low, bounds.high)
}

// pick draws one of the values, each with the same probability.
func pick[Value any](generator *generator, values []Value) Value {
	return values[generator.random.IntN(len(values))]
}

// zone draws the name of a zone.
func (generator *generator) zone() string {
	return pick(generator, generator.site.Zones).Name
}

// chance is true with a probability.
func (generator *generator) chance(probability float64) bool {
	return generator.random.Float64() < probability
}

// entryOfKind draws an entry of a kind for a time.
func (generator *generator) entryOfKind(described kind, at float64) entry {
	made := entry{
		At:    roundHundredth(at),
		Kind:  described.name,
		Count: int(math.Round(generator.fromInterval(described.count))),
		Share: generator.fromInterval(described.share),
		X:     generator.fromInterval(described.strength),
		For:   generator.fromInterval(described.duration),
		Gap:   generator.fromInterval(described.gap),
	}
	generator.setTarget(described, &made)
	made.How = generator.variant(described)
	if strings.HasSuffix(made.How, "one_zone") {
		made.ToZone = generator.zone()
	}
	return made
}

// setTarget chooses what an entry strikes; an empty choice is left to the bench.
func (generator *generator) setTarget(described kind, entry *entry) {
	switch described.target {
	case targetMachines:
		entry.On = pick(generator, []string{"", classFront, classStore, classCore, classCore})
	case targetCountedMachines:
		entry.On = pick(generator, []string{"", classCore, classStore})
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
			entry.Class = pick(generator, generator.site.Classes).Name
		}
	}
}

// variant draws how an entry of a kind strikes.
func (generator *generator) variant(described kind) string {
	how := ""
	if len(described.variants) > 0 {
		how = pick(generator, described.variants)
	}
	if described.aimable {
		how = joinWords(how, pick(generator, machineSelectors), pick(generator, concurrentEvents))
	}
	if described.mayStopBusy && generator.chance(0.5) {
		how = joinWords(how, "busy")
	}
	return how
}

// finalFault draws the fault that ends a scenario: of a kind, of any kind, or nil for none.
func (generator *generator) finalFault(wanted string) (*finalFault, error) {
	if wanted == finalFaultNone {
		return nil, nil
	}
	fitting := slices.DeleteFunc(slices.Clone(finalFaults), func(candidate finalFault) bool {
		return wanted != finalFaultAny && candidate.Kind != wanted
	})
	if len(fitting) == 0 {
		return nil, fmt.Errorf("no closing fault %q; use none, any or a kind of the bench's list", wanted)
	}
	chosen := pick(generator, fitting)
	chosen.Down = generator.uniform(0.5, 1.8)
	return &chosen, nil
}

// joinWords joins the words that are not empty with spaces.
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

// roundHundredth rounds to a hundredth, as scenario files are written.
func roundHundredth(figure float64) float64 {
	return math.Round(figure*100) / 100
}
