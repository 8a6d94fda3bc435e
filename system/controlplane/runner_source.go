package controlplane

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/link"
)

// newConfigRunnerSource returns a source that connects through a network. Its url must be set
// before List is called.
func newConfigRunnerSource(network link.Network) configRunnerSource {
	return configRunnerSource{client: &http.Client{Timeout: runnerListTimeout, Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return network.Dial(ctx, address) },
	}}}
}

// runnerListDocument is the JSON form of the runner list.
type runnerListDocument struct {
	Runners []struct {
		Address string `json:"address"`
		Group   string `json:"group"`
		Domain  string `json:"domain"`
		State   string `json:"state"`
	} `json:"runners"`
}

// maxRunnerListBytes bounds the size of a runner list.
const maxRunnerListBytes = 4 << 20

// List requests the list once; after an error the runners on the feed stay as they are.
func (source *configRunnerSource) List(ctx context.Context) ([]feed.Runner, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, source.url, nil)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.Invalid, "the address of the runner list is invalid: "+err.Error(), "correct platform.runner_list in the config")
	}
	response, err := source.client.Do(request)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.Unavailable, "the runner list cannot be reached: "+err.Error(), "check platform.runner_list in the config; the previous list stays in force")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
		return nil, apierror.NewRetryable(apierror.Unavailable, fmt.Sprintf("the runner list server answered with status %d", response.StatusCode), "retry later; the previous list stays in force", time.Duration(seconds)*time.Second)
	}
	var list runnerListDocument
	if err := json.NewDecoder(io.LimitReader(response.Body, maxRunnerListBytes)).Decode(&list); err != nil {
		return nil, apierror.Wrap(err, apierror.Invalid, "the runner list cannot be decoded: "+err.Error(), "correct the list; the previous one stays in force")
	}
	runners := make([]feed.Runner, 0, len(list.Runners))
	for _, listed := range list.Runners {
		runners = append(runners, feed.Runner{Address: listed.Address, Group: listed.Group, Domain: listed.Domain, State: listed.State})
	}
	return runners, nil
}

// RunnerSource reads the platform's runner list.
type RunnerSource interface {
	// List returns the complete list in any order, or an error if any part of it is missing. An
	// apierror.Error with RetryAfter says when to retry. WarmUpLeft of the runners counts from
	// the call.
	List(ctx context.Context) ([]feed.Runner, error)
}

// configRunnerSource reads the runner list from the address in the config.
type configRunnerSource struct {
	client *http.Client
	url    string
}
