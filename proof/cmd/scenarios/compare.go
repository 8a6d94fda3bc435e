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

// trialKey identifies the trials that are compared with each other: one per variant.
type trialKey struct {
	site     string // site name, not its path
	scenario string // scenario name
	seed     uint64
}

// trial is one run of a scenario on one variant.
type trial struct {
	task
	trialKey
	variant variant
	runner  benchRunner // uses the variant's clone
}

// trialResult is the outcome of a trial.
type trialResult struct {
	trial
	result
}

// difference compares a variant with the base on one scenario, or on all scenarios of a site.
type difference struct {
	site, scenario   string // scenario is allScenarios for the whole site
	variant          string
	baseScore        estimate // mean score of the base
	variantScore     estimate // mean score of the variant
	pairedDifference estimate // variant minus base, over trials with the same key
}

// allScenarios replaces the scenario name in the row of a whole site.
const allScenarios = "all"

// scenarioFileExtension distinguishes a scenario's file from its name.
const scenarioFileExtension = ".toml"

// comparisonDir is the directory within --out that holds the variants' clones.
const comparisonDir = "variants"

// compareVariants runs every scenario with every seed on each variant and writes a table and a
// plot of the paired score differences.
func compareVariants(ctx context.Context, runner benchRunner, opts options) error {
	variants, err := parseVariants(opts.variants)
	if err != nil {
		return err
	}
	trials, err := prepareTrials(ctx, runner, opts, variants)
	if err != nil {
		return err
	}
	results := runTrials(ctx, trials, opts.jobs)
	for _, variant := range variants {
		if err := copyJournal(filepath.Join(opts.out, comparisonDir, variant.name), runner.repository); err != nil {
			return err
		}
	}
	differences := compareResults(results, variants)
	if err := writeComparison(opts, differences); err != nil {
		return err
	}
	return checkTrials(results)
}

// prepareTrials checks out and builds all variants and lists their trials. Trials of the same
// scenario and seed are adjacent, so that other load on the machine affects all variants alike.
func prepareTrials(ctx context.Context, runner benchRunner, opts options, variants []variant) ([]trial, error) {
	runners := map[string]benchRunner{}
	for _, variant := range variants {
		clone, err := filepath.Abs(filepath.Join(opts.out, comparisonDir, variant.name))
		if err != nil {
			return nil, err
		}
		if err := variant.checkOut(ctx, runner.repository, clone); err != nil {
			return nil, err
		}
		variantRunner := runner
		variantRunner.repository, variantRunner.reason = clone, fmt.Sprintf("trial: %s; variant %s", runner.reason, variant.name)
		if err := variantRunner.build(ctx); err != nil {
			return nil, fmt.Errorf("variant %s: %w", variant.name, err)
		}
		runners[variant.name] = variantRunner
	}
	first, last, err := parseSeeds(opts.seeds)
	if err != nil {
		return nil, err
	}
	var trials []trial
	for seed := first; seed <= last; seed++ {
		for sitePath := range strings.SplitSeq(opts.sites, ",") {
			tasks, err := tasksForSite(ctx, runner, opts, sitePath, seed)
			if err != nil {
				return nil, err
			}
			for _, task := range tasks {
				for _, variant := range variants {
					trials = append(trials, newTrial(task, variant, runners[variant.name], opts.out))
				}
			}
		}
	}
	return trials, nil
}

// seededTask is a task with the seed of its run; 0 is the scenario's own seed.
type seededTask struct {
	task
	seed uint64
}

// tasksForSite lists the tasks of a site for one seed: the scenarios that the options name, or
// else generated ones of the selected presets.
func tasksForSite(ctx context.Context, runner benchRunner, opts options, sitePath string, seed uint64) ([]seededTask, error) {
	sitePath, err := filepath.Abs(sitePath)
	if err != nil {
		return nil, err
	}
	var tasks []seededTask
	if opts.scenarios != "" {
		for nameOrFile := range strings.SplitSeq(opts.scenarios, ",") {
			selected, err := namedTask(nameOrFile)
			if err != nil {
				return nil, err
			}
			selected.site = sitePath
			tasks = append(tasks, seededTask{task: selected, seed: seed})
		}
		return tasks, nil
	}
	for _, presetName := range presetNames(opts.presets) {
		parameters := scenarioParameters{preset: presetName, seed: seed, intensity: opts.intensity, finalFault: opts.finalFault}
		generated, err := generateTask(ctx, runner, opts, sitePath, parameters)
		if err != nil {
			return nil, err
		}
		if generated.file, err = filepath.Abs(generated.file); err != nil {
			return nil, err
		}
		tasks = append(tasks, seededTask{task: generated})
	}
	return tasks, nil
}

// namedTask returns the task for the name of one of the site's scenarios, or for a scenario file.
func namedTask(nameOrFile string) (task, error) {
	if !strings.HasSuffix(nameOrFile, scenarioFileExtension) {
		return task{name: nameOrFile, file: nameOrFile}, nil
	}
	path, err := filepath.Abs(nameOrFile)
	if err != nil {
		return task{}, err
	}
	if _, err := os.Stat(path); err != nil {
		return task{}, err
	}
	return task{name: strings.TrimSuffix(filepath.Base(path), scenarioFileExtension), file: path}, nil
}

// newTrial returns the trial of a task on a variant. Its output goes to files in out.
func newTrial(seeded seededTask, variant variant, runner benchRunner, out string) trial {
	siteName := strings.TrimSuffix(filepath.Base(seeded.site), ".toml")
	trial := trial{task: seeded.task, trialKey: trialKey{site: siteName, scenario: seeded.name, seed: seeded.seed}, variant: variant, runner: runner}
	stem := strings.Join([]string{siteName, seeded.name, strconv.FormatUint(seeded.seed, 10), variant.name}, "-")
	trial.runner.outputStem, trial.runner.seed = filepath.Join(out, stem), seeded.seed
	return trial
}

// runTrials starts the trials in order, at most jobs concurrently, and prints a row for each.
func runTrials(ctx context.Context, trials []trial, jobs int) []trialResult {
	fmt.Println(tableHeader)
	results := make([]trialResult, len(trials))
	runConcurrently(jobs, len(trials), func(index int) {
		trial := trials[index]
		results[index] = trialResult{trial: trial, result: trial.runner.runTask(ctx, trial.task)}
	}, func(index int) {
		fmt.Printf("%s  %s, seed %d\n", tableRow(results[index].result), results[index].variant.name, results[index].seed)
	})
	return results
}

// compareResults compares each variant with the base, for each scenario of each site and for
// each whole site.
func compareResults(results []trialResult, variants []variant) []difference {
	var differences []difference
	for _, variant := range variants[1:] {
		for _, group := range resultGroups(results) {
			diff := difference{site: group.site, scenario: group.scenario, variant: variant.name}
			baseScores, variantScores, pairedDifferences := pairedScores(results, group, variant.name)
			diff.baseScore, diff.variantScore, diff.pairedDifference = estimateMean(baseScores), estimateMean(variantScores), estimateMean(pairedDifferences)
			differences = append(differences, diff)
		}
	}
	return differences
}

// resultGroups lists the scenarios of each site and the site as a whole, sorted, with seed 0.
func resultGroups(results []trialResult) []trialKey {
	var groups []trialKey
	for _, result := range results {
		groups = append(groups, trialKey{site: result.site(), scenario: result.scenario}, trialKey{site: result.site(), scenario: allScenarios})
	}
	slices.SortFunc(groups, func(left, right trialKey) int {
		return cmp.Or(cmp.Compare(left.site, right.site), cmp.Compare(left.scenario, right.scenario))
	})
	return slices.Compact(groups)
}

// site returns the site's name; the site field of the embedded task is its path.
func (result trialResult) site() string { return result.trialKey.site }

// pairedScores returns the scores of the base and of a variant and their differences, for the
// trials of a group that ran on both.
func pairedScores(results []trialResult, group trialKey, variant string) (baseScores, variantScores, pairedDifferences []float64) {
	scores := map[trialKey]map[string]float64{}
	var keys []trialKey
	for _, result := range results {
		if result.site() != group.site || (group.scenario != allScenarios && result.scenario != group.scenario) || result.runError != "" {
			continue
		}
		if scores[result.trialKey] == nil {
			scores[result.trialKey] = map[string]float64{}
			keys = append(keys, result.trialKey)
		}
		scores[result.trialKey][result.variant.name] = result.report.Score
	}
	for _, key := range keys {
		baseScore, hasBase := scores[key][baseVariant]
		variantScore, hasVariant := scores[key][variant]
		if hasBase && hasVariant {
			baseScores, variantScores, pairedDifferences = append(baseScores, baseScore), append(variantScores, variantScore), append(pairedDifferences, variantScore-baseScore)
		}
	}
	return baseScores, variantScores, pairedDifferences
}

// writeComparison writes the Markdown table to standard output and to --out, and a plot of it
// to --out.
func writeComparison(opts options, differences []difference) error {
	table := markdownTable(differences)
	fmt.Print("\n", table)
	if err := os.WriteFile(filepath.Join(opts.out, "comparison.md"), []byte(table), 0o644); err != nil {
		return err
	}
	return plotDifferences(differences, filepath.Join(opts.out, "comparison.svg"))
}

// markdownTable formats a comparison.
func markdownTable(differences []difference) string {
	table := &strings.Builder{}
	fmt.Fprintln(table, "| site | scenario | variant | pairs | base score | variant score | difference (95 % CI) | |")
	fmt.Fprintln(table, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, diff := range differences {
		verdict := ""
		if diff.pairedDifference.conclusive() {
			verdict = "conclusive"
		}
		fmt.Fprintf(table, "| %s | %s | %s | %d | %.3f | %.3f | %+.4f ± %.4f | %s |\n", diff.site, diff.scenario, diff.variant, diff.pairedDifference.count,
			diff.baseScore.mean, diff.variantScore.mean, diff.pairedDifference.mean, diff.pairedDifference.halfWidth, verdict)
	}
	return table.String()
}

// checkTrials returns errScenarioFailed if a trial failed.
func checkTrials(results []trialResult) error {
	for _, result := range results {
		if result.failed() {
			return errScenarioFailed
		}
	}
	return nil
}
