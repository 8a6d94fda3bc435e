package runnerpool

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"yardrock.example/system/apierror"
)

// TestIdleConnectionWithUnreadInputIsDiscarded: whatever a runner does to an idle
// connection, the next request goes over another one.
func TestIdleConnectionWithUnreadInputIsDiscarded(t *testing.T) {
	for name, do := range map[string]func(connection *pipeEnd){
		"closed":         func(connection *pipeEnd) { connection.Close() },
		"reset":          func(connection *pipeEnd) { connection.reset() },
		"one byte":       func(connection *pipeEnd) { io.WriteString(connection, "x") },
		"whole response": func(connection *pipeEnd) { io.WriteString(connection, ok("late")) },
		"timeout status": func(connection *pipeEnd) {
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
				do(runner.runnerEnds[0])
				mustSend(t, pool, "q2")
				synctest.Wait()
				if got := runner.received(); len(got) != 2 || got[1].connection != 1 || pool.Stats() != (Stats{Dials: 2, Idle: 1}) {
					t.Errorf("%d requests, stats %+v", len(got), pool.Stats())
				}
			})
		})
	}
}

// TestRunnerIdleTimeoutIsLearnt: the runner closes connections that were idle for 600 ms
// without announcing a timeout.
func TestRunnerIdleTimeoutIsLearnt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runner := newScriptedRunner(repeat(ok("fine"), 99))
		pool := New(runner, testHeaders)
		defer pool.Close()
		mustSend(t, pool, "q1")
		time.Sleep(600 * time.Millisecond)
		runner.runnerEnds[0].Close()
		mustSend(t, pool, "q2")
		time.Sleep(299 * time.Millisecond)
		mustSend(t, pool, "q3")
		if runner.dials != 2 {
			t.Errorf("%d dials: a connection was not kept", runner.dials)
		}
		time.Sleep(300 * time.Millisecond)
		mustSend(t, pool, "q4")
		if runner.dials != 3 || !runner.runnerEnds[1].closed() {
			t.Errorf("%d dials: a connection was kept too long", runner.dials)
		}
		// A connection that is closed too soon or reset indicates a failure, not a timeout.
		time.Sleep(minIdleTimeout - 1)
		runner.runnerEnds[2].Close()
		mustSend(t, pool, "q5")
		time.Sleep(minIdleTimeout)
		runner.runnerEnds[3].reset()
		mustSend(t, pool, "q6")
		time.Sleep(299 * time.Millisecond)
		mustSend(t, pool, "q7")
		if runner.dials != 5 {
			t.Errorf("%d dials", runner.dials)
		}
		// The learnt timeout has a lower limit.
		time.Sleep(299 * time.Millisecond)
		runner.runnerEnds[4].Close()
		mustSend(t, pool, "q8")
		time.Sleep(minIdleTimeout - 1)
		mustSend(t, pool, "q9")
		if runner.dials != 6 {
			t.Errorf("%d dials", runner.dials)
		}
	})
}

// TestReusedConnectionFailures covers failures that the idle check cannot detect.
func TestReusedConnectionFailures(t *testing.T) {
	for name, test := range map[string]struct {
		secondResponse string // response on the reused connection
		want           failure
		body           string
		dials          int
	}{
		"closed after the request arrived":      {"|CLOSE", failure{kind: apierror.RunnerFailure, lost: true}, "", 1},
		"reset after the request arrived":       {"|RESET", failure{kind: apierror.RunnerFailure, lost: true}, "", 1},
		"closed in the head":                    {"HTTP/1.1 2|CLOSE", failure{kind: apierror.RunnerFailure, lost: true}, "", 1},
		"rejected without an ID":                {"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", failure{kind: apierror.RunnerFailure, lost: true}, "", 1},
		"misdirected without an ID":             {"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n", failure{kind: apierror.RunnerFailure, lost: true}, "", 1},
		"failure without an ID":                 {"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", failure{kind: apierror.RunnerFailure, lost: true}, "", 1},
		"late response to the previous request": {"HTTP/1.1 200 OK\r\nQuery-Name: q1\r\nContent-Length: 4\r\n\r\nlate" + ok("fine"), failure{}, "fine", 1},
		"late response in chunks":               {"HTTP/1.1 200 OK\r\nQuery-Name: q1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n\r\n" + ok("fine"), failure{}, "fine", 1},
		"late rejection":                        {"HTTP/1.1 503 Full\r\nQuery-Name: q1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n" + ok("fine"), failure{}, "fine", 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runner := newScriptedRunner([]string{ok("fine"), test.secondResponse, ok("third")}, []string{ok("fine")})
				pool := New(runner, testHeaders)
				defer pool.Close()
				mustSend(t, pool, "q1")
				_, body, err := sendAndRead(t, pool, testRequest("q2"))
				if got := failureOf(err); got != test.want || body != test.body {
					t.Errorf("got %q, %v", body, err)
				}
				if runner.dials != test.dials || pool.Stats().Idle != 0 || len(runner.received()) != 2 {
					t.Errorf("%d dials, %d requests, stats %+v", runner.dials, len(runner.received()), pool.Stats())
				}
			})
		})
	}
}

// TestReusedConnectionThatAcceptsNoByte: a request is sent on the next connection if the
// idle check did not detect that one is dead.
func TestReusedConnectionThatAcceptsNoByte(t *testing.T) {
	for _, body := range []int{0, 100, 3 * singleWriteBytes} {
		synctest.Test(t, func(t *testing.T) {
			runner := newScriptedRunner(repeat(ok("fine"), 9))
			pool := New(undetectedNetwork{runner}, testHeaders)
			defer pool.Close()
			for _, closeResponse := range openResponses(t, pool, 3) {
				closeResponse()
			}
			for _, made := range runner.runnerEnds {
				made.reset()
			}
			calls := 0
			mustSend(t, pool, "q1", func(request *Request) {
				request.Body = [][]byte{make([]byte, body)}
				request.BeforeSend = func() error { calls++; return nil }
			})
			if runner.dials != 4 || calls != 4 || len(runner.received()) != 4 {
				t.Errorf("%d dials, %d calls of BeforeSend, %d requests", runner.dials, calls, len(runner.received()))
			}
		})
	}
}

// TestNewConnectionThatAcceptsNoByte: a request is reported as never sent if a new
// connection accepts no byte of it.
func TestNewConnectionThatAcceptsNoByte(t *testing.T) {
	for _, body := range []int{0, 3 * singleWriteBytes} {
		synctest.Test(t, func(t *testing.T) {
			runner := newScriptedRunner(nil)
			runner.network.serve = func(_ int, connection *pipeEnd) { connection.reset() }
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
