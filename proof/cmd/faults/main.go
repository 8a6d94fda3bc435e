// Command faults starts a deployment as real processes and harms it by a seeded
// script, while the load program checks every rule.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"yardrock.example/proof/fleet"
	"yardrock.example/proof/load"
)

type options struct {
	Deployment string        `arg:"--deployment" default:"trial" help:"trial, agency or logistics"`
	Mix        string        `arg:"--mix" help:"callers' mix [default: the deployment's]"`
	Programs   string        `arg:"--programs" help:"folder of the programs [default: beside this one]"`
	Duration   time.Duration `arg:"--duration" default:"60s"`
	Seed       uint64        `arg:"--seed" default:"1"`
	Harm       string        `arg:"--harm" help:"only this fault, over and over"`
	Outage     bool          `arg:"--outage" help:"end with a total outage, one store missing"`
}

type done struct {
	Harm   string `json:"harm"`
	At     string `json:"at"`
	Took   string `json:"took"`
	Failed string `json:"failed,omitempty"`
}

func main() {
	var chosen options
	arg.MustParse(&chosen)
	if err := run(chosen); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(chosen options) error {
	if chosen.Mix == "" {
		chosen.Mix = chosen.Deployment
	}
	ctx, cancel := context.WithTimeout(context.Background(), chosen.Duration+2*time.Minute)
	defer cancel()
	running, err := fleet.Launch(ctx, chosen.Deployment, chosen.Programs, "")
	if err != nil {
		return err
	}
	defer running.Stop()
	reports := make(chan *load.Report, 1)
	go func() {
		reports <- load.Run(ctx, running.Target(), load.Mixes[chosen.Mix], chosen.Duration, chosen.Seed)
	}()
	script := harm(ctx, running, chosen)
	report := <-reports
	report.Broken = append(report.Broken, running.Panics()...)
	told := map[string]any{"report": report, "script": script}
	if chosen.Outage {
		took, err := running.Outage(ctx, rand.New(rand.NewPCG(chosen.Seed, 9)))
		told["outage"] = took.String()
		if err != nil || took > 12*time.Second {
			report.Broken = append(report.Broken, fmt.Sprintf("outage: serving after %s (%v)", took, err))
		}
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", " ")
	if err := encoder.Encode(told); err != nil {
		return err
	}
	return running.Judge(report)
}

// harm does one fault after another, with a rest between, until the time is over.
func harm(ctx context.Context, running *fleet.Fleet, chosen options) []done {
	random := rand.New(rand.NewPCG(chosen.Seed, 8))
	began := time.Now()
	script := []done{}
	for {
		rest := time.Duration(1000+random.IntN(2000)) * time.Millisecond
		if time.Since(began)+rest+8*time.Second > chosen.Duration {
			return script
		}
		<-time.After(rest)
		one := fleet.Harms[random.IntN(len(fleet.Harms))]
		if chosen.Harm != "" && one.Name != chosen.Harm {
			one = named(chosen.Harm)
		}
		at := time.Now()
		err := one.Do(ctx, running, random)
		noted := done{Harm: one.Name, At: at.Sub(began).Round(time.Millisecond).String(), Took: time.Since(at).Round(time.Millisecond).String()}
		if err != nil {
			noted.Failed = err.Error()
		}
		script = append(script, noted)
	}
}

func named(name string) fleet.Harm {
	for _, one := range fleet.Harms {
		if one.Name == name {
			return one
		}
	}
	fmt.Fprintf(os.Stderr, "no fault is named %q\n", name)
	os.Exit(2)
	return fleet.Harm{}
}
