// Command fleet starts a deployment as real processes on loopback addresses and runs it until it is
// interrupted. It prints the addresses and tokens for callers and operators as JSON.
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
	Programs   string        `arg:"--programs" help:"folder of the programs [default: that of this program]"`
	Folder     string        `arg:"--folder" help:"folder for data and logs [default: a new temporary one]"`
	Timeout    time.Duration `arg:"--patience" default:"60s" help:"maximum time until the deployment is ready"`
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
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	startCtx, cancel := context.WithTimeout(ctx, opts.Timeout)
	defer cancel()
	began := time.Now()
	running, err := fleet.Launch(startCtx, opts.Deployment, opts.Programs, opts.Folder, false)
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
