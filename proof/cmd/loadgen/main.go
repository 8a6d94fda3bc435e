// Command load starts a deployment as real processes, drives its callers' mix,
// checks every answer, prints a report, and fails if a rule was broken.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"yardrock.example/proof/fleet"
	"yardrock.example/proof/loadgen"
)

type options struct {
	Deployment string        `arg:"--deployment" default:"trial" help:"trial, agency or logistics"`
	Programs   string        `arg:"--programs" help:"folder of the programs [default: beside this one]"`
	Duration   time.Duration `arg:"--duration" default:"20s"`
	Seed       uint64        `arg:"--seed" default:"1"`
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
	ctx, cancel := context.WithTimeout(context.Background(), chosen.Duration+3*time.Minute)
	defer cancel()
	running, err := fleet.Launch(ctx, chosen.Deployment, chosen.Programs, "", false)
	if err != nil {
		return err
	}
	defer running.Stop()
	report := loadgen.Run(ctx, running.Target(), loadgen.Mixes[chosen.Deployment], chosen.Duration, chosen.Seed, nil)
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(report); err != nil {
		return err
	}
	return running.CheckReport(report)
}
