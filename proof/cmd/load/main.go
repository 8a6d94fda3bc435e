// Command load starts a deployment as real processes, drives its callers' mix,
// checks every answer, prints a report, and fails if a rule was broken.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alexflint/go-arg"

	"yardrock.example/proof/fleet"
	"yardrock.example/proof/load"
	"yardrock.example/proof/standin"
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
	deployment, found := fleet.Deployments[chosen.Deployment]
	if !found {
		return fmt.Errorf("no deployment is named %q: use trial, agency or logistics", chosen.Deployment)
	}
	if chosen.Programs == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		chosen.Programs = filepath.Dir(self)
	}
	folder, err := os.MkdirTemp("", "yardrock-load-")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), chosen.Duration+3*time.Minute)
	defer cancel()
	running, err := fleet.Start(ctx, deployment, chosen.Programs, folder, standin.Pace{First: 20 * time.Millisecond, Piece: 5 * time.Millisecond, Plain: 10 * time.Millisecond})
	if err != nil {
		return fmt.Errorf("%w (logs are in %s)", err, folder)
	}
	defer running.Stop()
	report := load.Run(ctx, running.Target(), load.Mixes[chosen.Deployment], chosen.Duration, chosen.Seed)
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(report); err != nil {
		return err
	}
	if len(report.Broken) > 0 {
		return fmt.Errorf("%d rules were broken (logs are in %s)", len(report.Broken), folder)
	}
	running.Stop()
	return os.RemoveAll(folder)
}
