package runnerpool

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
)

func mustSend(t *testing.T, pool *Pool, id string, changes ...func(*Request)) {
	t.Helper()
	if _, body, err := sendAndRead(t, pool, testRequest(id, changes...)); body != "fine" || err != nil {
		t.Fatalf("%s got %q, %v", id, body, err)
	}
}

// openResponses sends requests whose responses stay open. Each of the returned functions
// reads and closes one.
func openResponses(t *testing.T, pool *Pool, count int) []func() {
	t.Helper()
	closers := []func(){}
	for number := range count {
		response, err := pool.Send(t.Context(), testRequest(fmt.Sprint("held", number)))
		if err != nil {
			t.Fatal(err)
		}
		closers = append(closers, func() {
			io.Copy(io.Discard, response)
			response.Close()
			response.Close()
		})
	}
	return closers
}

func TestIdleConnectionsAreReusedLastInFirstOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runner := newScriptedRunner(repeat(ok("fine"), 99))
		pool := New(runner, testHeaders)
		defer pool.Close()
		for _, closeResponse := range openResponses(t, pool, 3) {
			closeResponse()
		}
		if stats := pool.Stats(); stats != (Stats{Dials: 3, Idle: 3}) {
			t.Errorf("stats %+v", stats)
		}
		for number := range 5 {
			mustSend(t, pool, fmt.Sprint("q", number))
			if got := runner.received()[3+number].connection; got != 2 {
				t.Errorf("connection %d was used", got)
			}
		}
		if stats := pool.Stats(); stats != (Stats{Dials: 3, Reuses: 5, Idle: 3}) {
			t.Errorf("stats %+v", stats)
		}
	})
}

func TestConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runner := newScriptedRunner(repeat(ok("fine"), 99))
		pool := New(runner, testHeaders)
		defer pool.Close()
		closers := openResponses(t, pool, 4)
		_, err := pool.Send(t.Context(), testRequest("q1"))
		if got := failureOf(err); got != (failure{kind: apierror.Unavailable, neverSent: true}) || runner.dials != 4 {
			t.Errorf("got %v after %d dials", err, runner.dials)
		}
		other := func(request *Request) { request.Runner = feed.Runner{Address: "10.0.0.10:8080", Incarnation: "life-2"} }
		mustSend(t, pool, "q2", other)
		closers[0]()
		mustSend(t, pool, "q3")
		if runner.dials != 5 {
			t.Errorf("%d dials", runner.dials)
		}
		// With a lower limit, excess connections are closed when they are returned.
		fewer := func(request *Request) { request.MaxConnections = 2 }
		mustSend(t, pool, "q4", fewer)
		for _, closeResponse := range closers[1:] {
			closeResponse()
		}
		if stats := pool.Stats(); stats.Idle != 3 || stats.InUse != 0 {
			t.Errorf("stats %+v", stats)
		}
		// A limit of 0 counts as 1.
		pool.Retain(nil)
		mustSend(t, pool, "q5", func(request *Request) { request.MaxConnections = 0 })
	})
}

func TestIdleTimeoutStaysBelowKeepAlive(t *testing.T) {
	for name, test := range map[string]struct {
		headers          string
		longest          time.Duration // time that a connection is kept idle
		previousRequests int           // earlier requests, each after half of that time
	}{
		"announced":     {"Keep-Alive: timeout=8, max=9", 5750 * time.Millisecond, 0},
		"short":         {"Keep-Alive: timeout=1", 500 * time.Millisecond, 0},
		"not announced": {"Seal: x", defaultIdleTimeout, 0},
		"malformed":     {"Keep-Alive: timeout=soon", defaultIdleTimeout, 0},
		"renewed":       {"Keep-Alive: timeout=8", 5750 * time.Millisecond, 3},
		"long":          {"Keep-Alive: timeout=1000", 750*time.Second - 250*time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			for _, late := range []bool{false, true} {
				synctest.Test(t, func(t *testing.T) {
					runner := newScriptedRunner(repeat(okWith(test.headers, "fine"), 99))
					pool := New(runner, testHeaders)
					defer pool.Close()
					mustSend(t, pool, "q1")
					for range test.previousRequests {
						time.Sleep(test.longest / 2)
						mustSend(t, pool, "q")
					}
					wait, dials := test.longest-time.Millisecond, 1
					if late {
						wait, dials = test.longest, 2
					}
					time.Sleep(wait)
					mustSend(t, pool, "q2", func(request *Request) { request.MaxConnections = 1 })
					if runner.dials != dials {
						t.Errorf("%d connections after %v", runner.dials, wait)
					}
				})
			}
		})
	}
}

func TestSweepClosesIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runner := newScriptedRunner(repeat(ok("fine"), 9))
		pool := New(runner, testHeaders)
		defer pool.Close()
		closers := openResponses(t, pool, 2)
		closers[0]()
		time.Sleep(defaultIdleTimeout / 2)
		closers[1]()
		time.Sleep(defaultIdleTimeout/2 + time.Second)
		synctest.Wait()
		if !runner.runnerEnds[0].closed() || runner.runnerEnds[1].closed() || pool.Stats().Idle != 1 {
			t.Error("want only the first connection closed")
		}
		time.Sleep(defaultIdleTimeout / 2)
		synctest.Wait()
		if !runner.runnerEnds[1].closed() || pool.Stats().Idle != 0 {
			t.Error("the second connection is still open")
		}
		mustSend(t, pool, "q1")
		time.Sleep(defaultIdleTimeout + time.Second)
		synctest.Wait()
		if !runner.runnerEnds[2].closed() {
			t.Error("the sweep was not scheduled again after all connections had expired")
		}
	})
}

func TestRetainClosesConnectionsToOtherIncarnations(t *testing.T) {
	incarnation := func(name string) func(*Request) { return func(request *Request) { request.Runner.Incarnation = name } }
	for name, test := range map[string]struct {
		first  string
		retain func(pool *Pool)
		second string
		dials  int
	}{
		"same incarnation":           {"a", func(pool *Pool) { pool.Retain([]feed.Runner{{Address: "10.0.0.9:8080", Incarnation: "a"}}) }, "a", 1},
		"listed without incarnation": {"a", func(pool *Pool) { pool.Retain([]feed.Runner{{Address: "10.0.0.9:8080"}}) }, "a", 1},
		"incarnation becomes known":  {"", func(pool *Pool) { pool.Retain([]feed.Runner{{Address: "10.0.0.9:8080", Incarnation: "a"}}) }, "a", 1},
		"two incarnations, one matches": {"a", func(pool *Pool) {
			pool.Retain([]feed.Runner{{Address: "10.0.0.9:8080", Incarnation: "a"}, {Address: "10.0.0.9:8080", Incarnation: "b"}})
		}, "a", 1},
		"other incarnation":             {"a", func(pool *Pool) { pool.Retain([]feed.Runner{{Address: "10.0.0.9:8080", Incarnation: "b"}}) }, "b", 2},
		"no longer listed":              {"a", func(pool *Pool) { pool.Retain([]feed.Runner{{Address: "10.0.0.7:8080", Incarnation: "a"}}) }, "a", 2},
		"other incarnation, no Retain":  {"a", func(*Pool) {}, "b", 2},
		"incarnation no longer known":   {"a", func(*Pool) {}, "", 1},
		"removed, then requested again": {"a", func(pool *Pool) { pool.Retain(nil) }, "a", 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runner := newScriptedRunner(repeat(ok("fine"), 9))
				pool := New(runner, testHeaders)
				defer pool.Close()
				mustSend(t, pool, "q1", incarnation(test.first))
				test.retain(pool)
				mustSend(t, pool, "q2", incarnation(test.second))
				synctest.Wait()
				if runner.dials != test.dials || runner.runnerEnds[0].closed() != (test.dials == 2) {
					t.Errorf("%d dials", runner.dials)
				}
				if stats := pool.Stats(); stats.Idle != 1 || stats.InUse != 0 {
					t.Errorf("stats %+v", stats)
				}
			})
		})
	}
}

func TestIncarnationBecomesKnownAndChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runner := newScriptedRunner(repeat(ok("fine"), 9))
		pool := New(runner, testHeaders)
		defer pool.Close()
		for number, incarnation := range []string{"", "a", "", "b"} {
			mustSend(t, pool, fmt.Sprint("q", number), func(request *Request) { request.Runner.Incarnation = incarnation })
		}
		if got := runner.received(); got[2].connection != 0 || got[3].connection != 1 {
			t.Errorf("connections %d and %d", got[2].connection, got[3].connection)
		}
	})
}

func TestRemovedRunnerFinishesInFlightRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runner := newScriptedRunner(repeat(ok("fine"), 9))
		pool := New(runner, testHeaders)
		defer pool.Close()
		response, err := pool.Send(t.Context(), testRequest("q1"))
		if err != nil {
			t.Fatal(err)
		}
		pool.Retain(nil)
		if body, err := io.ReadAll(response); string(body) != "fine" || err != nil {
			t.Errorf("got %q, %v", body, err)
		}
		response.Close()
		synctest.Wait()
		if !runner.runnerEnds[0].closed() || pool.Stats() != (Stats{Dials: 1}) {
			t.Errorf("its connection is still open, stats %+v", pool.Stats())
		}
	})
}

func TestUnreadResponseClosesConnection(t *testing.T) {
	for name, bytes := range map[string]int{"unread": 0, "read in part": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runner := newScriptedRunner(repeat(ok("fine"), 9))
				pool := New(runner, testHeaders)
				defer pool.Close()
				response, err := pool.Send(t.Context(), testRequest("q1"))
				if err != nil {
					t.Fatal(err)
				}
				io.ReadFull(response, make([]byte, bytes))
				response.Close()
				synctest.Wait()
				if !runner.runnerEnds[0].closed() || pool.Stats() != (Stats{Dials: 1}) {
					t.Errorf("its connection is still open, stats %+v", pool.Stats())
				}
				if _, err := response.Read(make([]byte, 1)); !apierror.Is(err, apierror.Cancelled) {
					t.Errorf("a closed response gives %v", err)
				}
			})
		})
	}
}

func TestClosedPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runner := newScriptedRunner(repeat(ok("fine"), 9))
		pool := New(runner, testHeaders)
		closers := openResponses(t, pool, 2)
		closers[0]()
		pool.Close()
		synctest.Wait()
		if !runner.runnerEnds[0].closed() || runner.runnerEnds[1].closed() {
			t.Error("want only the idle connection closed")
		}
		closers[1]()
		if _, err := pool.Send(t.Context(), testRequest("q1")); failureOf(err) != (failure{kind: apierror.Unavailable, neverSent: true}) {
			t.Errorf("a closed pool gives %v", err)
		}
		if pool.Stats() != (Stats{Dials: 2}) {
			t.Errorf("stats %+v", pool.Stats())
		}
		pool.Close()
	})
}

// TestConcurrentRequests checks by the echoed bodies that no response is returned for the
// wrong request.
func TestConcurrentRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runner := newScriptedRunner(nil)
		runner.network.serve = echo
		pool := New(runner, testHeaders)
		defer pool.Close()
		done := make(chan struct{})
		for worker := range 16 {
			go func() {
				defer func() { done <- struct{}{} }()
				for number := range 50 {
					id := fmt.Sprintf("q%d-%d", worker, number)
					_, body, err := sendAndRead(t, pool, testRequest(id, func(request *Request) {
						request.Body, request.MaxConnections = [][]byte{[]byte(id)}, 8
						request.Runner.Address = fmt.Sprint("10.0.0.", number%3, ":8080")
					}))
					if err == nil && body != id || err != nil && failureOf(err) != (failure{kind: apierror.Unavailable, neverSent: true}) {
						t.Errorf("%s got %q, %v", id, body, err)
					}
					if number%10 == 0 {
						pool.Retain([]feed.Runner{{Address: "10.0.0.1:8080"}})
					}
				}
			}()
		}
		for range 16 {
			<-done
		}
		if stats := pool.Stats(); stats.InUse != 0 || stats.Dials < 3 || stats.Reuses == 0 {
			t.Errorf("stats %+v", stats)
		}
	})
}
