package runnerpool

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"yardrock.example/system/apierror"
)

// responseCase is a runner's response and the expected result.
type responseCase struct {
	raw    string
	method string // POST if empty
	status int
	body   string
	send   failure // of Send
	read   failure // of Read
	kept   bool    // the connection is reused
}

// idHeader is the header with the ID of the request.
const idHeader = "Query-Name: NAME\r\n"

// rejectedRequest is the failure of a request that did not run.
var rejectedRequest = failure{kind: apierror.NotRun}

var responseCases = map[string]responseCase{
	"length":                        {raw: ok("fine"), status: 200, body: "fine", kept: true},
	"empty":                         {raw: ok(""), status: 200, kept: true},
	"chunks":                        {raw: "HTTP/1.1 200 OK\r\n" + idHeader + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n3\r\n!!!\r\n0\r\n\r\n", status: 200, body: "fine!!!", kept: true},
	"chunks with trailer":           {raw: "HTTP/1.1 200 OK\r\n" + idHeader + "Transfer-Encoding: chunked\r\nTrailer: X\r\n\r\n4\r\nfine\r\n0\r\nX: y\r\n\r\n", status: 200, body: "fine", kept: true},
	"no content":                    {raw: "HTTP/1.1 204 No Content\r\n" + idHeader + "\r\n", status: 204, kept: true},
	"head":                          {raw: "HTTP/1.1 200 OK\r\n" + idHeader + "Content-Length: 400\r\n\r\n", method: "HEAD", status: 200, kept: true},
	"head in chunks":                {raw: "HTTP/1.1 200 OK\r\n" + idHeader + "Transfer-Encoding: chunked\r\n\r\n", method: "HEAD", status: 200, kept: true},
	"head without length":           {raw: "HTTP/1.1 200 OK\r\n" + idHeader + "\r\n", method: "HEAD", status: 200, kept: true},
	"not modified":                  {raw: "HTTP/1.1 304 Not Modified\r\n" + idHeader + "\r\n", status: 304, kept: true},
	"runner failure":                {raw: "HTTP/1.1 500 Oops\r\n" + idHeader + "Content-Length: 4\r\n\r\noops", status: 500, body: "oops", kept: true},
	"interim heads":                 {raw: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok("fine"), status: 200, body: "fine", kept: true},
	"says close":                    {raw: okWith("Connection: close", "fine"), status: 200, body: "fine"},
	"says close among others":       {raw: okWith("Connection: x-y, Close", "fine"), status: 200, body: "fine"},
	"old version":                   {raw: "HTTP/1.0 200 OK\r\n" + idHeader + "Content-Length: 4\r\n\r\nfine", status: 200, body: "fine"},
	"old version kept":              {raw: "HTTP/1.0 200 OK\r\n" + idHeader + "Connection: keep-alive\r\nContent-Length: 4\r\n\r\nfine", status: 200, body: "fine"},
	"bytes after it":                {raw: ok("fine") + "junk", status: 200, body: "fine"},
	"response after it":             {raw: ok("fine") + ok("more"), status: 200, body: "fine"},
	"no idle time":                  {raw: okWith("Keep-Alive: timeout=0", "fine"), status: 200, body: "fine"},
	"identity":                      {raw: okWith("Content-Encoding: identity", "fine"), status: 200, body: "fine", kept: true},
	"bare line feeds":               {raw: "HTTP/1.1 200 OK\nQuery-Name: NAME\nContent-Length: 4\n\nfine", status: 200, body: "fine", kept: true},
	"failure without an ID":         {raw: "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", status: 500, kept: true},
	"not run, but a success":        {raw: okWith("Not-Run: true", "fine"), status: 200, body: "fine", kept: true},
	"rejected":                      {raw: "HTTP/1.1 503 Full\r\n" + idHeader + "Not-Run: true\r\nContent-Length: 4\r\n\r\nfull", send: rejectedRequest, kept: true},
	"rejected in chunks":            {raw: "HTTP/1.1 503 Full\r\n" + idHeader + "Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n", send: rejectedRequest, kept: true},
	"rejected, body is missing":     {raw: "HTTP/1.1 503 Full\r\n" + idHeader + "Not-Run: 1\r\nContent-Length: 4\r\n\r\nfu", send: rejectedRequest},
	"rejected, body is truncated":   {raw: "HTTP/1.1 503 Full\r\n" + idHeader + "Not-Run: 1\r\nContent-Length: 4\r\n\r\nfu|RESET", send: rejectedRequest},
	"rejected, body is long":        {raw: "HTTP/1.1 503 Full\r\n" + idHeader + "Not-Run: 1\r\nContent-Length: 99999\r\n\r\n" + strings.Repeat("x", 99999), send: rejectedRequest},
	"rejected, chunks without end":  {raw: "HTTP/1.1 503 Full\r\n" + idHeader + "Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n" + strings.Repeat("x", 0xffff) + "\r\n0\r\n\r\n", send: rejectedRequest},
	"rejected, no length":           {raw: "HTTP/1.1 503 Full\r\n" + idHeader + "Not-Run: 1\r\n\r\nfull|CLOSE", send: rejectedRequest},
	"rejected, says close":          {raw: "HTTP/1.1 503 Full\r\n" + idHeader + "Not-Run: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n|CLOSE", send: rejectedRequest},
	"rejected without an ID":        {raw: "HTTP/1.1 400 No Name\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", send: rejectedRequest, kept: true},
	"rejected, encoded":             {raw: "HTTP/1.1 503 Full\r\n" + idHeader + "Not-Run: 1\r\nContent-Encoding: gzip\r\nContent-Length: 0\r\n\r\n", send: rejectedRequest, kept: true},
	"misdirected":                   {raw: "HTTP/1.1 421 Misdirected\r\n" + idHeader + "Content-Length: 0\r\n\r\n", send: failure{kind: apierror.NotRun, misdirected: true}, kept: true},
	"full, without Not-Run":         {raw: "HTTP/1.1 503 Full\r\n" + idHeader + "Content-Length: 4\r\n\r\nfull", status: 503, body: "full", kept: true},
	"success without an ID":         {raw: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine", send: lostResponse},
	"encoded":                       {raw: okWith("Content-Encoding: gzip", "fine"), send: failure{kind: apierror.RunnerFailure}},
	"encoded twice":                 {raw: okWith("Content-Encoding: identity, br", "fine"), send: failure{kind: apierror.RunnerFailure}},
	"closed at once":                {raw: "|CLOSE", send: lostResponse},
	"reset at once":                 {raw: "|RESET", send: lostResponse},
	"closed in the head":            {raw: "HTTP/1.1 200 OK\r\nQuery-Na|CLOSE", send: lostResponse},
	"reset in the head":             {raw: "HTTP/1.1 200|RESET", send: lostResponse},
	"garbage":                       {raw: "\x00\x01\x02 what\r\n\r\n|CLOSE", send: lostResponse},
	"other protocol":                {raw: "SSH-2.0-OpenSSH_9.6\r\n|CLOSE", send: lostResponse},
	"other version":                 {raw: "HTTP/2.0 200 OK\r\n" + idHeader + "Content-Length: 0\r\n\r\n", send: lostResponse},
	"status of two digits":          {raw: "HTTP/1.1 20 OK\r\n" + idHeader + "\r\n", send: lostResponse},
	"status of letters":             {raw: "HTTP/1.1 abc OK\r\n" + idHeader + "\r\n", send: lostResponse},
	"status too high":               {raw: "HTTP/1.1 999 OK\r\n" + idHeader + "Content-Length: 0\r\n\r\n", send: lostResponse},
	"status too low":                {raw: "HTTP/1.1 099 OK\r\n" + idHeader + "Content-Length: 0\r\n\r\n", send: lostResponse},
	"switching":                     {raw: "HTTP/1.1 101 Switching\r\n" + idHeader + "\r\n", send: lostResponse},
	"header without colon":          {raw: "HTTP/1.1 200 OK\r\nnonsense\r\n\r\n", send: lostResponse},
	"two lengths":                   {raw: "HTTP/1.1 200 OK\r\n" + idHeader + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nfine!", send: lostResponse},
	"length below zero":             {raw: "HTTP/1.1 200 OK\r\n" + idHeader + "Content-Length: -4\r\n\r\nfine", send: lostResponse},
	"unknown coding":                {raw: "HTTP/1.1 200 OK\r\n" + idHeader + "Transfer-Encoding: odd\r\n\r\nfine", send: lostResponse},
	"large head":                    {raw: "HTTP/1.1 200 OK\r\n" + idHeader + "X: " + strings.Repeat("x", maxHeadBytes) + "\r\nContent-Length: 0\r\n\r\n", send: lostResponse},
	"large status line":             {raw: "HTTP/1.1 200 " + strings.Repeat("x", maxHeadBytes) + "\r\n" + idHeader + "Content-Length: 0\r\n\r\n", send: lostResponse},
	"head just below the bound":     {raw: okWith("X: "+strings.Repeat("x", maxHeadBytes-200), "fine"), status: 200, body: "fine", kept: true},
	"interim heads without end":     {raw: strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 50) + ok("fine"), send: lostResponse},
	"length, closed early":          {raw: "HTTP/1.1 200 OK\r\n" + idHeader + "Content-Length: 9\r\n\r\nfine|CLOSE", status: 200, body: "fine", read: lostResponse},
	"length, reset early":           {raw: "HTTP/1.1 200 OK\r\n" + idHeader + "Content-Length: 9\r\n\r\nfine|RESET", status: 200, body: "fine", read: lostResponse},
	"chunks, closed early":          {raw: "HTTP/1.1 200 OK\r\n" + idHeader + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n|CLOSE", status: 200, body: "fine", read: lostResponse},
	"chunks, closed in a chunk":     {raw: "HTTP/1.1 200 OK\r\n" + idHeader + "Transfer-Encoding: chunked\r\n\r\n9\r\nfine|CLOSE", status: 200, body: "fine", read: lostResponse},
	"chunks, closed after the 0":    {raw: "HTTP/1.1 200 OK\r\n" + idHeader + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n|CLOSE", status: 200, body: "fine", read: lostResponse},
	"chunks, then garbage":          {raw: "HTTP/1.1 200 OK\r\n" + idHeader + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\nzz\r\n", status: 200, body: "fine", read: lostResponse},
	"no length":                     {raw: "HTTP/1.1 200 OK\r\n" + idHeader + "\r\nfine|CLOSE", status: 200, body: "fine", read: lostResponse},
	"one stray response first":      {raw: strings.ReplaceAll(ok("late"), "NAME", "q0") + ok("fine"), status: 200, body: "fine"},
	"two stray responses first":     {raw: strings.Repeat(strings.ReplaceAll(ok("late"), "NAME", "q0"), 2) + ok("fine"), status: 200, body: "fine"},
	"stray responses only":          {raw: strings.Repeat(strings.ReplaceAll(ok("late"), "NAME", "q0"), 3) + ok("fine"), send: lostResponse},
	"stray rejection first":         {raw: "HTTP/1.1 503 Full\r\nQuery-Name: q0\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n" + ok("fine"), status: 200, body: "fine"},
	"stray rejection only":          {raw: "HTTP/1.1 503 Full\r\nQuery-Name: q0\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n|CLOSE", send: lostResponse},
	"stray misdirection only":       {raw: "HTTP/1.1 421 Misdirected\r\nQuery-Name: q0\r\nContent-Length: 0\r\n\r\n|CLOSE", send: lostResponse},
	"stray response without end":    {raw: "HTTP/1.1 200 OK\r\nQuery-Name: q0\r\n\r\nlate|CLOSE", send: lostResponse},
	"stray response truncated":      {raw: "HTTP/1.1 200 OK\r\nQuery-Name: q0\r\nContent-Length: 9\r\n\r\nlate|CLOSE", send: lostResponse},
	"stray, then one without an ID": {raw: strings.ReplaceAll(ok("late"), "NAME", "q0") + "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", send: lostResponse},
	"stray, then rejected":          {raw: strings.ReplaceAll(ok("late"), "NAME", "q0") + "HTTP/1.1 503 Full\r\n" + idHeader + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n", send: rejectedRequest},
	"two IDs":                       {raw: okWith("Query-Name: q0", "fine") + "|CLOSE", send: lostResponse},
}

// TestResponses sends one request on a new connection, and a second one to check whether
// the connection is reused.
func TestResponses(t *testing.T) {
	for name, test := range responseCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runner := newScriptedRunner([]string{test.raw, ok("second")})
				pool := New(runner, testHeaders)
				defer pool.Close()
				test.sendFirst(t, pool)
				synctest.Wait()
				if kept := pool.Stats().Idle == 1; kept != test.kept {
					t.Errorf("reused: %v", kept)
				}
				if inUse := pool.Stats().InUse; inUse != 0 {
					t.Errorf("%d connections are in use", inUse)
				}
				if !test.kept && !runner.runnerEnds[0].closed() {
					t.Error("the connection was not closed")
				}
				if _, body, err := sendAndRead(t, pool, testRequest("q2")); test.kept && (body != "second" || err != nil || runner.dials != 1) {
					t.Errorf("the second request got %q, %v over %d connections", body, err, runner.dials)
				}
			})
		})
	}
}

// sendFirst sends the first request and checks its response.
func (test responseCase) sendFirst(t *testing.T, pool *Pool) {
	t.Helper()
	method := test.method
	if method == "" {
		method = "POST"
	}
	response, err := pool.Send(t.Context(), testRequest("q1", func(request *Request) { request.Method = method }))
	if got := failureOf(err); got != test.send {
		t.Fatalf("Send returned %v, want %+v", err, test.send)
	}
	if err != nil {
		return
	}
	body, err := io.ReadAll(response)
	if got := failureOf(err); response.Status != test.status || string(body) != test.body || got != test.read {
		t.Errorf("got %d, %q, %v", response.Status, body, err)
	}
	if _, again := response.Read(make([]byte, 1)); err == nil && !isExactly(again, io.EOF) || err != nil && !isExactly(again, err) {
		t.Errorf("the next Read returned %v after %v", again, err)
	}
	response.Close()
}

func TestResponseMetadata(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runner := newScriptedRunner([]string{
			okWith("Load: 3, 4,64\r\nSeal: x\r\nConnection: X-Mine, keep-alive\r\nX-Mine: 1\r\nKeep-Alive: timeout=9\r\nUpgrade: x", "fine"),
			"HTTP/1.1 503 Full\r\nQuery-Name: NAME\r\nNot-Run: true\r\nLoad: 64,9,64\r\nRetry-After: 0.25\r\nContent-Length: 0\r\n\r\n",
		})
		pool := New(runner, testHeaders)
		defer pool.Close()
		response, err := pool.Send(t.Context(), testRequest("q1"))
		if err != nil {
			t.Fatal(err)
		}
		if response.Load == nil || *response.Load != (Load{3, 4, 64}) || response.Length != 4 {
			t.Errorf("load %v, length %d", response.Load, response.Length)
		}
		if want := fmt.Sprint(http.Header{"Content-Length": {"4"}, "Load": {"3, 4,64"}, "Query-Name": {"q1"}, "Seal": {"x"}}); fmt.Sprint(response.Header) != want {
			t.Errorf("headers %v, not %v", response.Header, want)
		}
		io.Copy(io.Discard, response)
		response.Close()
		response, err = pool.Send(t.Context(), testRequest("q2"))
		if !apierror.Is(err, apierror.NotRun) || apierror.Of(err).RetryAfter != 250*time.Millisecond {
			t.Errorf("got %v", err)
		}
		if response.Status != 503 || *response.Load != (Load{64, 9, 64}) || response.Length != 0 {
			t.Errorf("the rejection is %+v", response)
		}
		if count, err := response.Read(make([]byte, 9)); count != 0 || !isExactly(err, io.EOF) {
			t.Errorf("the rejection has a body: %d, %v", count, err)
		}
		response.Close()
		if stats := pool.Stats(); stats != (Stats{Dials: 1, Reuses: 1, Idle: 1}) {
			t.Errorf("stats %+v", stats)
		}
	})
}

func TestParseLoadAndTimes(t *testing.T) {
	for text, want := range map[string]*Load{"1,2,3": {1, 2, 3}, " 1 , 2 , 3 ": {1, 2, 3}, "": nil, "1,2": nil, "1,2,3,4": nil, "1,2,x": nil, "-1,2,3": nil, "1,,3": nil, "1,2,99999999999": nil} {
		if got := parseLoad(text); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("load %q is %v, not %v", text, got, want)
		}
	}
	for text, want := range map[string]time.Duration{"2": 2 * time.Second, "0.5": 500 * time.Millisecond, "": 0, "-1": 0, "NaN": 0, "Inf": 0, "soon": 0, "1e99": 0, "Wed, 21 Oct 2026 07:28:00 GMT": 0} {
		if got := parseRetryAfter(http.Header{"Retry-After": {text}}); got != want {
			t.Errorf("Retry-After %q is %v, not %v", text, got, want)
		}
	}
	for text, want := range map[string]struct {
		time     time.Duration
		reported bool
	}{"timeout=5, max=100": {5 * time.Second, true}, "max=100, Timeout=2": {2 * time.Second, true}, `timeout="3"`: {3 * time.Second, true}, "timeout": {}, "timeout=": {}, "timeout=x": {}, "timeout=-1": {}, "timeout=1.5": {}, "max=5": {}, "": {}, "timeout=0": {0, true}} {
		if got, reported := parseKeepAlive(http.Header{"Keep-Alive": {text}}); got != want.time || reported != want.reported {
			t.Errorf("Keep-Alive %q is %v, %v", text, got, reported)
		}
	}
}
