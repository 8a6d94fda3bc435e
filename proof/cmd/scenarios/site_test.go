package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const testSiteText = `name = "trial"
length_s = 34.0
zones = [{ name = "north" }]
machines = [
  { class = "front", cpu_share = 0.4, cores = 1, memory_mb = 284 },
  { class = "core", cpu_share = 0.9, cores = 1, memory_mb = 280 },
]
services = [{ name = "model" }]
classes = [{ name = "talk" }]
[timing]
catch_up_s = 4.3
[config]
idle_routes = 8
`

func TestCopiedSiteHasTheChanges(t *testing.T) {
	dir := t.TempDir()
	original := filepath.Join(dir, "trial.toml")
	for path, text := range map[string]string{original: testSiteText, filepath.Join(dir, "wire.json"): "{}"} {
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	copied, err := copySite(original, filepath.Join(dir, "copies"), siteChange{idleRoutes: 1500, length: 60, cores: 4})
	if err != nil {
		t.Fatal(err)
	}
	if filepath.Base(copied) != "trial-routes1500-length60-cores4.toml" {
		t.Errorf("unexpected file name %s", copied)
	}
	text, err := os.ReadFile(copied)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"idle_routes = 1500\n", "length_s = 60.0\n"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("the copy lacks %q", want)
		}
	}
	if strings.Count(string(text), "cores = 4") != 2 {
		t.Error("not all machines of the copy have 4 cores")
	}
	read, err := readSite(copied)
	if err != nil || read.Length != 60 || read.Timing.CatchUp != 4.3 {
		t.Errorf("read as %v, %v", read, err)
	}
}

func TestChangeWithoutAMatchIsAnError(t *testing.T) {
	if _, err := (siteChange{idleRoutes: 100}).apply("length_s = 34.0\n"); err == nil {
		t.Fatal("a change without a match was accepted")
	}
}
