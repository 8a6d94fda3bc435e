// Command faults starts a deployment as real processes and injects a seeded sequence of faults
// while the load generator checks its rules. With --outage it ends with a total outage.
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
	Mix        string        `arg:"--mix" help:"load mix: trial, agency or logistics [default: the deployment's]"`
	Programs   string        `arg:"--programs" help:"folder of the programs [default: that of this program]"`
	Duration   time.Duration `arg:"--duration" default:"60s"`
	Seed       uint64        `arg:"--seed" default:"1"`
	Fault      string        `arg:"--fault" help:"inject only this fault, repeatedly"`
	Each       bool          `arg:"--each" help:"inject every fault once, in random order, regardless of --duration; with --outage, fail if a rule was not tested"`
	Pairs      bool          `arg:"--pairs" help:"sometimes inject two faults at once"`
	Outage     bool          `arg:"--outage" help:"end with a total outage, after which some machines stay down"`
}

// requiredRules must each be checked at least once in a run with --each and --outage.
var requiredRules = []string{"leaving", "emptied", "cold", "config obeyed", "config read back", "two operators", "crowd", "outage", "turns stay known"}

var errUsage = errors.New("invalid option")

// injectedFault is the report of one injected fault.
type injectedFault struct {
	Fault  string `json:"fault"`
	At     string `json:"at"`
	Took   string `json:"took"`
	Failed string `json:"failed,omitempty"`
}

func main() {
	var opts options
	arg.MustParse(&opts)
	switch err := run(opts); {
	case errors.Is(err, errUsage):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// validate sets the default mix and checks the names of the deployment, the mix and the fault.
func validate(opts *options) error {
	if opts.Mix == "" {
		opts.Mix = opts.Deployment
	}
	if _, found := fleet.Deployments[opts.Deployment]; !found {
		return fmt.Errorf("%w: unknown deployment %q; use one of %s", errUsage, opts.Deployment, strings.Join(slices.Sorted(maps.Keys(fleet.Deployments)), ", "))
	}
	if _, found := loadgen.Mixes[opts.Mix]; !found {
		return fmt.Errorf("%w: unknown mix %q; use one of %s", errUsage, opts.Mix, strings.Join(slices.Sorted(maps.Keys(loadgen.Mixes)), ", "))
	}
	names := []string{}
	for _, fault := range fleet.Faults {
		names = append(names, fault.Name)
	}
	if opts.Fault != "" && !slices.Contains(names, opts.Fault) {
		return fmt.Errorf("%w: unknown fault %q; use one of %s", errUsage, opts.Fault, strings.Join(names, ", "))
	}
	return nil
}

func run(opts options) error {
	if err := validate(&opts); err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(opts.Seed, 8))
	script := planScript(opts, random)
	if opts.Each {
		opts.Duration = 15 * time.Minute // an upper bound; the load stops when the script ends
	}
	ctx, cancel := context.WithTimeout(context.Background(), opts.Duration+4*time.Minute)
	defer cancel()
	running, err := fleet.Launch(ctx, opts.Deployment, opts.Programs, "", true)
	if err != nil {
		return err
	}
	defer running.Stop()
	reports := make(chan *loadgen.Report, 1)
	loadCtx, cancelLoad := context.WithCancel(ctx)
	defer cancelLoad()
	scriptDone := make(chan struct{})
	go func() {
		reports <- loadgen.Run(loadCtx, running.Target(), loadgen.Mixes[opts.Mix], opts.Duration, opts.Seed, scriptDone)
	}()
	injected := injectFaults(ctx, running, script, random, opts)
	if opts.Each {
		close(scriptDone)
	}
	report := <-reports
	running.CheckConfig(ctx)
	output := map[string]any{"report": report, "script": injected}
	if opts.Outage {
		before, beforeErr := loadgen.QuotaUsage(ctx, running.Target(), "tight")
		missing, took, err := running.TotalOutage(ctx, rand.New(rand.NewPCG(opts.Seed, 9)))
		output["outage"] = map[string]any{"missing": missing, "took": took.String()}
		running.Checks.Check("outage", err == nil, "%v", err)
		revisit := loadgen.Revisit(ctx, running.Target(), report.ToRevisit, opts.Seed)
		report.Violations = append(report.Violations, revisit.Violations...)
		running.Checks.Check("turns stay known", len(revisit.Violations) == 0 && revisit.Histories > 0, "%d histories, %v", revisit.Histories, revisit.Violations)
		after, afterErr := loadgen.QuotaUsage(ctx, running.Target(), "tight")
		running.Checks.Check("allowance", errors.Join(beforeErr, afterErr) == nil && after >= before, "the quota usage was %d before the outage and is %d after it (errors: %v, %v)", before, after, beforeErr, afterErr)
		output["revisited"] = revisit.Histories
		running.CheckConfig(ctx)
	}
	report.Violations = append(report.Violations, running.Panics()...)
	report.Violations = append(report.Violations, running.Checks.Violations...)
	output["judged"] = running.Checks.Checked
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", " ")
	if err := encoder.Encode(output); err != nil {
		return err
	}
	if untested := running.Checks.Untested(requiredRules); opts.Each && opts.Outage && len(untested) > 0 {
		return fmt.Errorf("rules that were never checked: %s (logs are in %s)", strings.Join(untested, ", "), running.Folder)
	}
	return running.CheckReport(report)
}

// planScript returns all faults in random order for --each, and nil for a run that selects faults
// at random until the time is over.
func planScript(opts options, random *rand.Rand) []fleet.Fault {
	if !opts.Each {
		return nil
	}
	script := slices.Clone(fleet.Faults)
	random.Shuffle(len(script), func(i, j int) { script[i], script[j] = script[j], script[i] })
	return script
}

// injectFaults injects one fault after another, with pauses between them, until the script or the
// time is over. With --pairs, it combines some of them with a fault of another target.
func injectFaults(ctx context.Context, target *fleet.Fleet, script []fleet.Fault, random *rand.Rand, opts options) []injectedFault {
	began := time.Now()
	var mutex sync.Mutex
	injected := []injectedFault{}
	inject := func(fault fleet.Fault, seed uint64) {
		at := time.Now()
		err := fault.Inject(ctx, target, rand.New(rand.NewPCG(seed, 1)))
		result := injectedFault{Fault: fault.Name, At: at.Sub(began).Round(time.Millisecond).String(), Took: time.Since(at).Round(time.Millisecond).String()}
		if err != nil {
			result.Failed = err.Error()
		}
		fmt.Fprintf(os.Stderr, "%s %s took %s %s\n", result.At, result.Fault, result.Took, result.Failed)
		mutex.Lock()
		injected = append(injected, result)
		mutex.Unlock()
	}
	for position := 0; ; position++ {
		rest := time.Duration(1000+random.IntN(2000)) * time.Millisecond
		if (opts.Each && position == len(script)) || (!opts.Each && time.Since(began)+rest+8*time.Second > opts.Duration) {
			return injected
		}
		<-time.After(rest)
		fault := fleet.Faults[random.IntN(len(fleet.Faults))]
		if opts.Each {
			fault = script[position]
		}
		if opts.Fault != "" {
			fault = fleet.Faults[slices.IndexFunc(fleet.Faults, func(candidate fleet.Fault) bool { return candidate.Name == opts.Fault })]
		}
		var pending sync.WaitGroup
		pending.Go(func() { inject(fault, opts.Seed*1000+uint64(position)) })
		if second := fleet.Faults[random.IntN(len(fleet.Faults))]; opts.Pairs && random.IntN(3) == 0 && second.Target != fault.Target {
			pending.Go(func() { inject(second, opts.Seed*1000+500+uint64(position)) })
		}
		pending.Wait()
	}
}
