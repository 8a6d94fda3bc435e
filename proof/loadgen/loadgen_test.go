package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/runnerclient"
)

// fakeServer is a front and a runner that violates the selected rule, or none if that is empty.
type fakeServer struct {
	violation         string
	mutex             sync.Mutex
	histories         map[string][]runnerclient.Message
	events            map[string][]string
	executions        map[string]int
	conversationCount int
}

func (server *fakeServer) serveTurn(writer http.ResponseWriter, name, input string) {
	history := server.histories[name]
	answer := standin.Answer(history, input)
	server.histories[name] = append(history, runnerclient.Message{Role: "caller", Text: input}, runnerclient.Message{Role: "model", Text: strings.Join(answer, "")})
	turn := len(server.events[name]) + 1
	add := func(format string, arguments ...any) {
		server.events[name] = append(server.events[name], fmt.Sprintf(format, arguments...))
	}
	add(`{"seq":%d,"kind":"turn_begun","turn":%d}`, turn, turn)
	fmt.Fprintf(writer, `{"conversation":%q,"turn":%d}`+"\n", name, turn)
	for position, piece := range answer {
		seq := turn + 1 + position
		add(`{"seq":%d,"kind":"piece","turn":%d,"words":%q}`, seq, turn, piece)
		if position == 2 && server.violation == "repeats a piece" {
			fmt.Fprintf(writer, `{"turn":%d,"seq":%d,"event":"piece","words":%q}`+"\n", turn, seq, piece)
		}
		if position == 2 && server.violation == "skips a piece" {
			continue
		}
		if position == 2 && server.violation == "reports a partial answer as complete" {
			break
		}
		if position == 2 && server.violation == "returns a wrong answer" {
			piece = " else"
		}
		fmt.Fprintf(writer, `{"turn":%d,"seq":%d,"event":"piece","words":%q}`+"\n", turn, seq, piece)
	}
	add(`{"seq":%d,"kind":"turn_ended","turn":%d,"outcome":"complete"}`, turn+len(answer)+1, turn)
	fmt.Fprintln(writer, `{"end":"complete"}`)
}

func writeError(writer http.ResponseWriter, status int, kind string) {
	writer.WriteHeader(status)
	fmt.Fprintf(writer, `{"kind":%q,"message":"did not run","remedy":"none"}`, kind)
}

func (server *fakeServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	var body struct {
		Program string `json:"program"`
		Kind    string `json:"kind"`
		Words   string `json:"words"`
		Key     string `json:"query_key"`
	}
	json.NewDecoder(request.Body).Decode(&body)
	parts := strings.Split(strings.TrimPrefix(request.URL.Path, "/v1/"), "/")
	switch {
	case request.URL.Path == "/standin/record":
		json.NewEncoder(writer).Encode(standin.Record{Executions: server.executions})
	case parts[0] == "conversations" && len(parts) == 1:
		server.conversationCount++
		server.serveTurn(writer, fmt.Sprintf("c-%d", server.conversationCount), body.Words)
	case parts[0] == "conversations" && len(parts) == 3 && parts[2] == "turns":
		if server.violation == "forgets a turn" {
			writeError(writer, http.StatusNotFound, "not_found")
			return
		}
		if server.violation == "changes the history" {
			server.histories[parts[1]] = server.histories[parts[1]][2:]
		}
		server.serveTurn(writer, parts[1], body.Words)
	case parts[0] == "conversations":
		events := server.events[parts[1]]
		if server.violation == "loses an event" {
			events = events[1:]
		}
		fmt.Fprintf(writer, `{"head":%d,"events":[%s]}`, len(events), strings.Join(events, ","))
	default:
		key := body.Program + "/" + body.Kind + "/" + body.Key
		if body.Key != "" {
			server.executions[key]++
		}
		if server.violation == "runs work twice" {
			server.executions[key]++
		}
		if server.violation == "reports executed work as not run" {
			writeError(writer, http.StatusServiceUnavailable, "not_run")
			return
		}
		answer, _ := json.Marshal(standin.PlainAnswer(runnerclient.PlainRequest{Kind: body.Kind, IdempotencyKey: body.Key, Input: body.Words}))
		fmt.Fprintf(writer, `{"outcome":"complete","answer":%s}`, answer)
	}
}

// runAgainst runs the load generator against a fake server over in-memory pipes.
func runAgainst(t *testing.T, violation string) *Report {
	t.Helper()
	var report *Report
	synctest.Test(t, func(t *testing.T) {
		accepted := make(chan net.Conn)
		server := &http.Server{Handler: &fakeServer{violation: violation, histories: map[string][]runnerclient.Message{}, events: map[string][]string{}, executions: map[string]int{}}}
		listener := &pipeListener{accepted: accepted, closed: make(chan struct{})}
		go server.Serve(listener)
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) {
			clientConn, serverConn := net.Pipe()
			accepted <- serverConn
			return clientConn, nil
		}}}
		mix := Mix{Conversations: 3, Turns: []int{2, 3}, Lookups: 2, NonIdempotent: 3, NonIdempotentKinds: []string{"receipt"}, TightTurns: 0}
		if violation == "exceeds the quota" {
			mix.TightTurns = 10
		}
		report = Run(t.Context(), Target{Fronts: []string{"front"}, Runners: []string{"runner"}, Client: client, Quota: 100, TurnLimit: 30}, mix, 5*time.Second, 3, nil)
		server.Close()
		<-time.After(time.Minute)
	})
	return report
}

type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (pipes *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-pipes.accepted:
		return connection, nil
	case <-pipes.closed:
		return nil, net.ErrClosed
	}
}

func (pipes *pipeListener) Close() error { pipes.once.Do(func() { close(pipes.closed) }); return nil }
func (*pipeListener) Addr() net.Addr     { return &net.UnixAddr{Name: "pipes"} }

func TestGeneratorReportsEveryViolationAndNothingElse(t *testing.T) {
	correct := runAgainst(t, "")
	if len(correct.Violations) > 0 || correct.Histories == 0 || correct.NonIdempotent == 0 || correct.Lookups == 0 {
		t.Fatalf("violations or missing checks with a correct server: %+v", correct)
	}
	for violation, rule := range map[string]string{
		"repeats a piece": "streams", "skips a piece": "streams", "reports a partial answer as complete": "answers", "returns a wrong answer": "answers",
		"forgets a turn": "turns stay known", "changes the history": "answers", "loses an event": "streams", "runs work twice": "once",
		"reports executed work as not run": "not run", "exceeds the quota": "allowance",
	} {
		found := false
		for _, reported := range runAgainst(t, violation).Violations {
			found = found || strings.HasPrefix(reported, rule+":")
		}
		if !found {
			t.Errorf("no violation was reported for a server that %s", violation)
		}
	}
}
