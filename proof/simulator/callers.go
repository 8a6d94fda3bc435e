package simulator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"yardrock.example/system/httpapi"
)

// Client returns an HTTP client on the cluster's network that opens a connection for each request.
//
//	answer, err := cluster.Client().Do(query)
func (cluster *Cluster) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, target string) (net.Conn, error) {
		return cluster.caller.Dial(ctx, target)
	}}}
}

// Answer is the response to a request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Error  httpapi.Error
}

// String formats an answer for a test's message.
//
//	t.Fatalf("%s", answer)
func (answer *Answer) String() string {
	if answer == nil {
		return "no answer"
	}
	return fmt.Sprintf("%d %.300s", answer.Status, answer.Body)
}

// Ask sends a request and reads the complete response.
//
//	answer, err := cluster.Ask(ctx, "POST", "10.0.2.1:7100", "/v1/lookups", simulator.TeamToken, body)
func (cluster *Cluster) Ask(ctx context.Context, method, address, path, token string, body any) (*Answer, error) {
	data, isText := body.(string)
	if !isText {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		data = string(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(data)))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	got, err := cluster.Client().Do(request)
	if err != nil {
		return nil, err
	}
	defer got.Body.Close()
	answer := &Answer{Status: got.StatusCode, Header: got.Header}
	if answer.Body, err = io.ReadAll(got.Body); err != nil {
		return answer, err
	}
	if got.StatusCode != http.StatusOK {
		// A body that is not JSON leaves Error empty; checks of its kind fail then.
		_ = json.Unmarshal(answer.Body, &answer.Error)
	}
	return answer, nil
}

// Administer sends a request to the control nodes one after the other until one answers with
// success. Else it returns the last response, or the last error if there was none.
//
//	answer, err := cluster.Administer("POST", "/v1/domains/east", map[string]string{"state": "emptied"})
func (cluster *Cluster) Administer(method, path string, body any) (*Answer, error) {
	var last *Answer
	var failed error
	for _, machine := range cluster.Controls {
		ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
		answer, err := cluster.Ask(ctx, method, machine.Host+":7200", path, RootToken, body)
		cancel()
		if err == nil && answer.Status == http.StatusOK {
			return answer, nil
		}
		if err == nil {
			last = answer
		}
		failed = err
	}
	if last != nil {
		return last, nil
	}
	return nil, failed
}

// ChangeResult is the response to a change.
type ChangeResult struct {
	Number       uint64 `json:"number"`
	Acknowledged bool   `json:"acknowledged"`
}

// PutConfig replaces the config in force, with retries until the change is acknowledged.
//
//	err := cluster.PutConfig(simulator.BasicConfig)
func (cluster *Cluster) PutConfig(rules string) error {
	return cluster.Await(20*time.Second, "a config acknowledged", func() error {
		answer, err := cluster.Administer(http.MethodGet, "/v1/config", nil)
		if err != nil || answer.Status != http.StatusOK {
			return errors.Join(err, fmt.Errorf("read: %+v", answer))
		}
		var reported struct{ Number uint64 }
		if err := json.Unmarshal(answer.Body, &reported); err != nil {
			return err
		}
		answer, err = cluster.Administer(http.MethodPut, "/v1/config", map[string]any{"source": Config(rules), "expected": reported.Number})
		if err != nil || answer.Status != http.StatusOK {
			return errors.Join(err, fmt.Errorf("put: %s", answer.Body))
		}
		var changed ChangeResult
		if err := json.Unmarshal(answer.Body, &changed); err != nil || !changed.Acknowledged {
			return errors.Join(err, errors.New("not acknowledged"))
		}
		return nil
	})
}

// StreamRecord is one line of a streamed answer.
type StreamRecord struct {
	Conversation string `json:"conversation"`
	Turn         uint64 `json:"turn"`
	Seq          uint64 `json:"seq"`
	Event        string `json:"event"`
	Words        string `json:"words"`
	End          string `json:"end"`
	Reason       string `json:"reason"`
	Kind         string `json:"kind"`
	Message      string `json:"message"`
}

// StreamedAnswer is a streamed answer as its caller received it.
type StreamedAnswer struct {
	Conversation string
	Turn         uint64
	Seqs         []uint64
	Words        string
	End          string
	Reason       string
	Error        string
}

// ReadStream reads a streamed answer up to its end mark; without one the error is
// io.ErrUnexpectedEOF.
//
//	said, err := simulator.ReadStream(body)
func ReadStream(body io.Reader) (*StreamedAnswer, error) {
	said := &StreamedAnswer{}
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		var reported StreamRecord
		if err := json.Unmarshal(lines.Bytes(), &reported); err != nil {
			return said, err
		}
		if reported.Conversation != "" {
			said.Conversation, said.Turn = reported.Conversation, reported.Turn
		}
		if reported.Event == "piece" {
			said.Words += reported.Words
			said.Seqs = append(said.Seqs, reported.Seq)
		}
		if reported.End != "" {
			said.End, said.Reason, said.Error = reported.End, reported.Reason, reported.Kind
			return said, nil
		}
	}
	return said, errors.Join(lines.Err(), io.ErrUnexpectedEOF)
}

// Turn starts a conversation, or continues one if the body names conversation and follows. An
// answer that is not complete is an error.
//
//	said, err := cluster.Turn(cluster.Fronts[0], map[string]any{"program": "dialogue", "kind": "talk", "words": "hello"})
func (cluster *Cluster) Turn(machine *Machine, body map[string]any) (*StreamedAnswer, error) {
	path := "/v1/conversations"
	if name, follows := body["conversation"]; follows {
		path += "/" + name.(string) + "/turns"
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	answer, err := cluster.Ask(ctx, http.MethodPost, machine.Host+":7100", path, TeamToken, body)
	if err != nil {
		return nil, err
	}
	if answer.Status != http.StatusOK {
		return nil, &answer.Error
	}
	said, err := ReadStream(bytes.NewReader(answer.Body))
	if err == nil && said.End != "complete" {
		err = fmt.Errorf("the answer ended as %s (%s %s)", said.End, said.Reason, said.Error)
	}
	return said, err
}
