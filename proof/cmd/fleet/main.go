// Command fleet starts a deployment as real processes on loopback and keeps it
// until interrupted. It prints what a caller and an operator need as JSON.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"yardrock.example/proof/fleet"
)

type options struct {
	Deployment string        `arg:"--deployment" default:"trial" help:"trial, agency or logistics"`
	Programs   string        `arg:"--programs" help:"folder of the programs [default: beside this one]"`
	Folder     string        `arg:"--folder" help:"folder for data and logs [default: a new one]"`
	Timeout    time.Duration `arg:"--patience" default:"60s" help:"how long the start may take"`
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
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	starting, cancel := context.WithTimeout(ctx, chosen.Timeout)
	defer cancel()
	began := time.Now()
	running, err := fleet.Launch(starting, chosen.Deployment, chosen.Programs, chosen.Folder, false)
	if err != nil {
		return err
	}
	defer running.Stop()
	administration := []string{}
	for _, control := range running.ProcessesOf("control") {
		administration = append(administration, control.PublicAddress)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(map[string]any{
		"ready_after": time.Since(began).String(), "folder": running.Folder, "fronts": running.Fronts(), "administration": administration,
		"team_token": fleet.TeamToken, "root_token": fleet.RootToken,
	}); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
