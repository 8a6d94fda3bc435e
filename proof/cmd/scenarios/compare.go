package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// trialKey names what one pair of plays has in common.
type trialKey struct {
	site string // name of the site
	day  string // name of the day
	seed uint64
}

// trial is one play of a comparison.
type trial struct {
	task
	trialKey
	version variant
	runner  benchRunner // plays the version's clone
}

// trialResult is how a trial went.
type trialResult struct {
	trial
	result
}

// difference compares a variant with the base on one day, or on all days of a site.
type difference struct {
	site, day string // day is allDays for all of them
	version   string
	base      estimate // worth of the base
	changed   estimate // worth of the variant
	paired    estimate // variant less base, of plays with the same seed
}

// allDays stands for the day in the line of a whole site.
const allDays = "all"

// scenarioFileEnding is that of files with a day.
const scenarioFileEnding = ".toml"

// comparisonFolder is the folder for clones, scenarios and reports within --out.
const comparisonFolder = "variants"

// compareTasks plays every day with every seed on each variant, the variants of a pair one after
// the other, and writes a table of the paired differences.
func compareTasks(ctx context.Context, runner benchRunner, chosen options) error {
	variants, err := parseVariants(chosen.variants)
	if err != nil {
		return err
	}
	trials, err := prepareTrials(ctx, runner, chosen, variants)
	if err != nil {
		return err
	}
	results := playTrials(ctx, trials, chosen.jobs)
	for _, version := range variants {
		if err := keepJournal(filepath.Join(chosen.out, comparisonFolder, version.name), runner.repository); err != nil {
			return err
		}
	}
	differences := compareResults(results, variants)
	if err := writeComparison(chosen, differences); err != nil {
		return err
	}
	return checkTrials(results)
}

// prepareTrials checks out and builds all variants and lists their plays. Plays of the same day
// and seed stand together, so that what disturbs the machine disturbs all variants.
func prepareTrials(ctx context.Context, runner benchRunner, chosen options, variants []variant) ([]trial, error) {
	runners := map[string]benchRunner{}
	for _, version := range variants {
		clone, err := filepath.Abs(filepath.Join(chosen.out, comparisonFolder, version.name))
		if err != nil {
			return nil, err
		}
		if err := version.checkOut(ctx, runner.repository, clone); err != nil {
			return nil, err
		}
		own := runner
		own.repository, own.why = clone, fmt.Sprintf("trial: %s; variant %s", runner.why, version.name)
		if err := own.build(ctx); err != nil {
			return nil, fmt.Errorf("variant %s: %w", version.name, err)
		}
		runners[version.name] = own
	}
	first, last, err := parseSeeds(chosen.seeds)
	if err != nil {
		return nil, err
	}
	var trials []trial
	for seed := first; seed <= last; seed++ {
		for sitePath := range strings.SplitSeq(chosen.sites, ",") {
			plays, err := daysToPlay(ctx, runner, chosen, sitePath, seed)
			if err != nil {
				return nil, err
			}
			for _, play := range plays {
				for _, version := range variants {
					trials = append(trials, newTrial(play, version, runners[version.name], chosen.out))
				}
			}
		}
	}
	return trials, nil
}

// dayTask is a task with the seed that it is played with.
type dayTask struct {
	task
	seed uint64
}

// daysToPlay lists what is played of a site with one seed: the days that the options name, or
// scenarios of their presets.
func daysToPlay(ctx context.Context, runner benchRunner, chosen options, sitePath string, seed uint64) ([]dayTask, error) {
	sitePath, err := filepath.Abs(sitePath)
	if err != nil {
		return nil, err
	}
	var plays []dayTask
	if chosen.days != "" {
		for day := range strings.SplitSeq(chosen.days, ",") {
			named, err := dayOf(day)
			if err != nil {
				return nil, err
			}
			named.site = sitePath
			plays = append(plays, dayTask{task: named, seed: seed})
		}
		return plays, nil
	}
	for _, presetName := range presetNames(chosen.presets) {
		parameters := scenarioParameters{preset: presetName, seed: seed, intensity: chosen.intensity, closing: chosen.closing}
		generated, err := generateTask(ctx, runner, chosen, sitePath, parameters)
		if err != nil {
			return nil, err
		}
		if generated.file, err = filepath.Abs(generated.file); err != nil {
			return nil, err
		}
		plays = append(plays, dayTask{task: generated})
	}
	return plays, nil
}

// dayOf is the task of a day of the site, by its name, or of a day's own file.
func dayOf(day string) (task, error) {
	if !strings.HasSuffix(day, scenarioFileEnding) {
		return task{name: day, file: day}, nil
	}
	path, err := filepath.Abs(day)
	if err != nil {
		return task{}, err
	}
	if _, err := os.Stat(path); err != nil {
		return task{}, err
	}
	return task{name: strings.TrimSuffix(filepath.Base(path), scenarioFileEnding), file: path}, nil
}

// newTrial is one play of a day on a variant.
func newTrial(play dayTask, version variant, runner benchRunner, out string) trial {
	siteName := strings.TrimSuffix(filepath.Base(play.site), ".toml")
	made := trial{task: play.task, trialKey: trialKey{site: siteName, day: play.name, seed: play.seed}, version: version, runner: runner}
	stem := strings.Join([]string{siteName, play.name, strconv.FormatUint(play.seed, 10), version.name}, "-")
	made.runner.output, made.runner.seed = filepath.Join(out, stem), play.seed
	return made
}

// playTrials plays the trials in their order, so many at once, and prints a line of each.
func playTrials(ctx context.Context, trials []trial, jobs int) []trialResult {
	fmt.Println(tableHead)
	results := make([]trialResult, len(trials))
	runConcurrently(jobs, len(trials), func(position int) {
		played := trials[position]
		results[position] = trialResult{trial: played, result: played.runner.playOne(ctx, played.task)}
	}, func(position int) {
		fmt.Printf("%s  %s, seed %d\n", tableLine(results[position].result), results[position].version.name, results[position].seed)
	})
	return results
}

// compareResults makes the lines of the table: each day of each site, and each site.
func compareResults(results []trialResult, variants []variant) []difference {
	var differences []difference
	for _, version := range variants[1:] {
		for _, group := range groupsOf(results) {
			made := difference{site: group.site, day: group.day, version: version.name}
			base, changed, paired := pairedWorth(results, group, version.name)
			made.base, made.changed, made.paired = estimateMean(base), estimateMean(changed), estimateMean(paired)
			differences = append(differences, made)
		}
	}
	return differences
}

// groupsOf lists the days of each site and then the site as a whole, each with seed 0.
func groupsOf(results []trialResult) []trialKey {
	var groups []trialKey
	for _, played := range results {
		groups = append(groups, trialKey{site: played.site(), day: played.day}, trialKey{site: played.site(), day: allDays})
	}
	slices.SortFunc(groups, func(left, right trialKey) int {
		return cmp.Or(cmp.Compare(left.site, right.site), cmp.Compare(left.day, right.day))
	})
	return slices.Compact(groups)
}

// site returns the name of the site; the task has its path.
func (played trialResult) site() string { return played.trialKey.site }

// pairedWorth returns the worth of the base and of a variant, and their differences, for the
// plays of a group that both have.
func pairedWorth(results []trialResult, group trialKey, version string) (base, changed, paired []float64) {
	byKey := map[trialKey]map[string]float64{}
	var order []trialKey
	for _, played := range results {
		if played.site() != group.site || (group.day != allDays && played.day != group.day) || played.failure != "" {
			continue
		}
		if byKey[played.trialKey] == nil {
			byKey[played.trialKey] = map[string]float64{}
			order = append(order, played.trialKey)
		}
		byKey[played.trialKey][played.version.name] = played.report.Score
	}
	for _, key := range order {
		before, playedBase := byKey[key][baseVariant]
		after, playedVariant := byKey[key][version]
		if playedBase && playedVariant {
			base, changed, paired = append(base, before), append(changed, after), append(paired, after-before)
		}
	}
	return base, changed, paired
}

// writeComparison writes the table as Markdown to standard output and to --out, and a plot of it.
func writeComparison(chosen options, differences []difference) error {
	table := markdownTable(differences)
	fmt.Print("\n", table)
	if err := os.WriteFile(filepath.Join(chosen.out, "comparison.md"), []byte(table), 0o644); err != nil {
		return err
	}
	return plotDifferences(differences, filepath.Join(chosen.out, "comparison.svg"))
}

// markdownTable is the table of a comparison.
func markdownTable(differences []difference) string {
	table := &strings.Builder{}
	fmt.Fprintln(table, "| site | day | variant | pairs | worth of the base | of the variant | difference (95 %) | |")
	fmt.Fprintln(table, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, line := range differences {
		verdict := ""
		if line.paired.conclusive() {
			verdict = "conclusive"
		}
		fmt.Fprintf(table, "| %s | %s | %s | %d | %.3f | %.3f | %+.4f ± %.4f | %s |\n", line.site, line.day, line.version, line.paired.count,
			line.base.mean, line.changed.mean, line.paired.mean, line.paired.halfWidth, verdict)
	}
	return table.String()
}

// checkTrials returns errBroken if a trial broke a rule or was not played.
func checkTrials(results []trialResult) error {
	for _, played := range results {
		if played.broken() {
			return errBroken
		}
	}
	return nil
}
