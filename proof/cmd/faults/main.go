// Command faults starts a deployment as real processes and strikes it by a seeded
// script, while the load generator checks every rule; it ends with a total outage.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/alexflint/go-arg"

	"yardrock.example/proof/fleet"
	"yardrock.example/proof/loadgen"
)

type options struct {
	Deployment string        `arg:"--deployment" default:"trial" help:"trial, agency or logistics"`
	Mix        string        `arg:"--mix" help:"callers' mix [default: the deployment's]"`
	Programs   string        `arg:"--programs" help:"folder of the programs [default: beside this one]"`
	Duration   time.Duration `arg:"--duration" default:"60s"`
	Seed       uint64        `arg:"--seed" default:"1"`
	Fault      string        `arg:"--fault" help:"only this fault, over and over"`
	Each       bool          `arg:"--each" help:"every fault once, in seeded order, as long as that takes; all rules must have been tested"`
	Pairs      bool          `arg:"--pairs" help:"now and then two faults at once"`
	Outage     bool          `arg:"--outage" help:"end with a total outage, some machines missing"`
}

// rules must all have had something to judge in a run with --each and --outage.
var rules = []string{"leaving", "emptied", "cold", "config obeyed", "config read back", "two operators", "crowd", "outage", "turns stay known"}

var errMisused = errors.New("wrong use")

type injectedFault struct {
	Fault  string `json:"fault"`
	At     string `json:"at"`
	Took   string `json:"took"`
	Failed string `json:"failed,omitempty"`
}

func main() {
	var chosen options
	arg.MustParse(&chosen)
	switch err := run(chosen); {
	case errors.Is(err, errMisused):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// check refuses what is not there, and says what is.
func check(chosen *options) error {
	if chosen.Mix == "" {
		chosen.Mix = chosen.Deployment
	}
	if _, found := fleet.Deployments[chosen.Deployment]; !found {
		return fmt.Errorf("%w: no deployment is named %q; use one of %s", errMisused, chosen.Deployment, strings.Join(slices.Sorted(maps.Keys(fleet.Deployments)), ", "))
	}
	if _, found := loadgen.Mixes[chosen.Mix]; !found {
		return fmt.Errorf("%w: no mix is named %q; use one of %s", errMisused, chosen.Mix, strings.Join(slices.Sorted(maps.Keys(loadgen.Mixes)), ", "))
	}
	names := []string{}
	for _, one := range fleet.Faults {
		names = append(names, one.Name)
	}
	if chosen.Fault != "" && !slices.Contains(names, chosen.Fault) {
		return fmt.Errorf("%w: no fault is named %q; use one of %s", errMisused, chosen.Fault, strings.Join(names, ", "))
	}
	return nil
}

func run(chosen options) error {
	if err := check(&chosen); err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(chosen.Seed, 8))
	script := plan(chosen, random)
	if chosen.Each {
		chosen.Duration = 15 * time.Minute // the script ends it
	}
	ctx, cancel := context.WithTimeout(context.Background(), chosen.Duration+4*time.Minute)
	defer cancel()
	running, err := fleet.Launch(ctx, chosen.Deployment, chosen.Programs, "", true)
	if err != nil {
		return err
	}
	defer running.Stop()
	reports := make(chan *loadgen.Report, 1)
	driving, stop := context.WithCancel(ctx)
	defer stop()
	until := make(chan struct{})
	go func() {
		reports <- loadgen.Run(driving, running.Target(), loadgen.Mixes[chosen.Mix], chosen.Duration, chosen.Seed, until)
	}()
	struck := injectFaults(ctx, running, script, random, chosen)
	if chosen.Each {
		close(until)
	}
	report := <-reports
	running.CheckConfig(ctx)
	reported := map[string]any{"report": report, "script": struck}
	if chosen.Outage {
		before, failed := loadgen.Quota(ctx, running.Target(), "tight")
		missing, took, err := running.TotalOutage(ctx, rand.New(rand.NewPCG(chosen.Seed, 9)))
		reported["outage"] = map[string]any{"missing": missing, "took": took.String()}
		running.Checks.Check("outage", err == nil, "%v", err)
		again := loadgen.Revisit(ctx, running.Target(), report.ToRevisit, chosen.Seed)
		report.Violations = append(report.Violations, again.Violations...)
		running.Checks.Check("turns stay known", len(again.Violations) == 0 && again.Histories > 0, "%d histories, %v", again.Histories, again.Violations)
		after, failedLater := loadgen.Quota(ctx, running.Target(), "tight")
		running.Checks.Check("allowance", errors.Join(failed, failedLater) == nil && after >= before, "the tally was %d before the outage, is %d (%v, %v)", before, after, failed, failedLater)
		reported["revisited"] = again.Histories
		running.CheckConfig(ctx)
	}
	report.Violations = append(report.Violations, running.Panics()...)
	report.Violations = append(report.Violations, running.Checks.Violations...)
	reported["judged"] = running.Checks.Checked
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", " ")
	if err := encoder.Encode(reported); err != nil {
		return err
	}
	if untested := running.Checks.Untested(rules); chosen.Each && chosen.Outage && len(untested) > 0 {
		return fmt.Errorf("not tested, as nothing was there to judge: %s (logs are in %s)", strings.Join(untested, ", "), running.Folder)
	}
	return running.CheckReport(report)
}

// plan draws the script; nil draws as long as the time lasts.
func plan(chosen options, random *rand.Rand) []fleet.Fault {
	if !chosen.Each {
		return nil
	}
	script := slices.Clone(fleet.Faults)
	random.Shuffle(len(script), func(left, right int) { script[left], script[right] = script[right], script[left] })
	return script
}

// injectFaults does one fault after another, with a rest between, until the script or the
// time is over; with pairs, a second that strikes elsewhere is done along with some.
func injectFaults(ctx context.Context, target *fleet.Fleet, script []fleet.Fault, random *rand.Rand, chosen options) []injectedFault {
	began := time.Now()
	var mutex sync.Mutex
	struck := []injectedFault{}
	do := func(one fleet.Fault, seed uint64) {
		at := time.Now()
		err := one.Inject(ctx, target, rand.New(rand.NewPCG(seed, 1)))
		noted := injectedFault{Fault: one.Name, At: at.Sub(began).Round(time.Millisecond).String(), Took: time.Since(at).Round(time.Millisecond).String()}
		if err != nil {
			noted.Failed = err.Error()
		}
		fmt.Fprintf(os.Stderr, "%s %s took %s %s\n", noted.At, noted.Fault, noted.Took, noted.Failed)
		mutex.Lock()
		struck = append(struck, noted)
		mutex.Unlock()
	}
	for position := 0; ; position++ {
		rest := time.Duration(1000+random.IntN(2000)) * time.Millisecond
		if (chosen.Each && position == len(script)) || (!chosen.Each && time.Since(began)+rest+8*time.Second > chosen.Duration) {
			return struck
		}
		<-time.After(rest)
		one := fleet.Faults[random.IntN(len(fleet.Faults))]
		if chosen.Each {
			one = script[position]
		}
		if chosen.Fault != "" {
			one = fleet.Faults[slices.IndexFunc(fleet.Faults, func(other fleet.Fault) bool { return other.Name == chosen.Fault })]
		}
		var both sync.WaitGroup
		both.Go(func() { do(one, chosen.Seed*1000+uint64(position)) })
		if other := fleet.Faults[random.IntN(len(fleet.Faults))]; chosen.Pairs && random.IntN(3) == 0 && other.Target != one.Target {
			both.Go(func() { do(other, chosen.Seed*1000+500+uint64(position)) })
		}
		both.Wait()
	}
}
