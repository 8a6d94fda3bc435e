package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"yardrock.example/system/apierror"
)

// Decode decodes the compiled form of a config and indexes its routing. Empty input yields an
// empty config, the state before the first config.
//
//	config, err := config.Decode(view.Compiled)
func Decode(compiled []byte) (*Config, error) {
	config := &Config{}
	if len(compiled) == 0 {
		return config, nil
	}
	if err := json.Unmarshal(compiled, config); err != nil {
		return nil, apierror.Wrap(err, apierror.Invalid, "the compiled config cannot be decoded: "+err.Error(), "run matching versions of the programs")
	}
	if config.Routing != nil {
		config.Routing.BuildIndex()
	}
	return config, nil
}

// encode returns the compiled form of a config. Items as their operator wrote them (Original) are
// encoded unchanged.
func (config *Config) encode() ([]byte, error) {
	var compiled bytes.Buffer
	encoder := json.NewEncoder(&compiled)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(config); err != nil {
		return nil, apierror.Wrap(err, apierror.Invalid, "the config cannot be encoded: "+err.Error(), "correct the named value; nothing was changed")
	}
	return bytes.TrimRight(compiled.Bytes(), "\n"), nil
}

// CheckReferences validates what the CUE schema cannot express: that every referenced name is
// defined, that every weight table in use has a weight above 0, and the rules of Routing.Check.
//
//	err := decoded.CheckReferences()
func (config *Config) CheckReferences() error {
	for _, name := range slices.Sorted(maps.Keys(config.Programs)) {
		if team := config.Programs[name].Team; !hasKey(config.Teams, team) {
			return undefinedReference("programs."+name+".team", team, "team")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(config.WorkKinds)) {
		if err := config.checkWeightTable(name, config.WorkKinds[name].WeightTable); err != nil {
			return err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(config.WeightTables)) {
		for _, group := range slices.Sorted(maps.Keys(config.WeightTables[name])) {
			if !hasKey(config.RunnerGroups, group) {
				return undefinedReference("tables."+name+"."+group, group, "group")
			}
		}
	}
	if config.Routing != nil {
		return config.Routing.Check()
	}
	return nil
}

// checkWeightTable validates the weight table of a kind of work.
func (config *Config) checkWeightTable(kind, name string) error {
	table, found := config.WeightTables[name]
	if !found {
		return undefinedReference("kinds."+kind+".table", name, "table")
	}
	total := 0.0
	for _, weight := range table {
		total += weight
	}
	if total == 0 {
		return apierror.New(apierror.Invalid, "the config is invalid: tables."+name+": all weights are 0", "give one group a weight above 0; nothing was changed")
	}
	return nil
}

// hasKey reports whether a map has an item with a name.
func hasKey[Value any](items map[string]Value, name string) bool {
	_, found := items[name]
	return found
}

// undefinedReference returns the error for a field that refers to an item missing from the config.
func undefinedReference(path, name, kind string) error {
	return apierror.New(apierror.Invalid, fmt.Sprintf("the config is invalid: %s: no %s is named %q", path, kind, name), "define it, or use an existing name; nothing was changed")
}
