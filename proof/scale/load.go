package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/feed"
	"yardrock.example/system/link"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// runnerGroups are the groups that the runners of the stand-in platform are assigned to, round-robin.
var runnerGroups = []string{"small", "large", "application"}

// RunnerList returns a list of size runners; nothing listens at their addresses.
//
//	list := scale.RunnerList(2600)
func RunnerList(size int) []standin.ListedRunner {
	list := []standin.ListedRunner{}
	for position := range size {
		list = append(list, standin.ListedRunner{
			Address: fmt.Sprintf("127.77.%d.%d:8000", position/250, position%250+1),
			Group:   runnerGroups[position%len(runnerGroups)], Domain: domains[position%len(domains)], State: feed.StateServing,
		})
	}
	return list
}

// putRunnerList replaces the runner list of the stand-in platform.
func putRunnerList(ctx context.Context, platformAddress string, list []standin.ListedRunner) error {
	data, err := json.Marshal(list)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+platformAddress+"/runners", bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the stand-in platform rejected the runner list: %s", response.Status)
	}
	return nil
}

// Routing returns a routing with a number of routes as an operator would write it: every route is
// split between two services and carries its uncompiled source.
//
//	compiled.Routing = scale.Routing(2000, 7)
func Routing(routes int, revision uint64) *config.Routing {
	routing := &config.Routing{Revision: revision}
	for _, name := range runnerGroups {
		routing.Services = append(routing.Services, config.Service{Name: name, HealthPath: "/healthz", MaxConnections: 400, WarmUp: config.Duration(5 * time.Second), WarmUpRate: 4})
	}
	for position := range routes {
		route := config.Route{
			Name: fmt.Sprintf("route-%05d", position), Host: fmt.Sprintf("team-%04d.example", position/2), Prefix: fmt.Sprintf("/work/%d", position%2),
			Kind: config.Streaming, Timeout: config.Duration(4 * time.Second), FirstByteTarget: config.Duration(250 * time.Millisecond), EventGapTarget: config.Duration(500 * time.Millisecond),
			Shares: []config.WeightedService{{Service: runnerGroups[0], Weight: 3}, {Service: runnerGroups[1], Weight: float64(1 + revision%7)}}, MaxAttempts: 3,
			StoresHistory: true, Retention: config.Duration(time.Hour),
		}
		if original, err := json.Marshal(route); err == nil {
			route.Original = original
		}
		routing.Routes = append(routing.Routes, route)
	}
	return routing
}

// withRouting returns a change that replaces the routing in a view's config by a generated one.
func withRouting(view *feed.View, routes int, revision uint64) (feed.Change, error) {
	decoded, err := config.Decode(view.Compiled)
	if err != nil {
		return feed.Change{}, err
	}
	decoded.Routing = Routing(routes, revision)
	compiled, err := json.Marshal(decoded)
	return feed.Change{Kind: feed.ChangeConfig, By: "scale", Source: view.Source, Compiled: compiled}, err
}

// propose sends a change to the control nodes in turn until one acknowledges it, and returns its
// number.
func propose(ctx context.Context, caller *link.Client, controls []string, change feed.Change) (uint64, error) {
	lastErr := error(nil)
	for ctx.Err() == nil {
		for _, address := range controls {
			callContext, cancel := context.WithTimeout(ctx, 2*time.Second)
			reply, err := caller.Call(callContext, address, &wire.Query{Which: schema.Query_Which_change, Change: &wire.ChangeQuery{Change: change}})
			cancel()
			if err == nil && reply.Change != nil && reply.Change.Acknowledged {
				return reply.Change.Number, nil
			}
			if lastErr = err; apierror.Is(err, apierror.Unavailable) {
				caller.Drop(address)
			}
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	return 0, fmt.Errorf("no control node acknowledged the change: %w", lastErr)
}

// domainChange returns a minimal change: it drains or restores a failure domain that has no runners.
func domainChange(drained bool) feed.Change {
	state := feed.StateServing
	if drained {
		state = feed.StateDrained
	}
	return feed.Change{Kind: feed.ChangeDomain, By: "scale", Domain: feed.Domain{Name: "nowhere", State: state, Since: time.Now().UnixNano()}}
}
