package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// requestMessage is the message of the log line that a front writes for each request if
// --log-requests is set.
const requestMessage = "request ended"

// stageSuffix is the suffix of log keys whose value is the duration of a stage in milliseconds.
const stageSuffix = "_ms"

// nonStageKeys are the keys with stageSuffix that are not stages.
var nonStageKeys = map[string]bool{"total_ms": true, "left_ms": true, "program_left_ms": true}

// errNoRequests is returned for a log without request lines.
var errNoRequests = errors.New("the log contains no requests: start the fronts with --log-requests and include their logs in the output of the bench")

// requestLine is a request as logged by its front.
type requestLine struct {
	endedAt       time.Duration // since the start of traffic
	zone          string        // of the front
	route         string
	program       string
	outcome       string
	total         time.Duration
	stages        map[string]time.Duration
	promptTokens  int // 0 for requests that do not go to a model
	prefillTokens int // prompt tokens not expected in the runner's prefix cache
	attempts      int
	// programTimeLeft is the time left to the program's deadline when the request ended; it is
	// valid if hasProgramTimeLeft is set.
	programTimeLeft    time.Duration
	hasProgramTimeLeft bool
}

// startedAt returns when the request arrived, since the start of traffic.
func (line *requestLine) startedAt() time.Duration { return line.endedAt - line.total }

// readRequests reads the requests from the output of a bench run: lines with the time in seconds,
// a machine name and a log line of its process. Other lines are ignored.
func readRequests(source io.Reader) ([]requestLine, error) {
	var lines []requestLine
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), requestMessage) {
			continue
		}
		line, err := parseRequest(scanner.Text())
		if err != nil {
			return nil, fmt.Errorf("line %q: %w", scanner.Text(), err)
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, err
	}
	if len(lines) == 0 {
		return nil, errNoRequests
	}
	return lines, nil
}

// parseRequest parses the line of one request.
func parseRequest(text string) (requestLine, error) {
	fields := strings.Fields(text)
	seconds, err := strconv.ParseFloat(fields[0], 64)
	if err != nil || len(fields) < 3 {
		return requestLine{}, errors.New("it does not start with a time and a machine name")
	}
	line := requestLine{endedAt: secondsToDuration(seconds), zone: zoneOfMachine(fields[1]), stages: map[string]time.Duration{}}
	decoder := logfmt.NewDecoder(strings.NewReader(text[strings.Index(text, fields[1])+len(fields[1]):]))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			if err := line.setField(string(decoder.Key()), string(decoder.Value())); err != nil {
				return requestLine{}, err
			}
		}
	}
	return line, decoder.Err()
}

// setField stores one field of the log line; unused fields are ignored.
func (line *requestLine) setField(key, value string) (err error) {
	switch key {
	case "route":
		line.route = value
	case "program":
		line.program = value
	case "outcome":
		line.outcome = value
	case "prompt_tokens":
		line.promptTokens, err = strconv.Atoi(value)
	case "prefill_tokens":
		line.prefillTokens, err = strconv.Atoi(value)
	case "attempts":
		line.attempts, err = strconv.Atoi(value)
	case "total_ms":
		line.total, err = parseMilliseconds(value)
	case "program_left_ms":
		line.hasProgramTimeLeft = true
		line.programTimeLeft, err = parseMilliseconds(value)
	default:
		if name, isStage := strings.CutSuffix(key, stageSuffix); isStage && !nonStageKeys[key] {
			line.stages[name], err = parseMilliseconds(value)
		}
	}
	return err
}

// parseMilliseconds parses an integer number of milliseconds.
func parseMilliseconds(text string) (time.Duration, error) {
	count, err := strconv.ParseInt(text, 10, 64)
	return time.Duration(count) * time.Millisecond, err
}

// secondsToDuration converts fractional seconds.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// zoneOfMachine extracts the zone from a machine name CLASS-ZONE-NUMBER.
func zoneOfMachine(name string) string {
	_, zone, _ := strings.Cut(name, "-")
	if last := strings.LastIndex(zone, "-"); last >= 0 {
		return zone[:last]
	}
	return zone
}

// reportRequests prints the stage and cause tables of one bench run's log.
func reportRequests(opts options) error {
	file, err := os.Open(opts.logFile)
	if err != nil {
		return err
	}
	lines, err := readRequests(file)
	if err = errors.Join(err, file.Close()); err != nil {
		return fmt.Errorf("%s: %w", opts.logFile, err)
	}
	fmt.Print(stageTable(lines, secondsToDuration(opts.window)))
	fmt.Print("\n", causeTable(lines))
	return nil
}
