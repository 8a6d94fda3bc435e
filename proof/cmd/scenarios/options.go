package main

import (
	"errors"
	"flag"
	"fmt"
	"strconv"
	"strings"
)

// options holds the flags of all commands; see parseOptions for their meaning.
type options struct {
	bench      string
	repository string
	sites      string
	presets    string
	seeds      string
	intensity  float64
	finalFault string
	siteChange siteChange
	out        string
	jobs       int
	reason     string
	scenarios  string
	small      bool
	variants   string
	logFile    string
	window     float64
}

// parseOptions parses and validates the flags of a command.
func parseOptions(command string, arguments []string) (options, error) {
	var opts options
	flags := flag.NewFlagSet(command, flag.ContinueOnError)
	flags.StringVar(&opts.bench, "bench", "", "path of the bench executable")
	flags.StringVar(&opts.repository, "repository", ".", "clone of the repository whose code is tested")
	flags.StringVar(&opts.sites, "sites", "", "site files, comma-separated")
	flags.StringVar(&opts.presets, "presets", "random", "scenario presets, comma-separated, or all")
	flags.StringVar(&opts.seeds, "seeds", "1", "a seed, or a range FIRST-LAST")
	flags.Float64Var(&opts.intensity, "intensity", 1, "number of entries, as a multiple of the default")
	flags.StringVar(&opts.finalFault, "closing", finalFaultAny, "final fault: none, any, power_off_all, wipe_after_ack or kill_all")
	flags.IntVar(&opts.siteChange.idleRoutes, "idle-routes", 0, "run on copies of the sites with this many idle routes")
	flags.Float64Var(&opts.siteChange.length, "length", 0, "run on copies of the sites with this length in seconds")
	flags.IntVar(&opts.siteChange.cores, "cores", 0, "run on copies of the sites with this many cores per machine")
	flags.StringVar(&opts.out, "out", "", "directory for scenarios, reports and copies of sites")
	flags.IntVar(&opts.jobs, "jobs", 1, "number of scenarios that run concurrently")
	flags.StringVar(&opts.reason, "why", "days of our own", "reason to record in the bench's journal")
	flags.StringVar(&opts.scenarios, "days", "", "compare: names of scenarios of the site, or scenario files, comma-separated, instead of presets")
	flags.BoolVar(&opts.small, "small", false, "run the bench's reduced versions of large scenarios")
	flags.StringVar(&opts.variants, "variants", "", "compare: NAME=PATCH, comma-separated; each is compared with the checked-out commit")
	flags.StringVar(&opts.logFile, "log", "", "requests: file with the output of a bench run, including the fronts' logs")
	flags.Float64Var(&opts.window, "window", 1, "requests: seconds covered by each row of the table")
	if err := flags.Parse(arguments); err != nil {
		return options{}, err
	}
	if command == commandRequests {
		return opts, opts.checkRequests()
	}
	if opts.bench == "" || opts.sites == "" || opts.out == "" || opts.jobs < 1 {
		return options{}, errors.New("--bench, --sites and --out are required, and --jobs must be at least 1")
	}
	return opts, nil
}

// checkRequests validates the options of commandRequests.
func (opts options) checkRequests() error {
	if opts.logFile == "" || opts.window <= 0 {
		return errors.New("--log is required, and --window must be greater than 0")
	}
	return nil
}

// parseSeeds parses a seed or an inclusive range FIRST-LAST.
func parseSeeds(text string) (first, last uint64, err error) {
	low, high, isRange := strings.Cut(text, "-")
	if !isRange {
		high = low
	}
	first, err = strconv.ParseUint(low, 10, 64)
	if err != nil {
		return 0, 0, fmt.Errorf("seeds %q: %w", text, err)
	}
	last, err = strconv.ParseUint(high, 10, 64)
	if err != nil {
		return 0, 0, fmt.Errorf("seeds %q: %w", text, err)
	}
	if last < first {
		return 0, 0, fmt.Errorf("seeds %q: LAST is less than FIRST; use FIRST-LAST", text)
	}
	return first, last, nil
}

// presetNames splits a comma-separated list of presets; "all" selects every preset.
func presetNames(text string) []string {
	if text != "all" {
		return strings.Split(text, ",")
	}
	names := make([]string, 0, len(presets))
	for _, preset := range presets {
		names = append(names, preset.name)
	}
	return names
}
