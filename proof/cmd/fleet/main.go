// Command fleet starts a deployment as real processes on loopback and keeps it
// until interrupted. It prints what a caller and an operator need as JSON.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"yardrock.example/proof/fleet"
	"yardrock.example/proof/standin"
)

type options struct {
	Deployment string        `arg:"--deployment" default:"trial" help:"trial, agency or logistics"`
	Programs   string        `arg:"--programs" help:"folder of the programs [default: beside this one]"`
	Folder     string        `arg:"--folder" help:"folder for data and logs [default: a new one]"`
	Patience   time.Duration `arg:"--patience" default:"60s" help:"how long the start may take"`
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
	if chosen.Folder == "" {
		made, err := os.MkdirTemp("", "yardrock-")
		if err != nil {
			return err
		}
		chosen.Folder = made
	} else if err := os.MkdirAll(chosen.Folder, 0o750); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	starting, cancel := context.WithTimeout(ctx, chosen.Patience)
	defer cancel()
	began := time.Now()
	running, err := fleet.Start(starting, deployment, chosen.Programs, chosen.Folder, standin.Pace{First: 20 * time.Millisecond, Piece: 5 * time.Millisecond, Plain: 10 * time.Millisecond})
	if err != nil {
		return fmt.Errorf("%w (logs are in %s)", err, chosen.Folder)
	}
	defer running.Stop()
	administration := []string{}
	for _, control := range running.Of("control") {
		administration = append(administration, control.Outside)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	encoder.Encode(map[string]any{
		"ready_after": time.Since(began).String(), "folder": chosen.Folder, "fronts": running.Fronts(), "administration": administration,
		"team_token": fleet.TeamToken, "root_token": fleet.RootToken,
	})
	<-ctx.Done()
	return nil
}
