package runnerpool

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"

	"yardrock.example/system/apierror"
)

func TestLongBodies(t *testing.T) {
	long := strings.Repeat("0123456789", 50_000)
	rejection := "HTTP/1.1 503 Full\r\nQuery-Name: q1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for name, test := range map[string]struct {
		serve func(connection *pipeEnd)
		body  string
		send  failure
		kept  bool
	}{
		"read completely":            {body: fmt.Sprint(len(long)), kept: true},
		"rejected before it is read": {serve: func(connection *pipeEnd) { io.WriteString(connection, rejection); connection.in.waitForEOF() }, send: failure{kind: apierror.NotRun}},
		"rejected and closed": {serve: func(connection *pipeEnd) {
			io.ReadFull(connection, make([]byte, 9))
			io.WriteString(connection, rejection)
			connection.Close()
		}, send: failure{kind: apierror.NotRun}},
		"rejected and half reset": {serve: func(connection *pipeEnd) { io.WriteString(connection, rejection); connection.reset() }, send: failure{kind: apierror.NotRun}},
		"reset":                   {serve: func(connection *pipeEnd) { io.ReadFull(connection, make([]byte, 9)); connection.reset() }, send: failure{kind: apierror.RunnerFailure, lost: true}},
		"never read":              {serve: func(connection *pipeEnd) { connection.in.waitForEOF() }, send: failure{kind: apierror.Unknown}},
		"response before it is read": {serve: func(connection *pipeEnd) {
			io.WriteString(connection, strings.ReplaceAll(ok("fine"), "NAME", "q1"))
			connection.in.waitForEOF()
		},
			body: "fine"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runner := newScriptedRunner(nil)
				runner.window = 2000
				runner.network.serve = func(_ int, connection *pipeEnd) {
					if test.serve != nil {
						test.serve(connection)
						return
					}
					runner.responses = [][]string{{ok(fmt.Sprint(len(long)))}}
					runner.serve(0, connection)
				}
				pool := New(runner, testHeaders)
				defer pool.Close()
				request := testRequest("q1", func(request *Request) { request.Body = parts(long, 7001) })
				_, body, err := sendAndRead(t, pool, request)
				if got := failureOf(err); got != test.send || body != test.body {
					t.Errorf("got %q, %v", body, err)
				}
				synctest.Wait()
				if stats := pool.Stats(); stats.InUse != 0 || stats.Idle == 1 != test.kept {
					t.Errorf("stats %+v", stats)
				}
				if test.kept && string(runner.received()[0].body) != long {
					t.Error("the body has changed")
				}
			})
		})
	}
}

// waitForEOF waits without reading until the writer closes the stream.
func (stream *byteStream) waitForEOF() {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	for !stream.eof {
		stream.changed.Wait()
	}
}

func TestShortBodyIsOneWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		writes := 0
		runner := newScriptedRunner(repeat(ok("fine"), 9))
		pool := New(countingNetwork{runner, &writes}, testHeaders)
		defer pool.Close()
		for range 3 {
			if _, _, err := sendAndRead(t, pool, testRequest("q1")); err != nil {
				t.Fatal(err)
			}
		}
		if writes != 3 {
			t.Errorf("%d writes for three requests", writes)
		}
	})
}
