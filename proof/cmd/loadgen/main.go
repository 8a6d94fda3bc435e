// Command loadgen starts a deployment as real processes, generates its load, checks every answer
// and prints a report as JSON. It fails if a rule was violated.
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
	Programs   string        `arg:"--programs" help:"folder of the programs [default: that of this program]"`
	Duration   time.Duration `arg:"--duration" default:"20s"`
	Seed       uint64        `arg:"--seed" default:"1"`
}

func main() {
	var opts options
	arg.MustParse(&opts)
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(opts options) error {
	ctx, cancel := context.WithTimeout(context.Background(), opts.Duration+3*time.Minute)
	defer cancel()
	running, err := fleet.Launch(ctx, opts.Deployment, opts.Programs, "", false)
	if err != nil {
		return err
	}
	defer running.Stop()
	report := loadgen.Run(ctx, running.Target(), loadgen.Mixes[opts.Deployment], opts.Duration, opts.Seed, nil)
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(report); err != nil {
		return err
	}
	return running.CheckReport(report)
}
