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

// requestMessage is the message of the log line that a front writes for each request
// (--log-requests).
const requestMessage = "request ended"

// stageSuffix ends the keys of the stages in such a line, which are in milliseconds.
const stageSuffix = "_ms"

// notStages are the keys with that suffix that are no stages.
var notStages = map[string]bool{"total_ms": true, "left_ms": true, "program_left_ms": true}

// errNoRequests is returned for a log without a line of a request.
var errNoRequests = errors.New("no request is in the log: have the fronts started with --log-requests, and the play print their log")

// requestLine is one request as its front logged it.
type requestLine struct {
	endedAt  time.Duration // since the begin of traffic
	zone     string        // of the front
	route    string
	program  string
	outcome  string
	total    time.Duration
	stages   map[string]time.Duration
	tokens   int // of the prompt; 0 for plain work
	prefill  int // tokens that were not expected in the runner's prefix cache
	attempts int
	// programLeft is the time that the program had left; hasProgramLeft says whether it is known.
	programLeft    time.Duration
	hasProgramLeft bool
}

// startedAt returns when the request came, since the begin of traffic.
func (line *requestLine) startedAt() time.Duration { return line.endedAt - line.total }

// readRequests reads the requests from what the bench printed of a play: each line is the time in
// seconds, the name of a machine, and a log line of its process. Other lines are passed over.
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

// parseRequest reads one line of a request.
func parseRequest(text string) (requestLine, error) {
	fields := strings.Fields(text)
	seconds, err := strconv.ParseFloat(fields[0], 64)
	if err != nil || len(fields) < 3 {
		return requestLine{}, errors.New("it does not begin with a time and a machine")
	}
	line := requestLine{endedAt: secondsToDuration(seconds), zone: zoneOfMachine(fields[1]), stages: map[string]time.Duration{}}
	decoder := logfmt.NewDecoder(strings.NewReader(text[strings.Index(text, fields[1])+len(fields[1]):]))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			if err := line.set(string(decoder.Key()), string(decoder.Value())); err != nil {
				return requestLine{}, err
			}
		}
	}
	return line, decoder.Err()
}

// set takes one field of the log line; fields that are not needed are passed over.
func (line *requestLine) set(key, value string) (err error) {
	switch key {
	case "route":
		line.route = value
	case "program":
		line.program = value
	case "outcome":
		line.outcome = value
	case "prompt_tokens":
		line.tokens, err = strconv.Atoi(value)
	case "prefill_tokens":
		line.prefill, err = strconv.Atoi(value)
	case "attempts":
		line.attempts, err = strconv.Atoi(value)
	case "total_ms":
		line.total, err = parseMilliseconds(value)
	case "program_left_ms":
		line.hasProgramLeft = true
		line.programLeft, err = parseMilliseconds(value)
	default:
		if name, isStage := strings.CutSuffix(key, stageSuffix); isStage && !notStages[key] {
			line.stages[name], err = parseMilliseconds(value)
		}
	}
	return err
}

// parseMilliseconds reads a whole number of milliseconds.
func parseMilliseconds(text string) (time.Duration, error) {
	count, err := strconv.ParseInt(text, 10, 64)
	return time.Duration(count) * time.Millisecond, err
}

// secondsToDuration converts seconds with a fraction.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// zoneOfMachine returns the zone in a machine's name CLASS-ZONE-NUMBER.
func zoneOfMachine(name string) string {
	_, zone, _ := strings.Cut(name, "-")
	if last := strings.LastIndex(zone, "-"); last >= 0 {
		return zone[:last]
	}
	return zone
}

// reportRequests prints the tables of one play's log.
func reportRequests(chosen options) error {
	file, err := os.Open(chosen.logFile)
	if err != nil {
		return err
	}
	lines, err := readRequests(file)
	if err = errors.Join(err, file.Close()); err != nil {
		return fmt.Errorf("%s: %w", chosen.logFile, err)
	}
	fmt.Print(stageTable(lines, secondsToDuration(chosen.window)))
	fmt.Print("\n", causeTable(lines))
	return nil
}
