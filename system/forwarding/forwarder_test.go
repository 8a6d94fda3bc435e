package forwarding

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
)

// unusedResponse fails the test if a response begins.
type unusedResponse struct{ t *testing.T }

func (response unusedResponse) Begin(int, http.Header) error {
	response.t.Error("unexpected response")
	return nil
}

func (unusedResponse) Write([]byte) error { return nil }

// staleSettings returns the settings of a front with one route whose view never becomes fresh.
func staleSettings(timeout time.Duration) Settings {
	routing := &config.Routing{Routes: []config.Route{{Name: "lookup", Host: "a.example", Prefix: "/x/", Kind: config.Repeatable, Timeout: config.Duration(timeout)}}}
	notRun := apierror.New(apierror.NotRun, "the view is not fresh", "retry")
	return Settings{
		CheckViewFresh: func() error { return notRun },
		AwaitViewFresh: func(ctx context.Context) error {
			<-ctx.Done()
			return notRun
		},
		CurrentConfig: func() CurrentConfig { return CurrentConfig{Routing: routing} },
	}
}

// TestRequestWaitsForViewWithinRouteTimeout checks that the wait for a fresh view is bounded by
// the route's timeout and by the caller's deadline, whichever is earlier.
func TestRequestWaitsForViewWithinRouteTimeout(t *testing.T) {
	for _, test := range []struct {
		name                   string
		path                   string
		timeout, untilDeadline time.Duration
		maxWait                time.Duration
	}{
		{"route timeout is shorter", "/x/1", 300 * time.Millisecond, 10 * time.Second, 300 * time.Millisecond},
		{"caller deadline is shorter", "/x/1", 10 * time.Second, 300 * time.Millisecond, 300 * time.Millisecond},
		{"no route matches", "/y/1", 300 * time.Millisecond, time.Second, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				forwarder := New(staleSettings(test.timeout))
				defer forwarder.Close()
				startedAt := time.Now()
				request := &Request{ID: "q", Host: "a.example", Path: test.path, ReceivedAt: startedAt, Deadline: startedAt.Add(test.untilDeadline)}
				err := forwarder.Serve(t.Context(), request, unusedResponse{t})
				if took := time.Since(startedAt); !apierror.Is(err, apierror.NotRun) || took > test.maxWait {
					t.Fatalf("rejected after %s, want at most %s: %v", took, test.maxWait, err)
				}
			})
		})
	}
}
