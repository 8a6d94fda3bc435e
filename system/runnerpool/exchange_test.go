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

// TestResponseTruncatedAtEachByte: on a new and on a reused connection, a truncated response
// is never taken for complete, and its request is not sent again.
func TestResponseTruncatedAtEachByte(t *testing.T) {
	responses := map[string]string{
		"length": ok("fine"),
		"chunks": "HTTP/1.1 200 OK\r\nQuery-Name: NAME\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
		"late":   strings.ReplaceAll(ok("late"), "NAME", "q0") + ok("fine"),
	}
	for name, response := range responses {
		for _, reused := range []bool{false, true} {
			for _, ending := range []string{"|CLOSE", "|RESET"} {
				for cut := range len(response) {
					if strings.HasSuffix(response[:cut], "NAM") || strings.Contains(response[cut:], "AME") && strings.HasSuffix(response[:cut], "N") {
						continue // the placeholder is replaced as a unit
					}
					synctest.Test(t, func(t *testing.T) {
						script := newScriptedRunner([]string{response[:cut] + ending})
						if reused {
							script.responses[0] = []string{ok("fine"), response[:cut] + ending}
						}
						pool := New(script, testHeaders)
						defer pool.Close()
						if reused {
							mustSend(t, pool, "q0")
						}
						before := len(script.received())
						_, body, err := sendAndRead(t, pool, testRequest("q1"))
						if got := failureOf(err); got != lostResponse {
							t.Errorf("%s, reused %t, %s after %d bytes: %q, %v", name, reused, ending, cut, body, err)
						}
						if requested := len(script.received()) - before; requested != 1 {
							t.Errorf("%s, reused %t, %s after %d bytes: sent %d times", name, reused, ending, cut, requested)
						}
					})
				}
			}
		}
	}
}

// shortConnection breaks after it has accepted a limited number of bytes.
type shortConnection struct {
	*pipeEnd
	left *int
}

func (connection shortConnection) Write(data []byte) (int, error) {
	count := min(len(data), *connection.left)
	*connection.left -= count
	if count > 0 {
		connection.pipeEnd.Write(data[:count])
	}
	if count < len(data) {
		connection.pipeEnd.Close()
		return count, syscall.ECONNRESET
	}
	return count, nil
}

// shortNetwork opens connections that together accept a limited number of bytes.
type shortNetwork struct {
	*scriptedRunner
	left int
}

func (network *shortNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	made, err := network.scriptedRunner.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return shortConnection{made.(*pipeEnd), &network.left}, nil
}

// TestRequestTruncatedAtEachByte: a request is reported as never sent only if no byte of it
// was accepted.
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

// runnerBehavior is how a randomRunner handles one request.
type runnerBehavior int

const (
	respondsCompletely runnerBehavior = iota
	respondsChunked
	respondsAfterInterim
	respondsAfterUnknownID
	respondsAfterEarlierID
	respondsTwice
	repeatsResponseLater
	sendsJunkLater
	respondsNoContent
	truncatesResponse
	sendsGarbage
	omitsID
	respondsAndCloses
	rejects
	misdirects
	closesSilently
	respondsLate
	behaviorCount
)

// randomRunner responds at random and records which requests it ran.
type randomRunner struct {
	network
	mutex      sync.Mutex
	random     *rand.Rand
	ran        map[string]int
	requestIDs []string
	received   map[string]int
}

// responseTo is the only complete response to a request; its body holds the request's ID.
func responseTo(id string) string { return strings.ReplaceAll(ok("done "+id), "NAME", id) }

func (runner *randomRunner) serve(_ int, connection *pipeEnd) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	pending := "" // sent before the next response
	for {
		received, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(received.Body); err != nil {
			return
		}
		response, later, open := runner.respond(received.Header.Get("Query-Name"), received.Method == http.MethodHead)
		io.WriteString(connection, pending+response)
		pending = later
		if !open {
			return
		}
	}
}

// respond draws the response, what is sent before the next response, and whether the
// connection stays open.
func (runner *randomRunner) respond(id string, head bool) (now, later string, open bool) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.received[id]++
	earlier := "q-none"
	if len(runner.requestIDs) > 0 {
		earlier = runner.requestIDs[runner.random.IntN(len(runner.requestIDs))]
	}
	runner.requestIDs = append(runner.requestIDs, id)
	behavior := runnerBehavior(runner.random.IntN(int(behaviorCount)))
	if behavior != rejects && behavior != misdirects {
		runner.ran[id]++
	}
	complete, idHeaderLine := responseTo(id), "Query-Name: "+id+"\r\n"
	if head {
		complete = strings.TrimSuffix(complete, "done "+id)
	}
	return behaviors[behavior](behaviorInput{id: id, earlier: earlier, complete: complete, idHeaderLine: idHeaderLine, head: head, random: runner.random})
}

// behaviorInput is the input from which a behavior builds its response.
type behaviorInput struct {
	id           string // ID of the request
	earlier      string // ID of an earlier request
	complete     string // complete response
	idHeaderLine string // header line with the ID
	head         bool   // the request's method is HEAD
	random       *rand.Rand
}

// behaviors return what is sent now, what is sent before the next response, and whether
// the connection stays open.
var behaviors = [behaviorCount]func(input behaviorInput) (now, later string, open bool){
	respondsCompletely: func(input behaviorInput) (string, string, bool) { return input.complete, "", true },
	respondsChunked: func(input behaviorInput) (string, string, bool) {
		if input.head {
			return input.complete, "", true
		}
		return "HTTP/1.1 200 OK\r\n" + input.idHeaderLine + "Transfer-Encoding: chunked\r\n\r\n5\r\ndone \r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(input.id), input.id), "", true
	},
	respondsAfterInterim: func(input behaviorInput) (string, string, bool) {
		return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n" + input.idHeaderLine + "\r\n" + input.complete, "", true
	},
	respondsAfterUnknownID: func(input behaviorInput) (string, string, bool) {
		return responseTo("q-foreign") + input.complete, "", true
	},
	respondsAfterEarlierID: func(input behaviorInput) (string, string, bool) {
		return responseTo(input.earlier) + input.complete, "", true
	},
	respondsTwice:        func(input behaviorInput) (string, string, bool) { return input.complete + input.complete, "", true },
	repeatsResponseLater: func(input behaviorInput) (string, string, bool) { return input.complete, input.complete, true },
	sendsJunkLater:       func(input behaviorInput) (string, string, bool) { return input.complete, "junk\r\n", true },
	respondsNoContent: func(input behaviorInput) (string, string, bool) {
		return "HTTP/1.1 204 No Content\r\n" + input.idHeaderLine + "\r\n", "", true
	},
	truncatesResponse: func(input behaviorInput) (string, string, bool) {
		return input.complete[:input.random.IntN(len(input.complete))], "", false
	},
	sendsGarbage: func(behaviorInput) (string, string, bool) { return "\x16\x03\x01 no answer\r\n\r\n", "", true },
	omitsID: func(input behaviorInput) (string, string, bool) {
		return strings.Replace(input.complete, input.idHeaderLine, "", 1), "", true
	},
	respondsAndCloses: func(input behaviorInput) (string, string, bool) {
		return strings.Replace(input.complete, "\r\n", "\r\nConnection: close\r\n", 1), "", false
	},
	rejects: func(input behaviorInput) (string, string, bool) {
		return "HTTP/1.1 503 Full\r\n" + input.idHeaderLine + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n", "", true
	},
	misdirects: func(input behaviorInput) (string, string, bool) {
		return "HTTP/1.1 421 Misdirected\r\n" + input.idHeaderLine + "Content-Length: 0\r\n\r\n", "", true
	},
	closesSilently: func(behaviorInput) (string, string, bool) { return "", "", false },
	respondsLate:   func(input behaviorInput) (string, string, bool) { return "", input.complete, true },
}

// TestRandomExchanges: whatever a runner sends, a response is returned only for the request
// whose ID it has. No request arrives twice, one reported as never sent does not arrive,
// and one reported as not run does not run.
func TestRandomExchanges(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runner := &randomRunner{random: rand.New(rand.NewPCG(seed, 2)), ran: map[string]int{}, received: map[string]int{}}
				runner.network.serve = runner.serve
				pool := New(&runner.network, testHeaders)
				defer pool.Close()
				var callers sync.WaitGroup
				for caller := range 3 {
					callers.Go(func() { runner.runCaller(t, pool, rand.New(rand.NewPCG(seed, uint64(caller))), caller) })
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

func (runner *randomRunner) runCaller(t *testing.T, pool *Pool, random *rand.Rand, caller int) {
	var open []*Response // closed when the caller ends
	defer func() {
		for _, response := range open {
			response.Close()
		}
	}()
	for number := range 60 {
		id := fmt.Sprintf("q-%d-%d", caller, number)
		method := http.MethodPost
		if random.IntN(8) == 0 {
			method = http.MethodHead
		}
		response, err := pool.Send(t.Context(), testRequest(id, func(request *Request) {
			request.Method, request.Deadline = method, time.Now().Add(time.Second)
		}))
		status, body := 0, []byte(nil)
		if err == nil {
			status = response.Status
			body, err = io.ReadAll(response)
			if responseID := response.Header.Get("Query-Name"); status < 300 && responseID != id {
				t.Errorf("%s got a response with the ID %q", id, responseID)
			}
			if random.IntN(10) > 0 {
				response.Close()
			} else {
				open = append(open, response)
			}
		}
		runner.checkOutcome(t, id, method, status, string(body), err)
		time.Sleep(time.Duration(random.IntN(3)) * time.Millisecond)
	}
}

func (runner *randomRunner) checkOutcome(t *testing.T, id, method string, status int, body string, err error) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	received, ran, reported := runner.received[id], runner.ran[id], failureOf(err)
	if received > 1 {
		t.Errorf("%s was sent %d times", id, received)
	}
	switch {
	case err == nil && ran != 1:
		t.Errorf("%s got a response and ran %d times", id, ran)
	case err == nil && method != http.MethodHead && status == http.StatusOK && body != "done "+id:
		t.Errorf("%s got %q", id, body)
	case reported.neverSent && received != 0:
		t.Errorf("%s is reported as never sent but arrived", id)
	case reported.kind == apierror.NotRun && ran != 0:
		t.Errorf("%s is reported as not run but ran", id)
	}
}

// TestLateResponseBeforeHeadResponse: a late response before that to a HEAD request must
// fail the request, because the end of the late one cannot be determined.
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

// checkArbitraryResponse sends a request to a runner that responds with the given bytes and
// checks that an accepted response is valid and that an error is typed.
func checkArbitraryResponse(t *testing.T, raw string, head, reused bool) {
	runner := newScriptedRunner([]string{raw + "|CLOSE"})
	if reused {
		runner.responses[0] = []string{ok("fine"), raw + "|CLOSE"}
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

// checkAccepted checks that a response belongs to its request and that its body is part of
// the bytes that the runner sent.
func checkAccepted(t *testing.T, raw string, response *Response, head, reused bool) {
	t.Helper()
	ids := response.Header["Query-Name"]
	if hasID := len(ids) > 0 && ids[0] == "q1"; !hasID && (reused || response.Status < 300) {
		t.Errorf("%q was taken for the response, with status %d and the IDs %q", raw, response.Status, ids)
	}
	body, err := io.ReadAll(response)
	if err == nil && response.Length >= 0 && !head && int64(len(body)) != response.Length {
		t.Errorf("%q: complete after %d bytes of %d", raw, len(body), response.Length)
	}
	if !bytes.Contains([]byte(raw), body) && len(response.Header["Transfer-Encoding"]) == 0 && response.Length >= 0 {
		t.Errorf("%q: body %q is not part of it", raw, body)
	}
}
