package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"

	"github.com/pelletier/go-toml/v2"
)

// namedElement is an element of a site that entries refer to by name.
type namedElement struct {
	Name string `toml:"name"`
}

// machineGroup is a group of machines of one class.
type machineGroup struct {
	Class string `toml:"class"`
}

// site holds the fields of a site file, which describes a deployment, that the generator needs.
type site struct {
	Name     string         `toml:"name"`
	Length   float64        `toml:"length_s"`
	Zones    []namedElement `toml:"zones"`
	Services []namedElement `toml:"services"`
	Classes  []namedElement `toml:"classes"`
	Machines []machineGroup `toml:"machines"`
	Timing   struct {
		CatchUp float64 `toml:"catch_up_s"`
	} `toml:"timing"`
}

// readSite reads and validates a site file.
func readSite(path string) (site, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return site{}, err
	}
	var parsed site
	if err := toml.Unmarshal(text, &parsed); err != nil {
		return site{}, fmt.Errorf("%s: %w", path, err)
	}
	if parsed.Length <= 0 || len(parsed.Zones) == 0 || len(parsed.Services) == 0 || len(parsed.Classes) == 0 {
		return site{}, fmt.Errorf("%s: length_s, zones, services or classes are missing", path)
	}
	return parsed, nil
}

// siteChange describes the changes in a copy of a site file; zero values change nothing.
type siteChange struct {
	idleRoutes int     // routes without traffic
	length     float64 // seconds
	cores      int     // per machine of the system
}

// isZero reports whether the copy would equal the original.
func (change siteChange) isZero() bool {
	return change == siteChange{}
}

// suffix returns the file name suffix of a copy with these changes.
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

// The settings of a site file that siteChange replaces.
var (
	idleRoutesLine = regexp.MustCompile(`(?m)^idle_routes = \d+$`)
	lengthLine     = regexp.MustCompile(`(?m)^length_s = [\d.]+$`)
	machineCores   = regexp.MustCompile(`(class = "(?:front|store|core)".*?\bcores = )\d+`)
)

// apply returns the content of a site file with the changes. A setting that is not found is an
// error, so that a change is never silently lost.
func (change siteChange) apply(text string) (string, error) {
	replace := func(pattern *regexp.Regexp, with string) error {
		if !pattern.MatchString(text) {
			return fmt.Errorf("the site file has no match for %s; omit this change", pattern)
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

// copySite writes a changed copy of a site file to a directory, along with wire.json, which the
// bench reads from the same directory, and returns the path of the copy.
func copySite(path, dir string, change siteChange) (string, error) {
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
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	if err := os.WriteFile(filepath.Join(dir, "wire.json"), wire, 0o644); err != nil {
		return "", err
	}
	target := filepath.Join(dir, stem+change.suffix()+".toml")
	return target, os.WriteFile(target, []byte(changed), 0o644)
}
