// Command yardrock-shell asks a fleet's control nodes in the query language, line
// by line or once by argument.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/peterh/liner"

	"yardrock.example/system/apierror"
	"yardrock.example/system/httpapi"
	"yardrock.example/system/querylanguage"
	"yardrock.example/system/settings"
)

type options struct {
	Controls  string        `arg:"--controls,required" help:"administration addresses of control nodes, joined by commas"`
	TokenFile string        `arg:"--token-file" help:"file with the operator's token [default: environment YARDROCK_TOKEN]"`
	JSON      bool          `arg:"--json" help:"answer in JSON"`
	WaitReady time.Duration `arg:"--wait-ready" help:"wait until every group is led, at most so long"`
	Line      []string      `arg:"positional" help:"one query or command; without it the shell asks for lines"`
}

// Version tells the program's version; go-arg calls it.
func (options) Version() string { return "yardrock-shell " + settings.Version }

// Exit codes for scripts.
const (
	exitRejected    = 1
	exitUsage       = 2
	exitUnreachable = 3
	exitUnclear     = 4
)

var exitCodes = map[string]int{string(apierror.OutcomeUnknown): exitUnclear, string(apierror.Unavailable): exitUnreachable, string(apierror.NoQuorum): exitUnreachable}

type queryResult struct {
	Columns      []string   `json:"columns"`
	Rows         [][]string `json:"rows"`
	Number       *uint64    `json:"number,omitempty"`
	Acknowledged *bool      `json:"acknowledged,omitempty"`
	Would        *string    `json:"would,omitempty"`
}

func main() {
	var chosen options
	arg.MustParse(&chosen)
	token := os.Getenv("YARDROCK_TOKEN")
	if chosen.TokenFile != "" {
		data, err := os.ReadFile(chosen.TokenFile)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitUsage)
		}
		token = strings.TrimSpace(string(data))
	}
	shell := &shell{controls: strings.Split(chosen.Controls, ","), token: token, json: chosen.JSON, output: os.Stdout}
	switch {
	case chosen.WaitReady > 0:
		os.Exit(shell.waitReady(chosen.WaitReady))
	case len(chosen.Line) > 0:
		os.Exit(shell.run(strings.Join(chosen.Line, " ")))
	}
	shell.interact()
}

type shell struct {
	controls []string
	token    string
	json     bool
	output   io.Writer
}

// query tries the control nodes in turn; each passes on to the leader itself. A
// command is sent to another node only if it provably did not arrive.
func (shell *shell) query(text string) (*queryResult, error) {
	body, err := json.Marshal(map[string]string{"text": text})
	if err != nil {
		return nil, err
	}
	var last error
	for _, control := range shell.controls {
		request, err := http.NewRequest(http.MethodPost, "http://"+control+"/v1/query", bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		request.Header.Set("Authorization", "Bearer "+shell.token)
		request.Header.Set("Content-Type", "application/json")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			last = &httpapi.Error{Kind: string(apierror.Unavailable), Message: err.Error(), Remedy: "check the address, or name more control nodes"}
			if !strings.Contains(err.Error(), "connect") && !strings.HasPrefix(text, "show") {
				return nil, &httpapi.Error{Kind: string(apierror.OutcomeUnknown), Message: err.Error(), Remedy: "show changes, then decide whether to send the command again"}
			}
			continue
		}
		defer response.Body.Close()
		if response.StatusCode == http.StatusOK {
			result := &queryResult{}
			return result, json.NewDecoder(response.Body).Decode(result)
		}
		failure := &httpapi.Error{}
		if err := json.NewDecoder(response.Body).Decode(failure); err != nil {
			return nil, fmt.Errorf("%s answered %s", control, response.Status)
		}
		if last = failure; failure.Kind != string(apierror.NoQuorum) {
			return nil, failure
		}
	}
	return nil, last
}

// run asks one line and gives the exit code.
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
		json.NewEncoder(shell.output).Encode(result)
	} else {
		shell.print(result)
	}
	if result.Acknowledged != nil && !*result.Acknowledged {
		return exitUnclear
	}
	return 0
}

func (shell *shell) print(result *queryResult) {
	if len(result.Columns) > 0 {
		table := tabwriter.NewWriter(shell.output, 0, 4, 2, ' ', 0)
		for _, row := range append([][]string{result.Columns}, result.Rows...) {
			fmt.Fprintln(table, strings.Join(row, "\t"))
		}
		table.Flush()
	}
	if result.Would != nil {
		fmt.Fprintln(shell.output, *result.Would)
	}
	if result.Number != nil {
		fmt.Fprintf(shell.output, "number %d, acknowledged: %t\n", *result.Number, *result.Acknowledged)
	}
}

// waitReady is for release scripts: it ends once every group is led and no
// replica is on its way.
func (shell *shell) waitReady(timeout time.Duration) int {
	deadline := time.Now().Add(timeout)
	for {
		result, err := shell.query("show groups")
		ready := err == nil && len(result.Rows) > 0 && !slices.ContainsFunc(result.Rows, func(row []string) bool { return row[1] == "" || row[3] != "" })
		if ready {
			return 0
		}
		if time.Now().After(deadline) {
			fmt.Fprintln(os.Stderr, "not ready in time:", err)
			return exitUnreachable
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// interact reads lines with history and completion until end of input.
func (shell *shell) interact() {
	line := liner.NewLiner()
	defer line.Close()
	line.SetCtrlCAborts(true)
	line.SetCompleter(complete)
	history := ""
	if home, err := os.UserHomeDir(); err == nil {
		history = filepath.Join(home, ".yardrock_history")
		if file, err := os.Open(history); err == nil {
			line.ReadHistory(file)
			file.Close()
		}
	}
	for {
		text, err := line.Prompt("yardrock> ")
		if err != nil {
			break
		}
		if text = strings.TrimSpace(text); text == "" {
			continue
		}
		if text == "exit" || text == "quit" {
			break
		}
		line.AppendHistory(text)
		shell.run(text)
	}
	if file, err := os.Create(history); err == nil {
		line.WriteHistory(file)
		file.Close()
	}
}

// complete offers what may follow a beginning.
func complete(prefix string) []string {
	completions := []string{"set weight ", "set allowance ", "set limit ", "empty domain ", "refill domain ", "enrol store ", "retire store ", "restore config "}
	for _, table := range querylanguage.Tables {
		completions = append(completions, "show "+table)
	}
	return slices.DeleteFunc(completions, func(offer string) bool { return !strings.HasPrefix(offer, prefix) })
}
