package main

import (
	"errors"
	"flag"
	"fmt"
	"strconv"
	"strings"
)

// options are the settings of both commands; their flags say what each is.
type options struct {
	bench      string
	repository string
	sites      string
	presets    string
	seeds      string
	intensity  float64
	closing    string
	change     siteChange
	out        string
	jobs       int
	why        string
	days       string
	small      bool
	variants   string
	logFile    string
	window     float64
}

// parseOptions reads the flags of a command. The error says what is wrong or missing.
func parseOptions(command string, arguments []string) (options, error) {
	var chosen options
	flags := flag.NewFlagSet(command, flag.ContinueOnError)
	flags.StringVar(&chosen.bench, "bench", "", "path of the bench's program")
	flags.StringVar(&chosen.repository, "repository", ".", "the clone whose code is played")
	flags.StringVar(&chosen.sites, "sites", "", "site files, separated by commas")
	flags.StringVar(&chosen.presets, "presets", "random", "sorts of scenarios, separated by commas, or all")
	flags.StringVar(&chosen.seeds, "seeds", "1", "a seed, or FIRST-LAST")
	flags.Float64Var(&chosen.intensity, "intensity", 1, "how many faults, as a multiple of the default")
	flags.StringVar(&chosen.closing, "closing", finalFaultAny, "closing fault: none, any, power_off_all, wipe_after_ack or kill_all")
	flags.IntVar(&chosen.change.idleRoutes, "idle-routes", 0, "idle routes in copies of the sites")
	flags.Float64Var(&chosen.change.length, "length", 0, "length in seconds of scenarios on copies of the sites")
	flags.IntVar(&chosen.change.cores, "cores", 0, "cores of machines in copies of the sites")
	flags.StringVar(&chosen.out, "out", "", "folder for scenarios, reports and copies of sites")
	flags.IntVar(&chosen.jobs, "jobs", 1, "scenarios played at once")
	flags.StringVar(&chosen.why, "why", "days of our own", "the reason that the bench writes into its journal")
	flags.StringVar(&chosen.days, "days", "", "compare: days of the site by name, or files of days, separated by commas, instead of presets")
	flags.BoolVar(&chosen.small, "small", false, "play the bench's small twins of large days")
	flags.StringVar(&chosen.variants, "variants", "", "compare: NAME=PATCH, separated by commas; each is compared with the commit that is checked out")
	flags.StringVar(&chosen.logFile, "log", "", "requests: what the bench printed of a play with the fronts' logs")
	flags.Float64Var(&chosen.window, "window", 1, "requests: seconds in a line of the table")
	if err := flags.Parse(arguments); err != nil {
		return options{}, err
	}
	if command == commandRequests {
		return chosen, chosen.checkRequests()
	}
	if chosen.bench == "" || chosen.sites == "" || chosen.out == "" || chosen.jobs < 1 {
		return options{}, errors.New("--bench, --sites and --out are needed, --jobs is 1 at least")
	}
	return chosen, nil
}

// checkRequests checks the options of the command that reads a log.
func (chosen options) checkRequests() error {
	if chosen.logFile == "" || chosen.window <= 0 {
		return errors.New("--log is needed, --window is above 0")
	}
	return nil
}

// parseSeeds reads one seed, or a range FIRST-LAST.
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
		return 0, 0, fmt.Errorf("seeds %q: the last is before the first; write FIRST-LAST", text)
	}
	return first, last, nil
}

// presetNames splits the names of presets; "all" stands for all of them.
func presetNames(text string) []string {
	if text != "all" {
		return strings.Split(text, ",")
	}
	names := make([]string, 0, len(presets))
	for _, known := range presets {
		names = append(names, known.name)
	}
	return names
}
