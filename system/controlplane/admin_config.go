package controlplane

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"cuelang.org/go/cue/format"
	cuejson "cuelang.org/go/encoding/json"

	"yardrock.example/system/api/gen/administration"
	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/configsource"
	"yardrock.example/system/feed"
)

// PutConfig replaces the config.
func (service adminService) PutConfig(ctx context.Context, payload *administration.PutConfigPayload) (*administration.Changed, error) {
	ctx, cancel, operator, err := service.beginRequest(ctx, payload.Authorization, administrationTimeout)
	defer cancel()
	if err != nil {
		return nil, err
	}
	decoded, _, err := configsource.Compile(payload.Source)
	if err != nil {
		return nil, err
	}
	request := newAdminRequest(operator.name, &payload.Expected, "put config", payload.Source)
	return changeResult(service.node.execute(ctx, func(view *feed.View) (decision, error) {
		return request.decide(view, []uint64{view.ConfigNumber}, func() (*feed.Change, error) {
			return service.node.planConfig(view, payload.Source, decoded)
		})
	}))
}

// Set changes one value of the config and reformats its source.
func (service adminService) Set(ctx context.Context, payload *administration.SetPayload) (*administration.Changed, error) {
	ctx, cancel, operator, err := service.beginRequest(ctx, payload.Authorization, administrationTimeout)
	defer cancel()
	if err != nil {
		return nil, err
	}
	value, err := json.Marshal(payload.Value)
	if err != nil {
		return nil, err
	}
	request := newAdminRequest(operator.name, payload.Expected, "set", payload.Path, string(value))
	return changeResult(service.node.execute(ctx, func(view *feed.View) (decision, error) {
		return request.decide(view, []uint64{view.ConfigNumber}, func() (*feed.Change, error) {
			return service.node.planValue(view, payload.Path, payload.Value)
		})
	}))
}

// ReadConfig returns the source of the current config.
func (service adminService) ReadConfig(ctx context.Context, payload *administration.ReadConfigPayload) (*administration.ReadConfigResult, error) {
	_, cancel, operator, err := service.beginRequest(ctx, payload.Authorization, administrationTimeout)
	defer cancel()
	if err != nil {
		return nil, err
	}
	view := operator.state.view
	return &administration.ReadConfigResult{Number: view.ConfigNumber, Source: view.Source}, nil
}

// planConfig plans the change that replaces the current config with an operator's.
func (node *Node) planConfig(view *feed.View, source string, decoded *config.Config) (*feed.Change, error) {
	compiled, err := node.compileWithRouting(view, decoded)
	if err != nil {
		return nil, err
	}
	return &feed.Change{Kind: feed.ChangeConfig, Expects: true, Expected: view.ConfigNumber, Source: source, Compiled: compiled}, nil
}

// planValue plans the change of one value of the current config.
func (node *Node) planValue(view *feed.View, path string, value any) (*feed.Change, error) {
	source, err := sourceWithValue(view.Compiled, path, value)
	if err != nil {
		return nil, err
	}
	decoded, _, err := configsource.Compile(source)
	if err != nil {
		return nil, err
	}
	return node.planConfig(view, source, decoded)
}

// sourceWithValue returns the source of a config with the value at a dotted path replaced.
// All keys of the path but the last must exist.
func sourceWithValue(compiled []byte, path string, value any) (string, error) {
	settings := map[string]any{}
	if len(compiled) > 0 {
		if err := json.Unmarshal(compiled, &settings); err != nil {
			return "", err
		}
	}
	keys := strings.Split(path, ".")
	parent := settings
	for _, key := range keys[:len(keys)-1] {
		next, found := parent[key].(map[string]any)
		if !found {
			return "", apierror.New(apierror.Invalid, fmt.Sprintf("the config has no path %s: key %q not found", path, key), "read the config and use an existing path")
		}
		parent = next
	}
	parent[keys[len(keys)-1]] = value
	data, err := json.Marshal(settings)
	if err != nil {
		return "", err
	}
	expression, err := cuejson.Extract("config.json", data)
	if err != nil {
		return "", err
	}
	source, err := format.Node(expression)
	return string(source), err
}

// decodedConfig is a cached decoded config with the fleet and config number it belongs to.
type decodedConfig struct {
	fleet  string
	number uint64
	config *config.Config
}

// decodeConfig returns the decoded config of a view. The last result is cached.
func (node *Node) decodeConfig(view *feed.View) (*config.Config, error) {
	if cached := node.decodedConfig.Load(); cached != nil && cached.fleet == view.Fleet && cached.number == view.ConfigNumber {
		return cached.config, nil
	}
	decoded, err := config.Decode(view.Compiled)
	if err != nil {
		return nil, err
	}
	node.decodedConfig.Store(&decodedConfig{view.Fleet, view.ConfigNumber, decoded})
	return decoded, nil
}

// compileWithRouting compiles an operator's config together with the current routing.
func (node *Node) compileWithRouting(view *feed.View, decoded *config.Config) ([]byte, error) {
	current, err := node.decodeConfig(view)
	if err != nil {
		return nil, err
	}
	next := *decoded // a copy: a retry decides the same request on another view
	return next.InheritRouting(current)
}
