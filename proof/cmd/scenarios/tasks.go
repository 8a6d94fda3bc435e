package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// task is one scenario to run on one site.
type task struct {
	site string // path of the site file
	name string // scenario name
	file string // path of the scenario file, or the name of one of the site's scenarios
}

// generateTasks generates the scenario files for all seeds, presets and sites that the options
// select. On error it also returns the tasks generated before.
func generateTasks(ctx context.Context, runner benchRunner, opts options) ([]task, error) {
	first, last, err := parseSeeds(opts.seeds)
	if err != nil {
		return nil, err
	}
	var tasks []task
	for seed := first; seed <= last; seed++ {
		for _, presetName := range presetNames(opts.presets) {
			for _, sitePath := range strings.Split(opts.sites, ",") {
				parameters := scenarioParameters{preset: presetName, seed: seed, intensity: opts.intensity, finalFault: opts.finalFault}
				task, err := generateTask(ctx, runner, opts, sitePath, parameters)
				if err != nil {
					return tasks, err
				}
				tasks = append(tasks, task)
			}
		}
	}
	return tasks, nil
}

// generateTask generates one scenario and writes its file, and a copy of the site file if the
// site is changed.
func generateTask(ctx context.Context, runner benchRunner, opts options, sitePath string, parameters scenarioParameters) (task, error) {
	change, err := changeFor(sitePath, opts.siteChange, parameters.preset)
	if err != nil {
		return task{}, err
	}
	if !change.isZero() {
		if sitePath, err = copySite(sitePath, filepath.Join(opts.out, "sites"), change); err != nil {
			return task{}, err
		}
	}
	site, err := readSite(sitePath)
	if err != nil {
		return task{}, err
	}
	kinds, err := runner.kinds(ctx, sitePath)
	if err != nil {
		return task{}, err
	}
	generated, err := generateScenario(site, kinds, parameters)
	if err != nil {
		return task{}, err
	}
	content, err := generated.encode()
	if err != nil {
		return task{}, err
	}
	if err := os.MkdirAll(opts.out, 0o755); err != nil {
		return task{}, err
	}
	file := filepath.Join(opts.out, site.Name+change.suffix()+"-"+generated.Name+".toml")
	return task{site: sitePath, name: generated.Name, file: file}, os.WriteFile(file, content, 0o644)
}

// changeFor returns the site change for a preset: the one that the options request, with the
// preset's minimum length if the site is shorter and no length is requested.
func changeFor(sitePath string, change siteChange, presetName string) (siteChange, error) {
	original, err := readSite(sitePath)
	if err != nil {
		return siteChange{}, err
	}
	preset, err := findPreset(presetName)
	if err != nil {
		return siteChange{}, err
	}
	if change.length == 0 && original.Length < preset.minLength {
		change.length = preset.minLength
	}
	return change, nil
}

// runTasks generates the scenarios, runs them and prints a table of the results. It returns
// errScenarioFailed if a scenario failed.
func runTasks(ctx context.Context, runner benchRunner, opts options) error {
	tasks, err := generateTasks(ctx, runner, opts)
	if err != nil {
		return err
	}
	if err := runner.build(ctx); err != nil {
		return err
	}
	fmt.Println(tableHeader)
	results := runner.runAll(ctx, tasks, func(result result) { fmt.Println(tableRow(result)) })
	failed := 0
	for _, result := range results {
		if result.failed() {
			failed++
		}
	}
	fmt.Printf("%d scenarios run, %d failed\n", len(results), failed)
	if failed > 0 {
		return errScenarioFailed
	}
	return nil
}
