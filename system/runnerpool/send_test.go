package runnerpool

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"yardrock.example/system/apierror"
)

func TestDialFailures(t *testing.T) {
	for name, test := range map[string]struct {
		fail   func(ctx context.Context) error
		within time.Duration // time until the deadline; 0: 10 s
		want   failure
		after  time.Duration
	}{
		"connection refused":                 {fail: func(context.Context) error { return fmt.Errorf("dial: %w", syscall.ECONNREFUSED) }, want: failure{kind: apierror.Unavailable, neverSent: true, lost: true, connectionRefused: true}},
		"connection refused, short deadline": {fail: func(context.Context) error { return syscall.ECONNREFUSED }, within: 100 * time.Millisecond, want: failure{kind: apierror.Unavailable, neverSent: true, lost: true, connectionRefused: true}},
		"reset":                              {fail: func(context.Context) error { return syscall.ECONNRESET }, want: failure{kind: apierror.Unavailable, neverSent: true, lost: true}},
		"dial hangs":                         {fail: func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }, want: failure{kind: apierror.Unavailable, neverSent: true, lost: true}, after: dialTimeout},
		"dial hangs, short deadline":         {fail: func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }, within: 100 * time.Millisecond, want: failure{kind: apierror.Unavailable, neverSent: true}, after: 100 * time.Millisecond},
		"deadline already passed":            {fail: func(context.Context) error { return errors.New("dialled after the deadline") }, within: -time.Second, want: failure{kind: apierror.Unavailable, neverSent: true}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runner := newScriptedRunner(nil)
				runner.fail = test.fail
				pool := New(runner, testHeaders)
				defer pool.Close()
				began := time.Now()
				_, _, err := sendAndRead(t, pool, testRequest("q1", func(request *Request) {
					if test.within != 0 {
						request.Deadline = time.Now().Add(test.within)
					}
				}))
				if got := failureOf(err); got != test.want {
					t.Errorf("got %v", err)
				}
				if time.Since(began) != test.after || pool.Stats() != (Stats{}) {
					t.Errorf("after %v, stats %+v", time.Since(began), pool.Stats())
				}
			})
		})
	}
}

func TestBeforeSendRunsBeforeFirstByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runner := newScriptedRunner(repeat(ok("fine"), 9))
		pool := New(runner, testHeaders)
		defer pool.Close()
		calls := 0
		accepted := testRequest("q1", func(request *Request) {
			request.BeforeSend = func() error {
				if calls++; len(runner.received()) != calls-1 {
					t.Error("the request was sent before BeforeSend")
				}
				return nil
			}
		})
		for range 2 {
			if _, _, err := sendAndRead(t, pool, accepted); err != nil {
				t.Fatal(err)
			}
		}
		for _, kept := range []error{apierror.NewRetryable(apierror.NotRun, "the runner left", "choose another", time.Second), errors.New("untyped")} {
			rejected := testRequest("q3", func(request *Request) { request.BeforeSend = func() error { return kept } })
			_, _, err := sendAndRead(t, pool, rejected)
			if found := apierror.Of(err); !found.NeverSent || found.Lost || found.Kind != apierror.Of(kept).Kind || found.RetryAfter != apierror.Of(kept).RetryAfter {
				t.Errorf("got %v", err)
			}
			if apierror.Of(kept).NeverSent {
				t.Error("the error of BeforeSend was modified")
			}
		}
		// The same on a new connection; the unused connection is kept.
		pool.Retain(nil)
		_, _, err := sendAndRead(t, pool, testRequest("q4", func(request *Request) { request.BeforeSend = func() error { return errors.New("no") } }))
		if err == nil || len(runner.received()) != 2 {
			t.Errorf("%v, %d requests were sent", err, len(runner.received()))
		}
		if stats := pool.Stats(); stats != (Stats{Dials: 2, Reuses: 1, Idle: 1}) {
			t.Errorf("stats %+v", stats)
		}
	})
}

func TestTimeoutAndCancellation(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		cancel   bool // the caller cancels after a second
		body     string
		send     failure
		read     failure
		after    time.Duration
	}{
		"silent until the deadline":              {response: "", send: failure{kind: apierror.Unknown}, after: 10 * time.Second},
		"silent, cancelled":                      {response: "", cancel: true, send: failure{kind: apierror.Cancelled}, after: time.Second},
		"silent in the body":                     {response: "HTTP/1.1 200 OK\r\nQuery-Name: NAME\r\nContent-Length: 9\r\n\r\nfine", body: "fine", read: failure{kind: apierror.Unknown}, after: 10 * time.Second},
		"silent in the body, cancelled":          {response: "HTTP/1.1 200 OK\r\nQuery-Name: NAME\r\nContent-Length: 9\r\n\r\nfine", body: "fine", cancel: true, read: failure{kind: apierror.Cancelled}, after: time.Second},
		"silent in a chunk":                      {response: "HTTP/1.1 200 OK\r\nQuery-Name: NAME\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nfine", body: "fine", read: failure{kind: apierror.Unknown}, after: 10 * time.Second},
		"silent in the body of a stray response": {response: "HTTP/1.1 200 OK\r\nQuery-Name: q0\r\nContent-Length: 9\r\n\r\nfine", send: failure{kind: apierror.Unknown}, after: 10 * time.Second},
		"silent in the body of a rejection":      {response: "HTTP/1.1 503 Full\r\nQuery-Name: NAME\r\nNot-Run: 1\r\nContent-Length: 9\r\n\r\nfu", send: failure{kind: apierror.NotRun}, after: rejectionTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runner := newScriptedRunner([]string{test.response})
				pool := New(runner, testHeaders)
				defer pool.Close()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if test.cancel {
					time.AfterFunc(time.Second, cancel)
				}
				began := time.Now()
				response, err := pool.Send(ctx, testRequest("q1"))
				if got := failureOf(err); got != test.send {
					t.Fatalf("Send returned %v", err)
				}
				if err == nil {
					body, err := io.ReadAll(response)
					if got := failureOf(err); string(body) != test.body || got != test.read {
						t.Errorf("got %q, %v", body, err)
					}
					response.Close()
				}
				if time.Since(began) != test.after {
					t.Errorf("it took %v", time.Since(began))
				}
				synctest.Wait()
				if !runner.runnerEnds[0].closed() || pool.Stats() != (Stats{Dials: 1}) {
					t.Errorf("the connection is still open: %+v", pool.Stats())
				}
			})
		})
	}
}

func TestLateCancellationDoesNotAffectNextRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runner := newScriptedRunner(repeat(ok("fine"), 9))
		pool := New(runner, testHeaders)
		defer pool.Close()
		ctx, cancel := context.WithCancel(t.Context())
		response, err := pool.Send(ctx, testRequest("q1"))
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, response)
		response.Close()
		cancel()
		synctest.Wait()
		if _, body, err := sendAndRead(t, pool, testRequest("q2")); body != "fine" || err != nil || runner.dials != 1 {
			t.Errorf("got %q, %v over %d connections", body, err, runner.dials)
		}
		if _, err := pool.Send(ctx, testRequest("q3")); failureOf(err) != (failure{kind: apierror.Cancelled, neverSent: true}) {
			t.Errorf("Send with an ended context returned %v", err)
		}
	})
}

// TestCancellationAtAnyTime cancels the context at several points of a request.
func TestCancellationAtAnyTime(t *testing.T) {
	for name, test := range map[string]struct {
		whileDialing, inBeforeSend, afterBody bool
		want                                  failure
		requested                             int
	}{
		"while dialling":              {whileDialing: true, want: failure{kind: apierror.Cancelled, neverSent: true}},
		"in BeforeSend":               {inBeforeSend: true, want: failure{kind: apierror.Invalid, neverSent: true}},
		"when the whole body is read": {afterBody: true, requested: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				cancelIf := func(now bool) {
					if now {
						cancel()
						synctest.Wait()
					}
				}
				runner := newScriptedRunner(repeat(ok("fine"), 9))
				pool := New(dialHook{runner, func() { cancelIf(test.whileDialing) }}, testHeaders)
				defer pool.Close()
				response, err := pool.Send(ctx, testRequest("q1", func(request *Request) {
					request.BeforeSend = func() error {
						if cancelIf(test.inBeforeSend); test.inBeforeSend {
							return apierror.New(apierror.Invalid, "kept back", "none")
						}
						return nil
					}
				}))
				if got := failureOf(err); got != test.want {
					t.Errorf("got %v", err)
				}
				if err == nil {
					if body, err := io.ReadAll(response); string(body) != "fine" || err != nil {
						t.Errorf("got %q, %v", body, err)
					}
					cancelIf(test.afterBody)
					response.Close()
				}
				synctest.Wait()
				if kept := pool.Stats().Idle == 1; len(runner.received()) != test.requested || kept != test.whileDialing || kept == runner.runnerEnds[0].closed() {
					t.Errorf("%d requests arrived, stats %+v", len(runner.received()), pool.Stats())
				}
				cancel()
			})
		})
	}
}

// TestRequestWithoutID covers requests without an ID, such as health checks.
func TestRequestWithoutID(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		body     string
		want     failure
	}{
		"response without an ID": {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine", "fine", failure{}},
		"stray response first":   {"HTTP/1.1 200 OK\r\nQuery-Name: q1\r\nContent-Length: 4\r\n\r\nlate" + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine", "fine", failure{}},
		"stray response only":    {"HTTP/1.1 200 OK\r\nQuery-Name: q1\r\nContent-Length: 4\r\n\r\nlate|CLOSE", "", failure{kind: apierror.RunnerFailure, lost: true}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runner := newScriptedRunner([]string{test.response})
				pool := New(runner, testHeaders)
				defer pool.Close()
				_, body, err := sendAndRead(t, pool, testRequest(""))
				if got := failureOf(err); got != test.want || body != test.body {
					t.Errorf("got %q, %v", body, err)
				}
			})
		})
	}
}
