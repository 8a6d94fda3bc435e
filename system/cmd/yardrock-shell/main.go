// Command yardrock-shell sends queries and commands in the query language to the control
// nodes of a fleet, either one from its arguments or line by line from the terminal.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alexflint/go-arg"

	"yardrock.example/system/httpapi"
	"yardrock.example/system/settings"
)

// options are the flags and arguments. The usage message shows the field name of the
// positional argument.
type options struct {
	Controls  string        `arg:"--controls,required" help:"comma-separated administration addresses of control nodes"`
	TokenFile string        `arg:"--token-file" help:"file with the operator's token [default: environment YARDROCK_TOKEN]"`
	JSON      bool          `arg:"--json" help:"print results as JSON"`
	WaitReady time.Duration `arg:"--wait-ready" help:"wait until every group has a leader and no replica is being moved, at most for this duration"`
	Line      []string      `arg:"positional" help:"one query or command; without it the shell is interactive"`
}

// Version returns the program's name and version; go-arg prints it.
func (options) Version() string { return "yardrock-shell " + settings.Version }

func main() {
	var opts options
	arg.MustParse(&opts)
	token := os.Getenv("YARDROCK_TOKEN")
	if opts.TokenFile != "" {
		data, err := os.ReadFile(opts.TokenFile)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitUsage)
		}
		token = strings.TrimSpace(string(data))
	}
	shell := &shell{controls: strings.Split(opts.Controls, ","), token: token, json: opts.JSON, output: os.Stdout}
	switch {
	case opts.WaitReady > 0:
		os.Exit(shell.waitReady(opts.WaitReady))
	case len(opts.Line) > 0:
		os.Exit(shell.run(strings.Join(opts.Line, " ")))
	}
	shell.interact()
}

// shell sends statements to control nodes and prints the results.
type shell struct {
	controls []string // administration addresses
	token    string   // of the operator
	json     bool     // print results as JSON
	output   io.Writer
}

// run sends one query or command, prints the result or the error, and returns the exit code.
func (shell *shell) run(text string) int {
	result, err := shell.query(text)
	if err != nil {
		var failure *httpapi.Error
		if !errors.As(err, &failure) {
			fmt.Fprintln(os.Stderr, err)
			return exitUnreachable
		}
		fmt.Fprintf(os.Stderr, "%s: %s\nremedy: %s\n", failure.Kind, failure.Message, failure.Remedy)
		if code, known := exitCodes[failure.Kind]; known {
			return code
		}
		return exitRejected
	}
	if shell.json {
		// SIGPIPE ends the process if the output is closed, here as in print.
		_ = json.NewEncoder(shell.output).Encode(result)
	} else {
		shell.print(result)
	}
	if result.Acknowledged != nil && !*result.Acknowledged {
		return exitOutcomeUnknown
	}
	return 0
}

// print prints a result in human-readable form.
func (shell *shell) print(result *queryResult) {
	if len(result.Columns) > 0 {
		table := tabwriter.NewWriter(shell.output, 0, 4, 2, ' ', 0)
		for _, row := range append([][]string{result.Columns}, result.Rows...) {
			fmt.Fprintln(table, strings.Join(row, "\t"))
		}
		_ = table.Flush()
	}
	if result.DryRunResult != nil {
		fmt.Fprintln(shell.output, *result.DryRunResult)
	}
	if result.Number != nil {
		// Control nodes send either both fields or neither (queryResult).
		fmt.Fprintf(shell.output, "number %d, acknowledged: %t\n", *result.Number, *result.Acknowledged)
	}
}

// readyInterval is the polling interval of waitReady.
const readyInterval = 300 * time.Millisecond

// waitReady waits until every group has a leader and no replica is being moved, and returns
// the exit code. Release scripts use it.
func (shell *shell) waitReady(timeout time.Duration) int {
	deadline := time.Now().Add(timeout)
	for {
		result, err := shell.query("show groups")
		// The columns are group, leader, voters and learners.
		ready := err == nil && len(result.Rows) > 0 && !slices.ContainsFunc(result.Rows, func(row []string) bool { return row[1] == "" || row[3] != "" })
		if ready {
			return 0
		}
		if time.Now().After(deadline) {
			fmt.Fprintln(os.Stderr, "not ready in time:", err)
			return exitUnreachable
		}
		time.Sleep(readyInterval)
	}
}
