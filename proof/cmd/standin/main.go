// Command standin serves a stand-in runner or a stand-in platform list.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"yardrock.example/proof/standin"
)

type options struct {
	Serve    string        `arg:"--serve" default:"runner" help:"runner or platform"`
	Address  string        `arg:"--address,required"`
	First    time.Duration `arg:"--first" default:"20ms" help:"time to the first piece"`
	Piece    time.Duration `arg:"--piece" default:"5ms" help:"time between pieces"`
	Plain    time.Duration `arg:"--plain" default:"10ms" help:"time of a plain answer"`
	Lag      time.Duration `arg:"--lag" default:"500ms" help:"lag of the platform's list"`
	Throttle time.Duration `arg:"--throttle" default:"200ms" help:"shortest time between two list queries"`
	Record   string        `arg:"--record" help:"file that keeps executions over restarts"`
	Runners  string        `arg:"--runners" help:"file with the first list"`
}

func main() {
	var chosen options
	arg.MustParse(&chosen)
	if err := serve(chosen); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func serve(chosen options) error {
	if chosen.Serve == "runner" {
		runner := standin.NewRunner(standin.Latencies{FirstPiece: chosen.First, NextPiece: chosen.Piece, PlainAnswer: chosen.Plain})
		if chosen.Record != "" {
			if err := runner.OpenLedger(chosen.Record); err != nil {
				return err
			}
		}
		return http.ListenAndServe(chosen.Address, runner)
	}
	platform := &standin.Platform{Lag: chosen.Lag, Throttle: chosen.Throttle}
	if chosen.Runners != "" {
		data, err := os.ReadFile(chosen.Runners)
		if err != nil {
			return err
		}
		var runners []standin.ListedRunner
		if err := json.Unmarshal(data, &runners); err != nil {
			return err
		}
		platform.Put(runners)
	}
	return http.ListenAndServe(chosen.Address, platform)
}
