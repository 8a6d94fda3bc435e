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

func mustSend(t *testing.T, pool *Pool, name string, changes ...func(*Request)) {
	t.Helper()
	if _, body, err := sendAndRead(t, pool, testRequest(name, changes...)); body != "fine" || err != nil {
		t.Fatalf("%s got %q, %v", name, body, err)
	}
}

// openResponses sends requests whose responses stay open; the functions returned read and
// close one each.
func openResponses(t *testing.T, pool *Pool, count int) []func() {
	t.Helper()
	ends := []func(){}
	for number := range count {
		response, err := pool.Send(t.Context(), testRequest(fmt.Sprint("held", number)))
		if err != nil {
			t.Fatal(err)
		}
		ends = append(ends, func() {
			io.Copy(io.Discard, response)
			response.Close()
			response.Close()
		})
	}
	return ends
}

func TestIdleConnectionsAreReusedLastInFirstOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runner := newScriptedRunner(repeat(ok("fine"), 99))
		pool := New(runner, testHeaders)
		defer pool.Close()
		for _, end := range openResponses(t, pool, 3) {
			end()
		}
		if stats := pool.Stats(); stats != (Stats{Dials: 3, Idle: 3}) {
			t.Errorf("stats %+v", stats)
		}
		for number := range 5 {
			mustSend(t, pool, fmt.Sprint("q", number))
			if got := runner.got()[3+number].connection; got != 2 {
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
		ends := openResponses(t, pool, 4)
		_, err := pool.Send(t.Context(), testRequest("q1"))
		if got := failureOf(err); got != (failure{kind: apierror.Unavailable, neverSent: true}) || runner.dials != 4 {
			t.Errorf("got %v after %d dials", err, runner.dials)
		}
		other := func(request *Request) { request.Runner = feed.Runner{Address: "10.0.0.10:8080", Life: "life-2"} }
		mustSend(t, pool, "q2", other)
		ends[0]()
		mustSend(t, pool, "q3")
		if runner.dials != 5 {
			t.Errorf("%d dials", runner.dials)
		}
		// Fewer are allowed now: those beyond the limit are closed when they come back.
		fewer := func(request *Request) { request.MaxConnections = 2 }
		mustSend(t, pool, "q4", fewer)
		for _, end := range ends[1:] {
			end()
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
		headers  string
		longest  time.Duration // for which a connection is kept idle
		answered int           // requests before, each after half of the time
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
					for range test.answered {
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
		ends := openResponses(t, pool, 2)
		ends[0]()
		time.Sleep(defaultIdleTimeout / 2)
		ends[1]()
		time.Sleep(defaultIdleTimeout/2 + time.Second)
		synctest.Wait()
		if !runner.made[0].closed() || runner.made[1].closed() || pool.Stats().Idle != 1 {
			t.Error("not just the first connection has ended")
		}
		time.Sleep(defaultIdleTimeout / 2)
		synctest.Wait()
		if !runner.made[1].closed() || pool.Stats().Idle != 0 {
			t.Error("the second connection has not ended")
		}
		mustSend(t, pool, "q1")
		time.Sleep(defaultIdleTimeout + time.Second)
		synctest.Wait()
		if !runner.made[2].closed() {
			t.Error("after a pause, connections do not end any more")
		}
	})
}

// TestIdleConnectionWithUnreadInputIsDiscarded: whatever a runner does to an idle
// connection, the next request goes over another one.
func TestIdleConnectionWithUnreadInputIsDiscarded(t *testing.T) {
	for name, do := range map[string]func(connection *end){
		"closed":         func(connection *end) { connection.Close() },
		"reset":          func(connection *end) { connection.reset() },
		"one byte":       func(connection *end) { io.WriteString(connection, "x") },
		"whole response": func(connection *end) { io.WriteString(connection, ok("late")) },
		"timeout status": func(connection *end) {
			io.WriteString(connection, "HTTP/1.1 408 Request Timeout\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
			connection.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runner := newScriptedRunner(repeat(ok("fine"), 9))
				pool := New(runner, testHeaders)
				defer pool.Close()
				mustSend(t, pool, "q1")
				synctest.Wait()
				do(runner.made[0])
				mustSend(t, pool, "q2")
				synctest.Wait()
				if got := runner.got(); len(got) != 2 || got[1].connection != 1 || pool.Stats() != (Stats{Dials: 2, Idle: 1}) {
					t.Errorf("%d requests, stats %+v", len(got), pool.Stats())
				}
			})
		})
	}
}

// TestRunnerIdleTimeoutIsLearnt: the runner closes connections that were idle for 600 ms
// and does not announce it.
func TestRunnerIdleTimeoutIsLearnt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runner := newScriptedRunner(repeat(ok("fine"), 99))
		pool := New(runner, testHeaders)
		defer pool.Close()
		mustSend(t, pool, "q1")
		time.Sleep(600 * time.Millisecond)
		runner.made[0].Close()
		mustSend(t, pool, "q2")
		time.Sleep(299 * time.Millisecond)
		mustSend(t, pool, "q3")
		if runner.dials != 2 {
			t.Errorf("%d dials: a connection was not kept", runner.dials)
		}
		time.Sleep(300 * time.Millisecond)
		mustSend(t, pool, "q4")
		if runner.dials != 3 || !runner.made[1].closed() {
			t.Errorf("%d dials: a connection was kept too long", runner.dials)
		}
		// A connection that is closed at once or reset shows a fault and no idle timeout.
		time.Sleep(minIdleTimeout - 1)
		runner.made[2].Close()
		mustSend(t, pool, "q5")
		time.Sleep(minIdleTimeout)
		runner.made[3].reset()
		mustSend(t, pool, "q6")
		time.Sleep(299 * time.Millisecond)
		mustSend(t, pool, "q7")
		if runner.dials != 5 {
			t.Errorf("%d dials", runner.dials)
		}
		// The timeout never becomes too short to be of use.
		time.Sleep(299 * time.Millisecond)
		runner.made[4].Close()
		mustSend(t, pool, "q8")
		time.Sleep(minIdleTimeout - 1)
		mustSend(t, pool, "q9")
		if runner.dials != 6 {
			t.Errorf("%d dials", runner.dials)
		}
	})
}

// TestReusedConnectionFailures covers what the idle check cannot find.
func TestReusedConnectionFailures(t *testing.T) {
	for name, test := range map[string]struct {
		second string // response on the reused connection
		want   failure
		body   string
		dials  int
	}{
		"closed after the request came":   {"|CLOSE", failure{kind: apierror.RunnerFailure, lost: true}, "", 1},
		"reset after the request came":    {"|RESET", failure{kind: apierror.RunnerFailure, lost: true}, "", 1},
		"closed in the head":              {"HTTP/1.1 2|CLOSE", failure{kind: apierror.RunnerFailure, lost: true}, "", 1},
		"rejected without an ID":          {"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", failure{kind: apierror.RunnerFailure, lost: true}, "", 1},
		"misdirected without an ID":       {"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n", failure{kind: apierror.RunnerFailure, lost: true}, "", 1},
		"failure without an ID":           {"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", failure{kind: apierror.RunnerFailure, lost: true}, "", 1},
		"late response to the one before": {"HTTP/1.1 200 OK\r\nQuery-Name: q1\r\nContent-Length: 4\r\n\r\nlate" + ok("fine"), failure{}, "fine", 1},
		"late response in chunks":         {"HTTP/1.1 200 OK\r\nQuery-Name: q1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n\r\n" + ok("fine"), failure{}, "fine", 1},
		"late rejection":                  {"HTTP/1.1 503 Full\r\nQuery-Name: q1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n" + ok("fine"), failure{}, "fine", 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runner := newScriptedRunner([]string{ok("fine"), test.second, ok("third")}, []string{ok("fine")})
				pool := New(runner, testHeaders)
				defer pool.Close()
				mustSend(t, pool, "q1")
				_, body, err := sendAndRead(t, pool, testRequest("q2"))
				if got := failureOf(err); got != test.want || body != test.body {
					t.Errorf("got %q, %v", body, err)
				}
				if runner.dials != test.dials || pool.Stats().Idle != 0 || len(runner.got()) != 2 {
					t.Errorf("%d dials, %d requests, stats %+v", runner.dials, len(runner.got()), pool.Stats())
				}
			})
		})
	}
}

// TestReusedConnectionThatAcceptsNoByte: the idle check did not notice that the connection
// is dead, and the request goes over the next one.
func TestReusedConnectionThatAcceptsNoByte(t *testing.T) {
	for _, body := range []int{0, 100, 3 * singleWriteBytes} {
		synctest.Test(t, func(t *testing.T) {
			runner := newScriptedRunner(repeat(ok("fine"), 9))
			pool := New(undetectedNetwork{runner}, testHeaders)
			defer pool.Close()
			for _, end := range openResponses(t, pool, 3) {
				end()
			}
			for _, made := range runner.made {
				made.reset()
			}
			looks := 0
			mustSend(t, pool, "q1", func(request *Request) {
				request.Body = [][]byte{make([]byte, body)}
				request.BeforeSend = func() error { looks++; return nil }
			})
			if runner.dials != 4 || looks != 4 || len(runner.got()) != 4 {
				t.Errorf("%d dials, %d calls of BeforeSend, %d requests", runner.dials, looks, len(runner.got()))
			}
		})
	}
}

// TestNewConnectionThatAcceptsNoByte: such a request is reported as never sent.
func TestNewConnectionThatAcceptsNoByte(t *testing.T) {
	for _, body := range []int{0, 3 * singleWriteBytes} {
		synctest.Test(t, func(t *testing.T) {
			runner := newScriptedRunner(nil)
			runner.network.serve = func(_ int, connection *end) { connection.reset() }
			pool := New(runner, testHeaders)
			defer pool.Close()
			_, err := pool.Send(t.Context(), testRequest("q1", func(request *Request) {
				request.Body = [][]byte{make([]byte, body)}
				request.BeforeSend = func() error { synctest.Wait(); return nil }
			}))
			if got := failureOf(err); got != (failure{kind: apierror.RunnerFailure, neverSent: true, lost: true}) || runner.dials != 1 {
				t.Errorf("got %v after %d dials", err, runner.dials)
			}
			if pool.Stats() != (Stats{Dials: 1}) {
				t.Errorf("stats %+v", pool.Stats())
			}
		})
	}
}

func TestRetainClosesConnectionsToOtherLives(t *testing.T) {
	life := func(name string) func(*Request) { return func(request *Request) { request.Runner.Life = name } }
	for name, test := range map[string]struct {
		first  string
		retain func(pool *Pool)
		second string
		dials  int
	}{
		"same life":          {"a", func(pool *Pool) { pool.Retain([]feed.Runner{{Address: "10.0.0.9:8080", Life: "a"}}) }, "a", 1},
		"same life, unnamed": {"a", func(pool *Pool) { pool.Retain([]feed.Runner{{Address: "10.0.0.9:8080"}}) }, "a", 1},
		"life becomes known": {"", func(pool *Pool) { pool.Retain([]feed.Runner{{Address: "10.0.0.9:8080", Life: "a"}}) }, "a", 1},
		"two lives, one is ours": {"a", func(pool *Pool) {
			pool.Retain([]feed.Runner{{Address: "10.0.0.9:8080", Life: "a"}, {Address: "10.0.0.9:8080", Life: "b"}})
		}, "a", 1},
		"other life":              {"a", func(pool *Pool) { pool.Retain([]feed.Runner{{Address: "10.0.0.9:8080", Life: "b"}}) }, "b", 2},
		"not listed any more":     {"a", func(pool *Pool) { pool.Retain([]feed.Runner{{Address: "10.0.0.7:8080", Life: "a"}}) }, "a", 2},
		"other life, no Retain":   {"a", func(*Pool) {}, "b", 2},
		"life not known any more": {"a", func(*Pool) {}, "", 1},
		"none listed, then again": {"a", func(pool *Pool) { pool.Retain(nil) }, "a", 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runner := newScriptedRunner(repeat(ok("fine"), 9))
				pool := New(runner, testHeaders)
				defer pool.Close()
				mustSend(t, pool, "q1", life(test.first))
				test.retain(pool)
				mustSend(t, pool, "q2", life(test.second))
				synctest.Wait()
				if runner.dials != test.dials || runner.made[0].closed() != (test.dials == 2) {
					t.Errorf("%d dials", runner.dials)
				}
				if stats := pool.Stats(); stats.Idle != 1 || stats.InUse != 0 {
					t.Errorf("stats %+v", stats)
				}
			})
		})
	}
}

func TestLifeBecomesKnownAndChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runner := newScriptedRunner(repeat(ok("fine"), 9))
		pool := New(runner, testHeaders)
		defer pool.Close()
		for number, life := range []string{"", "a", "", "b"} {
			mustSend(t, pool, fmt.Sprint("q", number), func(request *Request) { request.Runner.Life = life })
		}
		if got := runner.got(); got[2].connection != 0 || got[3].connection != 1 {
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
		if !runner.made[0].closed() || pool.Stats() != (Stats{Dials: 1}) {
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
				if !runner.made[0].closed() || pool.Stats() != (Stats{Dials: 1}) {
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
		ends := openResponses(t, pool, 2)
		ends[0]()
		pool.Close()
		synctest.Wait()
		if !runner.made[0].closed() || runner.made[1].closed() {
			t.Error("not just the idle connection has ended")
		}
		ends[1]()
		if _, err := pool.Send(t.Context(), testRequest("q1")); failureOf(err) != (failure{kind: apierror.Unavailable, neverSent: true}) {
			t.Errorf("a closed pool gives %v", err)
		}
		if pool.Stats() != (Stats{Dials: 2}) {
			t.Errorf("stats %+v", pool.Stats())
		}
		pool.Close()
	})
}

// TestConcurrentRequests looks for responses returned for the wrong request; each carries
// its request's body.
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
					name := fmt.Sprintf("q%d-%d", worker, number)
					_, body, err := sendAndRead(t, pool, testRequest(name, func(request *Request) {
						request.Body, request.MaxConnections = [][]byte{[]byte(name)}, 8
						request.Runner.Address = fmt.Sprint("10.0.0.", number%3, ":8080")
					}))
					if err == nil && body != name || err != nil && failureOf(err) != (failure{kind: apierror.Unavailable, neverSent: true}) {
						t.Errorf("%s got %q, %v", name, body, err)
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
