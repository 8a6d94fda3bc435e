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

// unusedResponse is a response that must not begin.
type unusedResponse struct{ t *testing.T }

func (response unusedResponse) Begin(int, http.Header) error {
	response.t.Error("a response began")
	return nil
}

func (unusedResponse) Write([]byte) error { return nil }

// staleSettings are those of a front whose view is not fresh and has one route.
func staleSettings(timeout time.Duration) Settings {
	routing := &config.Routing{Routes: []config.Route{{Name: "lookup", Host: "a.example", Prefix: "/x/", Kind: config.Repeatable, Timeout: config.Duration(timeout)}}}
	notRun := apierror.New(apierror.NotRun, "the view is not confirmed", "ask again")
	return Settings{
		CheckViewFresh: func() error { return notRun },
		AwaitViewFresh: func(ctx context.Context) error {
			<-ctx.Done()
			return notRun
		},
		ActiveConfig: func() ActiveConfig { return ActiveConfig{Routing: routing} },
	}
}

// TestRequestWaitsForViewWithinRouteTimeout: however much time its caller has.
func TestRequestWaitsForViewWithinRouteTimeout(t *testing.T) {
	for _, test := range []struct {
		name          string
		path          string
		timeout, left time.Duration
		maxWait       time.Duration
	}{
		{"the route's timeout is shorter", "/x/1", 300 * time.Millisecond, 10 * time.Second, 300 * time.Millisecond},
		{"the caller's time is shorter", "/x/1", 10 * time.Second, 300 * time.Millisecond, 300 * time.Millisecond},
		{"no route is known", "/y/1", 300 * time.Millisecond, time.Second, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				forwarder := New(staleSettings(test.timeout))
				defer forwarder.Close()
				startedAt := time.Now()
				request := &Request{Name: "q", Host: "a.example", Path: test.path, ReceivedAt: startedAt, Deadline: startedAt.Add(test.left)}
				err := forwarder.Serve(t.Context(), request, unusedResponse{t})
				if took := time.Since(startedAt); !apierror.Is(err, apierror.NotRun) || took > test.maxWait {
					t.Fatalf("rejected after %s, want %s at most: %v", took, test.maxWait, err)
				}
			})
		})
	}
}
