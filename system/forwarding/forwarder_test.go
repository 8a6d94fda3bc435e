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

// unusedResponse is an answer that must not begin.
type unusedResponse struct{ t *testing.T }

func (answer unusedResponse) Begin(int, http.Header) error {
	answer.t.Error("an answer began")
	return nil
}
func (answer unusedResponse) Write([]byte) error { return nil }

// staleSettings is a front whose view is not confirmed, with one route in it.
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

// TestRequestWaitsForViewWithinRouteTimeout, however much time its caller has.
func TestRequestWaitsForViewWithinRouteTimeout(t *testing.T) {
	for _, one := range []struct {
		name          string
		path          string
		timeout, left time.Duration
		most          time.Duration
	}{
		{"the route's timeout is shorter", "/x/1", 300 * time.Millisecond, 10 * time.Second, 300 * time.Millisecond},
		{"the caller's time is shorter", "/x/1", 10 * time.Second, 300 * time.Millisecond, 300 * time.Millisecond},
		{"no route is known", "/y/1", 300 * time.Millisecond, time.Second, time.Second},
	} {
		t.Run(one.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				forwarder := New(staleSettings(one.timeout))
				defer forwarder.Close()
				began := time.Now()
				query := &Request{Name: "q", Host: "a.example", Path: one.path, ReceivedAt: began, Deadline: began.Add(one.left)}
				err := forwarder.Serve(t.Context(), query, unusedResponse{t})
				if took := time.Since(began); !apierror.Is(err, apierror.NotRun) || took > one.most {
					t.Fatalf("refused after %s, want %s at most: %v", took, one.most, err)
				}
			})
		})
	}
}
