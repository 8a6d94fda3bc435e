package runnerpool

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"yardrock.example/system/apierror"
)

// lostResponse is the failure of a request that may have run.
var lostResponse = failure{kind: apierror.RunnerFailure, lost: true}

// TestResponseTruncatedAtEachByte: a truncated response is never taken for complete, and
// the pool does not send its request again, on a new connection and on a reused one.
func TestResponseTruncatedAtEachByte(t *testing.T) {
	answers := map[string]string{
		"length": ok("fine"),
		"chunks": "HTTP/1.1 200 OK\r\nQuery-Name: NAME\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
		"late":   strings.ReplaceAll(ok("late"), "NAME", "q0") + ok("fine"),
	}
	for name, answer := range answers {
		for _, kept := range []bool{false, true} {
			for _, end := range []string{"|CLOSE", "|RESET"} {
				for cut := range len(answer) {
					if strings.HasSuffix(answer[:cut], "NAM") || strings.Contains(answer[cut:], "AME") && strings.HasSuffix(answer[:cut], "N") {
						continue // the placeholder is replaced as a unit
					}
					synctest.Test(t, func(t *testing.T) {
						script := newScriptedRunner([]string{answer[:cut] + end})
						if kept {
							script.answers[0] = []string{ok("fine"), answer[:cut] + end}
						}
						pool := New(script, testHeaders)
						defer pool.Close()
						if kept {
							mustSend(t, pool, "q0")
						}
						before := len(script.got())
						_, body, err := sendAndRead(t, pool, testRequest("q1"))
						if got := failureOf(err); got != lostResponse {
							t.Errorf("%s, reused %t, %s after %d bytes: %q, %v", name, kept, end, cut, body, err)
						}
						if requested := len(script.got()) - before; requested != 1 {
							t.Errorf("%s, reused %t, %s after %d bytes: sent %d times", name, kept, end, cut, requested)
						}
					})
				}
			}
		}
	}
}

// shortConnection breaks after it has accepted a number of bytes.
type shortConnection struct {
	*end
	left *int
}

func (connection shortConnection) Write(data []byte) (int, error) {
	count := min(len(data), *connection.left)
	*connection.left -= count
	if count > 0 {
		connection.end.Write(data[:count])
	}
	if count < len(data) {
		connection.end.Close()
		return count, syscall.ECONNRESET
	}
	return count, nil
}

// shortNetwork makes connections that together accept a number of bytes.
type shortNetwork struct {
	*scriptedRunner
	left int
}

func (network *shortNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	made, err := network.scriptedRunner.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return shortConnection{made.(*end), &network.left}, nil
}

// TestRequestTruncatedAtEachByte: only a request of which no byte was accepted is reported
// as never sent.
func TestRequestTruncatedAtEachByte(t *testing.T) {
	head := 0
	synctest.Test(t, func(t *testing.T) {
		made, err := New(newScriptedRunner(nil), testHeaders).appendHead(nil, new(testRequest("q1")), 6)
		if err != nil {
			t.Fatal(err)
		}
		head = len(made)
	})
	for _, body := range []string{"say it", strings.Repeat("x", 2*singleWriteBytes)} {
		for _, sent := range []int{0, 1, 2, head / 2, head - 1, head, head + 1, head + 5} {
			synctest.Test(t, func(t *testing.T) {
				network := &shortNetwork{scriptedRunner: newScriptedRunner([]string{ok("fine")}), left: sent}
				pool := New(network, testHeaders)
				defer pool.Close()
				_, _, err := sendAndRead(t, pool, testRequest("q1", func(request *Request) { request.Body = [][]byte{[]byte(body)} }))
				got := failureOf(err)
				if !got.lost || got.neverSent != (sent == 0) {
					t.Errorf("%d bytes of %d left: %+v", sent, head+len(body), got)
				}
				if network.dials != 1 {
					t.Errorf("%d bytes left: %d dials", sent, network.dials)
				}
			})
		}
	}
}

// runnerBehavior is what a random runner does with one request.
type runnerBehavior int

const (
	answersCompletely runnerBehavior = iota
	answersInChunks
	answersAfterInterim
	answersAfterForeign
	answersAfterEarlier
	answersTwice
	answersTwiceLater
	answersWithJunk
	answersNoContent
	answersCutOff
	answersGarbage
	answersUnnamed
	answersAndCloses
	rejects
	misdirects
	resetsSilently
	staysSilent
	allActs
)

// randomRunner responds at random and records which requests it ran.
type randomRunner struct {
	network
	mutex  sync.Mutex
	random *rand.Rand
	ran    map[string]int
	names  []string
	came   map[string]int
}

// responseTo is the only complete response to a request; its body names the request.
func responseTo(name string) string { return strings.ReplaceAll(ok("done "+name), "NAME", name) }

func (runner *randomRunner) serve(_ int, connection *end) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	owed := "" // sent before the next response
	for {
		received, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(received.Body); err != nil {
			return
		}
		answer, later, open := runner.answer(received.Header.Get("Query-Name"), received.Method == http.MethodHead)
		io.WriteString(connection, owed+answer)
		owed = later
		if !open {
			return
		}
	}
}

// answer draws the response, what is sent before the next response, and whether the
// connection stays open.
func (runner *randomRunner) answer(name string, head bool) (now, later string, open bool) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.came[name]++
	earlier := "q-none"
	if len(runner.names) > 0 {
		earlier = runner.names[runner.random.IntN(len(runner.names))]
	}
	runner.names = append(runner.names, name)
	act := runnerBehavior(runner.random.IntN(int(allActs)))
	if act != rejects && act != misdirects {
		runner.ran[name]++
	}
	complete, named := responseTo(name), "Query-Name: "+name+"\r\n"
	if head {
		complete = strings.TrimSuffix(complete, "done "+name)
	}
	return behaviors[act](drawnResponse{name: name, earlier: earlier, complete: complete, named: named, head: head, random: runner.random})
}

// drawnResponse is what a runner's behavior makes its response from.
type drawnResponse struct {
	name     string // ID of the request
	earlier  string // ID of an earlier request
	complete string // complete response
	named    string // header line with the ID
	head     bool   // the request's method is HEAD
	random   *rand.Rand
}

// behaviors return what is sent now, what is sent before the next response, and whether
// the connection stays open.
var behaviors = [allActs]func(drawn drawnResponse) (now, later string, open bool){
	answersCompletely: func(drawn drawnResponse) (string, string, bool) { return drawn.complete, "", true },
	answersInChunks: func(drawn drawnResponse) (string, string, bool) {
		if drawn.head {
			return drawn.complete, "", true
		}
		return "HTTP/1.1 200 OK\r\n" + drawn.named + "Transfer-Encoding: chunked\r\n\r\n5\r\ndone \r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(drawn.name), drawn.name), "", true
	},
	answersAfterInterim: func(drawn drawnResponse) (string, string, bool) {
		return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n" + drawn.named + "\r\n" + drawn.complete, "", true
	},
	answersAfterForeign: func(drawn drawnResponse) (string, string, bool) {
		return responseTo("q-foreign") + drawn.complete, "", true
	},
	answersAfterEarlier: func(drawn drawnResponse) (string, string, bool) {
		return responseTo(drawn.earlier) + drawn.complete, "", true
	},
	answersTwice:      func(drawn drawnResponse) (string, string, bool) { return drawn.complete + drawn.complete, "", true },
	answersTwiceLater: func(drawn drawnResponse) (string, string, bool) { return drawn.complete, drawn.complete, true },
	answersWithJunk:   func(drawn drawnResponse) (string, string, bool) { return drawn.complete, "junk\r\n", true },
	answersNoContent: func(drawn drawnResponse) (string, string, bool) {
		return "HTTP/1.1 204 No Content\r\n" + drawn.named + "\r\n", "", true
	},
	answersCutOff: func(drawn drawnResponse) (string, string, bool) {
		return drawn.complete[:drawn.random.IntN(len(drawn.complete))], "", false
	},
	answersGarbage: func(drawnResponse) (string, string, bool) { return "\x16\x03\x01 no answer\r\n\r\n", "", true },
	answersUnnamed: func(drawn drawnResponse) (string, string, bool) {
		return strings.Replace(drawn.complete, drawn.named, "", 1), "", true
	},
	answersAndCloses: func(drawn drawnResponse) (string, string, bool) {
		return strings.Replace(drawn.complete, "\r\n", "\r\nConnection: close\r\n", 1), "", false
	},
	rejects: func(drawn drawnResponse) (string, string, bool) {
		return "HTTP/1.1 503 Full\r\n" + drawn.named + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n", "", true
	},
	misdirects: func(drawn drawnResponse) (string, string, bool) {
		return "HTTP/1.1 421 Misdirected\r\n" + drawn.named + "Content-Length: 0\r\n\r\n", "", true
	},
	resetsSilently: func(drawnResponse) (string, string, bool) { return "", "", false },
	staysSilent:    func(drawn drawnResponse) (string, string, bool) { return "", drawn.complete, true },
}

// TestRandomExchanges: whatever a runner sends, a response is returned only for the request
// that it names; no request arrives twice; a request reported as never sent did not
// arrive, and one reported as not run did not run.
func TestRandomExchanges(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runner := &randomRunner{random: rand.New(rand.NewPCG(seed, 2)), ran: map[string]int{}, came: map[string]int{}}
				runner.network.serve = runner.serve
				pool := New(&runner.network, testHeaders)
				defer pool.Close()
				var callers sync.WaitGroup
				for caller := range 3 {
					callers.Go(func() { runner.ask(t, pool, rand.New(rand.NewPCG(seed, uint64(caller))), caller) })
				}
				callers.Wait()
				synctest.Wait()
				if out := pool.Stats().InUse; out != 0 {
					t.Errorf("%d connections are in use", out)
				}
			})
		})
	}
}

func (runner *randomRunner) ask(t *testing.T, pool *Pool, random *rand.Rand, caller int) {
	var open []*Response // closed only at the end
	defer func() {
		for _, response := range open {
			response.Close()
		}
	}()
	for number := range 60 {
		name := fmt.Sprintf("q-%d-%d", caller, number)
		method := http.MethodPost
		if random.IntN(8) == 0 {
			method = http.MethodHead
		}
		response, err := pool.Send(t.Context(), testRequest(name, func(request *Request) {
			request.Method, request.Deadline = method, time.Now().Add(time.Second)
		}))
		status, body := 0, []byte(nil)
		if err == nil {
			status = response.Status
			body, err = io.ReadAll(response)
			if named := response.Header.Get("Query-Name"); status < 300 && named != name {
				t.Errorf("%s got an answer that names %q", name, named)
			}
			if random.IntN(10) > 0 {
				response.Close()
			} else {
				open = append(open, response)
			}
		}
		runner.judge(t, name, method, status, string(body), err)
		time.Sleep(time.Duration(random.IntN(3)) * time.Millisecond)
	}
}

func (runner *randomRunner) judge(t *testing.T, name, method string, status int, body string, err error) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	came, ran, reported := runner.came[name], runner.ran[name], failureOf(err)
	if came > 1 {
		t.Errorf("%s was sent %d times", name, came)
	}
	switch {
	case err == nil && ran != 1:
		t.Errorf("%s was answered and ran %d times", name, ran)
	case err == nil && method != http.MethodHead && status == http.StatusOK && body != "done "+name:
		t.Errorf("%s got %q", name, body)
	case reported.neverSent && came != 0:
		t.Errorf("%s is reported as never sent, and arrived", name)
	case reported.kind == apierror.NotRun && ran != 0:
		t.Errorf("%s is reported as not run, and ran", name)
	}
}

// TestLateResponseBeforeHeadResponse: the end of a late response before that to a HEAD
// request cannot be found, so that the request is lost.
func TestLateResponseBeforeHeadResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late := strings.ReplaceAll(ok(responseTo("q1")), "NAME", "q0")
		runner := newScriptedRunner([]string{late})
		pool := New(runner, testHeaders)
		defer pool.Close()
		_, _, err := sendAndRead(t, pool, testRequest("q1", func(request *Request) { request.Method = http.MethodHead }))
		if got := failureOf(err); got != lostResponse {
			t.Errorf("the body of a late response was taken for the response: %v", err)
		}
	})
}

// FuzzResponse sends arbitrary bytes as the response, on a new connection and on a reused
// one.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		ok("fine"), ok("fine") + ok("more"), "HTTP/1.1 100 Continue\r\n\r\n" + ok("fine"),
		"HTTP/1.1 200 OK\r\nQuery-Name: NAME\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nQuery-Name: q0\r\nContent-Length: 4\r\n\r\nlate" + ok("fine"),
		"HTTP/1.1 204 No Content\r\nQuery-Name: NAME\r\n\r\n", "HTTP/1.1 503 Full\r\nQuery-Name: NAME\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 Misdirected\r\n\r\n", "HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nno", "HTTP/1.0 200 OK\r\n\r\n", "\r\n", "\x00",
	} {
		f.Add(seed, false)
		f.Add(seed, true)
	}
	f.Fuzz(func(t *testing.T, raw string, head bool) {
		if len(raw) > 4*bufferBytes {
			return
		}
		for _, reused := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) { checkArbitraryResponse(t, strings.ReplaceAll(raw, "|", ""), head, reused) })
		}
	})
}

// checkArbitraryResponse sends a request to a runner that answers with certain bytes, and
// checks that they are not taken for more than they are.
func checkArbitraryResponse(t *testing.T, raw string, head, reused bool) {
	runner := newScriptedRunner([]string{raw + "|CLOSE"})
	if reused {
		runner.answers[0] = []string{ok("fine"), raw + "|CLOSE"}
	}
	pool := New(runner, testHeaders)
	defer pool.Close()
	if reused {
		mustSend(t, pool, "q0")
	}
	response, err := pool.Send(t.Context(), testRequest("q1", func(request *Request) {
		if head {
			request.Method = http.MethodHead
		}
	}))
	if err != nil {
		if reported := (*apierror.Error)(nil); !errors.As(err, &reported) || reported.NeverSent {
			t.Fatalf("%q: %v", raw, err)
		}
		return
	}
	defer response.Close()
	checkAccepted(t, raw, response, head, reused)
}

// checkAccepted checks that a response is the one of its request and that its body is in
// what the runner sent.
func checkAccepted(t *testing.T, raw string, response *Response, head, reused bool) {
	t.Helper()
	names := response.Header["Query-Name"]
	if named := len(names) > 0 && names[0] == "q1"; !named && (reused || response.Status < 300) {
		t.Errorf("%q was taken for the response, with status %d and the IDs %q", raw, response.Status, names)
	}
	body, err := io.ReadAll(response)
	if err == nil && response.Length >= 0 && !head && int64(len(body)) != response.Length {
		t.Errorf("%q: %d bytes are complete, of %d", raw, len(body), response.Length)
	}
	if !bytes.Contains([]byte(raw), body) && len(response.Header["Transfer-Encoding"]) == 0 && response.Length >= 0 {
		t.Errorf("%q: %q was not in it", raw, body)
	}
}
