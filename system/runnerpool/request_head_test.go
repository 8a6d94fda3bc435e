package runnerpool

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"yardrock.example/system/apierror"
)

// requestCase is a request and the headers that its runner must and must not receive.
type requestCase struct {
	change func(*Request)
	want   map[string][]string
	absent []string
}

func TestRequestReachesRunnerUnchanged(t *testing.T) {
	for name, test := range map[string]requestCase{
		"own headers": {func(*Request) {}, map[string][]string{"Query-Name": {"q1"}, "Expected-Runner": {"life-1"}, "Time-Left": {"10000"}, "Content-Length": {"6"}}, []string{"Urgency", "Last-Event-Id"}},
		"urgency and resuming": {func(request *Request) { request.Urgency, request.LastEventID = "3", "17" },
			map[string][]string{"Urgency": {"3"}, "Last-Event-Id": {"17"}}, nil},
		"own headers replace the caller's": {func(request *Request) {
			request.Urgency, request.LastEventID = "3", "17"
			request.Header = http.Header{"Urgency": {"0"}, "Last-Event-Id": {"2"}, "Time-Left": {"5"}, "Expected-Runner": {"x"}, "Query-Name": {"q1"}, "Content-Length": {"99"}, "Host": {"evil"}}
		}, map[string][]string{"Urgency": {"3"}, "Last-Event-Id": {"17"}, "Time-Left": {"10000"}, "Expected-Runner": {"life-1"}, "Query-Name": {"q1"}, "Content-Length": {"6"}}, nil},
		"the caller's headers are kept where the pool sets none": {func(request *Request) {
			request.Deadline, request.Runner.Incarnation, request.ID = time.Time{}, "", ""
			request.Header = http.Header{"Urgency": {"0"}, "Last-Event-Id": {"2"}, "Time-Left": {"5"}, "Expected-Runner": {"x"}, "Query-Name": {"q1"}}
		}, map[string][]string{"Last-Event-Id": {"2"}, "Time-Left": {"5"}, "Expected-Runner": {"x"}, "Query-Name": {"q1"}}, []string{"Urgency"}},
		"many values": {func(request *Request) {
			request.Header = http.Header{"Accept": {"a", "b"}, "Cookie": {"About=7"}, "Empty": {""}}
		}, map[string][]string{"Accept": {"a", "b"}, "Cookie": {"About=7"}, "Empty": {""}}, nil},
		"hop-by-hop headers are not forwarded": {func(request *Request) {
			request.Header = http.Header{"Connection": {"keep-alive, X-Mine", "x-other"}, "X-Mine": {"1"}, "X-Other": {"1"}, "X-Third": {"1"}, "Keep-Alive": {"5"}, "Te": {"trailers"}, "Trailer": {"X"},
				"Transfer-Encoding": {"chunked"}, "Upgrade": {"websocket"}, "Proxy-Authorization": {"x"}, "Proxy-Connection": {"x"}, "Proxy-Authenticate": {"x"}}
		}, map[string][]string{"X-Third": {"1"}, "Content-Length": {"6"}}, []string{"Connection", "X-Mine", "X-Other", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Authorization", "Proxy-Connection", "Proxy-Authenticate"}},
		"names in any case": {func(request *Request) {
			request.Header = http.Header{"connection": {"close"}, "transfer-encoding": {"chunked"}, "content-length": {"0"}, "host": {"evil"}, "query-name": {"q9"}, "x-mine": {"1"}}
		}, map[string][]string{"X-Mine": {"1"}, "Query-Name": {"q1"}, "Content-Length": {"6"}}, []string{"Connection", "Transfer-Encoding"}},
		"no body": {func(request *Request) { request.Method, request.Body = "GET", nil }, map[string][]string{"Content-Length": {"0"}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runner := newScriptedRunner([]string{ok("fine")})
				pool := New(runner, testHeaders)
				defer pool.Close()
				request := testRequest("q1", test.change)
				before := request.Header.Clone()
				status, body, err := sendAndRead(t, pool, request)
				if request.ID != "" && (status != 200 || body != "fine" || err != nil) {
					t.Fatalf("got %d %q, %v", status, body, err)
				}
				test.check(t, request, runner.received()[0])
				if fmt.Sprint(before) != fmt.Sprint(request.Header) {
					t.Errorf("the caller's headers were changed to %v", request.Header)
				}
			})
		})
	}
}

// check compares a request with what the runner received.
func (test requestCase) check(t *testing.T, request Request, got receivedRequest) {
	t.Helper()
	if got.Method != request.Method || got.RequestURI != "/turn/2f?x=1" || got.Host != "agents.example" || got.Proto != "HTTP/1.1" {
		t.Errorf("the runner got %s %s for %s", got.Method, got.RequestURI, got.Host)
	}
	if want := strings.Repeat("say it", len(request.Body)/2); string(got.body) != want {
		t.Errorf("the body is %q, not %q", got.body, want)
	}
	for name, values := range test.want {
		if fmt.Sprint(got.Header[name]) != fmt.Sprint(values) {
			t.Errorf("header %s is %q, not %q", name, got.Header[name], values)
		}
	}
	for _, name := range test.absent {
		if len(got.Header[name]) > 0 || name == "Transfer-Encoding" && got.TransferEncoding != nil {
			t.Errorf("header %s was forwarded: %q", name, got.Header[name])
		}
	}
}

func TestInvalidRequestsAreNeverSent(t *testing.T) {
	for name, change := range map[string]func(*Request){
		"no method":                   func(request *Request) { request.Method = "" },
		"method with a blank":         func(request *Request) { request.Method = "GET /x" },
		"connect":                     func(request *Request) { request.Method = "CONNECT" },
		"no target":                   func(request *Request) { request.Target = "" },
		"target with a blank":         func(request *Request) { request.Target = "/a b" },
		"target with a line end":      func(request *Request) { request.Target = "/a\r\nX: y" },
		"no host":                     func(request *Request) { request.Host = "" },
		"host with a line end":        func(request *Request) { request.Host = "a\nb" },
		"header name with a colon":    func(request *Request) { request.Header = http.Header{"A:b": {"c"}} },
		"header name that is empty":   func(request *Request) { request.Header = http.Header{"": {"c"}} },
		"header value with line ends": func(request *Request) { request.Header = http.Header{"A": {"c\r\n\r\nGET / HTTP/1.1"}} },
		"header value with a zero":    func(request *Request) { request.Header = http.Header{"A": {"\x00"}} },
		"ID with a line end":          func(request *Request) { request.ID = "q\r\n" },
		"urgency with a line end":     func(request *Request) { request.Urgency = "1\n" },
		"resume with a line end":      func(request *Request) { request.LastEventID = "1\r" },
		"incarnation with a line end": func(request *Request) { request.Runner.Incarnation = "1\r" },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runner := newScriptedRunner([]string{ok("fine")})
				pool := New(runner, testHeaders)
				defer pool.Close()
				_, _, err := sendAndRead(t, pool, testRequest("q1", change))
				if got := failureOf(err); got != (failure{kind: apierror.Invalid, neverSent: true}) {
					t.Errorf("got %v", err)
				}
				if runner.dials != 0 {
					t.Error("a connection was opened")
				}
			})
		})
	}
}
