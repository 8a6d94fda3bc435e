package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"

	"github.com/pelletier/go-toml/v2"
)

// named is a part of a site that entries name.
type named struct {
	Name string `toml:"name"`
}

// machineGroup is a group of machines of one class.
type machineGroup struct {
	Class string `toml:"class"`
}

// site is what the generator needs of a site file (a deployment of the bench).
type site struct {
	Name     string         `toml:"name"`
	Length   float64        `toml:"length_s"`
	Zones    []named        `toml:"zones"`
	Services []named        `toml:"services"`
	Classes  []named        `toml:"classes"`
	Machines []machineGroup `toml:"machines"`
	Timing   struct {
		CatchUp float64 `toml:"catch_up_s"`
	} `toml:"timing"`
}

// readSite reads a site file. The error names the file and what is wrong or missing.
func readSite(path string) (site, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return site{}, err
	}
	var read site
	if err := toml.Unmarshal(text, &read); err != nil {
		return site{}, fmt.Errorf("%s: %w", path, err)
	}
	if read.Length <= 0 || len(read.Zones) == 0 || len(read.Services) == 0 || len(read.Classes) == 0 {
		return site{}, fmt.Errorf("%s: no length, zones, services or classes", path)
	}
	return read, nil
}

// siteChange says how a copy of a site file differs from it; a zero leaves a value as it is.
type siteChange struct {
	idleRoutes int     // routes without traffic
	length     float64 // seconds
	cores      int     // of each machine of the system
}

// isZero reports whether nothing is changed.
func (change siteChange) isZero() bool {
	return change == siteChange{}
}

// suffix is what the name of a copy gets for its changes.
func (change siteChange) suffix() string {
	suffix := ""
	if change.idleRoutes > 0 {
		suffix += fmt.Sprintf("-routes%d", change.idleRoutes)
	}
	if change.length > 0 {
		suffix += fmt.Sprintf("-length%g", change.length)
	}
	if change.cores > 0 {
		suffix += fmt.Sprintf("-cores%d", change.cores)
	}
	return suffix
}

// The lines of a site file that siteChange changes.
var (
	idleRoutesLine = regexp.MustCompile(`(?m)^idle_routes = \d+$`)
	lengthLine     = regexp.MustCompile(`(?m)^length_s = [\d.]+$`)
	machineCores   = regexp.MustCompile(`(class = "(?:front|store|core)".*?\bcores = )\d+`)
)

// apply changes the content of a site file. A value that it does not find is an error, so that a
// copy is never silently the original.
func (change siteChange) apply(text string) (string, error) {
	replace := func(pattern *regexp.Regexp, with string) error {
		if !pattern.MatchString(text) {
			return fmt.Errorf("the site file has nothing like %s; leave this change out", pattern)
		}
		text = pattern.ReplaceAllString(text, with)
		return nil
	}
	if change.idleRoutes > 0 {
		if err := replace(idleRoutesLine, fmt.Sprintf("idle_routes = %d", change.idleRoutes)); err != nil {
			return "", err
		}
	}
	if change.length > 0 {
		if err := replace(lengthLine, fmt.Sprintf("length_s = %.1f", change.length)); err != nil {
			return "", err
		}
	}
	if change.cores > 0 {
		if err := replace(machineCores, fmt.Sprintf("${1}%d", change.cores)); err != nil {
			return "", err
		}
	}
	return text, nil
}

// copySite writes a changed copy of a site file into a folder, with the wire file that the bench
// reads beside it, and returns the path of the copy.
func copySite(path, folder string, change siteChange) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	changed, err := change.apply(string(text))
	if err != nil {
		return "", err
	}
	wire, err := os.ReadFile(filepath.Join(filepath.Dir(path), "wire.json"))
	if err != nil {
		return "", err
	}
	base := filepath.Base(path)
	stem := base[:len(base)-len(filepath.Ext(base))]
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return "", err
	}
	if err := os.WriteFile(filepath.Join(folder, "wire.json"), wire, 0o644); err != nil {
		return "", err
	}
	target := filepath.Join(folder, stem+change.suffix()+".toml")
	return target, os.WriteFile(target, []byte(changed), 0o644)
}
