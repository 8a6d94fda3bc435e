package settings

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"yardrock.example/system/apierror"
)

// frontArguments returns valid arguments of a front node, followed by extra ones.
func frontArguments(extra ...string) []string {
	return append([]string{"--role", "front", "--address", "127.0.0.1:7000", "--public", "127.0.0.1:7100", "--domain", "east", "--seeds", "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}, extra...)
}

func TestInvalidSettingsNameFieldAndRemedy(t *testing.T) {
	directory := t.TempDir()
	unknown := filepath.Join(directory, "unknown.json")
	if err := os.WriteFile(unknown, []byte(`{"colour": "red"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct {
		arguments []string
		field     string
	}{
		"no seeds":         {frontArguments()[:8], "seeds"},
		"two seeds":        {frontArguments()[:11], "seeds"},
		"one seed twice":   {append(frontArguments()[:10], "10.0.0.1:1", "10.0.0.3:1"), "seeds"},
		"a seed by name":   {append(frontArguments()[:10], "host:1", "10.0.0.3:1"), "seeds"},
		"no port":          {frontArguments("--address", "127.0.0.1"), "address"},
		"port 0":           {frontArguments("--public", "127.0.0.1:0"), "public"},
		"no such role":     {frontArguments("--role", "cook"), "role"},
		"store, no folder": {frontArguments("--role", "store"), "folder"},
		"no such level":    {frontArguments("--log", "loud"), "log"},
		"memory below 0":   {frontArguments("--memory", "-1"), "memory"},
		"unknown flag":     {frontArguments("--colour", "red"), "colour"},
		"unknown key":      {frontArguments("--settings", unknown), "colour"},
		"no such file":     {frontArguments("--settings", filepath.Join(directory, "none")), "settings"},
		"no domain":        {frontArguments("--domain", ""), "domain"},
	} {
		_, err := LoadDataPlane(test.arguments, &bytes.Buffer{})
		if !apierror.Is(err, apierror.BadSettings) || !strings.Contains(err.Error(), test.field) || apierror.Of(err).Remedy == "" {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := LoadControlPlane([]string{"--address", "127.0.0.1:7000", "--administration", "127.0.0.1:1", "--domain", "east", "--folder", directory, "--groups", "5000", "--seeds", "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}, &bytes.Buffer{}); !apierror.Is(err, apierror.BadSettings) || !strings.Contains(err.Error(), "groups") {
		t.Errorf("groups out of range: %v", err)
	}
}

func TestFlagsOverrideFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, []byte(`{"domain": "west", "log": "warn"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	loaded, err := LoadDataPlane(frontArguments("--settings", file), &bytes.Buffer{})
	if err != nil || loaded.Domain != "east" || loaded.Log != "warn" {
		t.Fatalf("%+v %v", loaded, err)
	}
	output := &bytes.Buffer{}
	if _, err := LoadDataPlane([]string{"--version"}, output); !errors.Is(err, ErrHelpShown) || !strings.Contains(output.String(), Version) {
		t.Fatalf("%v %q", err, output)
	}
}
