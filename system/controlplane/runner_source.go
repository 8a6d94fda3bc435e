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

func newConfigRunnerSource(network link.Network) configRunnerSource {
	return configRunnerSource{client: &http.Client{Timeout: runnerListTimeout, Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return network.Dial(ctx, address) },
	}}}
}

type runnerListDocument struct {
	Runners []struct {
		Address string `json:"address"`
		Group   string `json:"group"`
		Domain  string `json:"domain"`
		State   string `json:"state"`
	} `json:"runners"`
}

const maxRunnerListBytes = 4 << 20

// List asks once for the whole list.
func (source *configRunnerSource) List(ctx context.Context) ([]feed.Runner, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, source.url, nil)
	if err != nil {
		return nil, apierror.New(apierror.Invalid, "the runner list's address cannot be used: "+err.Error(), "correct platform.runner_list in the config")
	}
	response, err := source.client.Do(request)
	if err != nil {
		return nil, apierror.New(apierror.Unavailable, "the runner list cannot be reached: "+err.Error(), "check platform.runner_list in the config; the last list stays in force")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
		return nil, apierror.NewRetryable(apierror.Unavailable, fmt.Sprintf("the runner list answered %d", response.StatusCode), "ask again later; the last list stays in force", time.Duration(seconds)*time.Second)
	}
	var list runnerListDocument
	if err := json.NewDecoder(io.LimitReader(response.Body, maxRunnerListBytes)).Decode(&list); err != nil {
		return nil, apierror.New(apierror.Invalid, "the runner list cannot be read: "+err.Error(), "mend the list; the last one stays in force")
	}
	runners := make([]feed.Runner, 0, len(list.Runners))
	for _, listed := range list.Runners {
		runners = append(runners, feed.Runner{Address: listed.Address, Group: listed.Group, Domain: listed.Domain, State: listed.State})
	}
	return runners, nil
}

// RunnerSource gives the platform's whole list of runners, in any order. It gives no
// part of a list: where a page is missing, it fails. A failure with RetryAfter tells
// when to ask again. WarmUpLeft counts from the reading.
type RunnerSource interface {
	List(ctx context.Context) ([]feed.Runner, error)
}

// configRunnerSource reads the list that the config names.
type configRunnerSource struct {
	client *http.Client
	url    string
}
