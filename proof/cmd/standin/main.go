// Command standin serves a stand-in runner or the runner list of a stand-in platform.
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
	First    time.Duration `arg:"--first" default:"20ms" help:"time until the first piece"`
	Piece    time.Duration `arg:"--piece" default:"5ms" help:"time between pieces"`
	Plain    time.Duration `arg:"--plain" default:"10ms" help:"time until a plain answer"`
	Lag      time.Duration `arg:"--lag" default:"500ms" help:"time until a change of the runner list becomes visible"`
	Throttle time.Duration `arg:"--throttle" default:"200ms" help:"minimum interval between two polls of the runner list"`
	Record   string        `arg:"--record" help:"file that stores the executions across restarts"`
	Runners  string        `arg:"--runners" help:"file with the initial runner list"`
}

func main() {
	var opts options
	arg.MustParse(&opts)
	if err := serve(opts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func serve(opts options) error {
	if opts.Serve == "runner" {
		runner := standin.NewRunner(standin.Latencies{FirstPiece: opts.First, NextPiece: opts.Piece, PlainAnswer: opts.Plain})
		if opts.Record != "" {
			if err := runner.OpenExecutionLog(opts.Record); err != nil {
				return err
			}
		}
		return http.ListenAndServe(opts.Address, runner)
	}
	platform := &standin.Platform{Lag: opts.Lag, Throttle: opts.Throttle}
	if opts.Runners != "" {
		data, err := os.ReadFile(opts.Runners)
		if err != nil {
			return err
		}
		var runners []standin.ListedRunner
		if err := json.Unmarshal(data, &runners); err != nil {
			return err
		}
		platform.Put(runners)
	}
	return http.ListenAndServe(opts.Address, platform)
}
