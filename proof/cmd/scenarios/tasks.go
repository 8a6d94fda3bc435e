package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// task is one scenario to be played on one site.
type task struct {
	site string // path of the site file
	name string // of the scenario
	file string // path of the scenario's file
}

// generateTasks generates the scenarios for all seeds, presets and sites that the options name,
// and writes their files. With an error it returns the tasks that were finished before.
func generateTasks(ctx context.Context, runner benchRunner, chosen options) ([]task, error) {
	first, last, err := parseSeeds(chosen.seeds)
	if err != nil {
		return nil, err
	}
	var tasks []task
	for seed := first; seed <= last; seed++ {
		for _, presetName := range presetNames(chosen.presets) {
			for _, sitePath := range strings.Split(chosen.sites, ",") {
				parameters := scenarioParameters{preset: presetName, seed: seed, intensity: chosen.intensity, closing: chosen.closing}
				next, err := generateTask(ctx, runner, chosen, sitePath, parameters)
				if err != nil {
					return tasks, err
				}
				tasks = append(tasks, next)
			}
		}
	}
	return tasks, nil
}

// generateTask generates one scenario and writes its file, and the copy of the site that it is
// played on if the site is changed.
func generateTask(ctx context.Context, runner benchRunner, chosen options, sitePath string, parameters scenarioParameters) (task, error) {
	change, err := changeFor(sitePath, chosen.change, parameters.preset)
	if err != nil {
		return task{}, err
	}
	if !change.isZero() {
		if sitePath, err = copySite(sitePath, filepath.Join(chosen.out, "sites"), change); err != nil {
			return task{}, err
		}
	}
	target, err := readSite(sitePath)
	if err != nil {
		return task{}, err
	}
	known, err := runner.kinds(ctx, sitePath)
	if err != nil {
		return task{}, err
	}
	generated, err := generateScenario(target, known, parameters)
	if err != nil {
		return task{}, err
	}
	content, err := generated.encode()
	if err != nil {
		return task{}, err
	}
	if err := os.MkdirAll(chosen.out, 0o755); err != nil {
		return task{}, err
	}
	file := filepath.Join(chosen.out, target.Name+change.suffix()+"-"+generated.Name+".toml")
	return task{site: sitePath, name: generated.Name, file: file}, os.WriteFile(file, content, 0o644)
}

// changeFor returns how the site is changed for a preset: as the options say, and longer if the
// preset needs more time and the options name no length.
func changeFor(sitePath string, change siteChange, presetName string) (siteChange, error) {
	original, err := readSite(sitePath)
	if err != nil {
		return siteChange{}, err
	}
	chosen, err := findPreset(presetName)
	if err != nil {
		return siteChange{}, err
	}
	if change.length == 0 && original.Length < chosen.minLength {
		change.length = chosen.minLength
	}
	return change, nil
}

// playTasks generates the scenarios, plays them and prints a table of the results. The error is
// errBroken if a rule was broken.
func playTasks(ctx context.Context, runner benchRunner, chosen options) error {
	tasks, err := generateTasks(ctx, runner, chosen)
	if err != nil {
		return err
	}
	if err := runner.build(ctx); err != nil {
		return err
	}
	fmt.Println(tableHead)
	results := runner.playAll(ctx, tasks, func(played result) { fmt.Println(tableLine(played)) })
	broken := 0
	for _, played := range results {
		if played.broken() {
			broken++
		}
	}
	fmt.Printf("%d scenarios played, %d broken\n", len(results), broken)
	if broken > 0 {
		return errBroken
	}
	return nil
}
