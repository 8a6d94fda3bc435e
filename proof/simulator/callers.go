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

// Client returns an HTTP client on the cluster's network that opens a new connection for each
// request.
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

// String formats the status and the start of the body for test messages.
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
	response, err := cluster.Client().Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	answer := &Answer{Status: response.StatusCode, Header: response.Header}
	if answer.Body, err = io.ReadAll(response.Body); err != nil {
		return answer, err
	}
	if response.StatusCode != http.StatusOK {
		// A body that is not JSON leaves Error empty, so that checks of its kind fail.
		_ = json.Unmarshal(answer.Body, &answer.Error)
	}
	return answer, nil
}

// Administer sends a request to one control node after the other until one answers 200 OK. If
// none does, it returns the last response, or the last error if there was no response.
//
//	answer, err := cluster.Administer("POST", "/v1/domains/east", map[string]string{"state": "emptied"})
func (cluster *Cluster) Administer(method, path string, body any) (*Answer, error) {
	var lastAnswer *Answer
	var lastErr error
	for _, machine := range cluster.Controls {
		ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
		answer, err := cluster.Ask(ctx, method, machine.Host+":7200", path, RootToken, body)
		cancel()
		if err == nil && answer.Status == http.StatusOK {
			return answer, nil
		}
		if err == nil {
			lastAnswer = answer
		}
		lastErr = err
	}
	if lastAnswer != nil {
		return lastAnswer, nil
	}
	return nil, lastErr
}

// ChangeResult is the response to a change.
type ChangeResult struct {
	Number       uint64 `json:"number"`
	Acknowledged bool   `json:"acknowledged"`
}

// PutConfig replaces the current config and retries until the change is acknowledged.
//
//	err := cluster.PutConfig(simulator.BasicConfig)
func (cluster *Cluster) PutConfig(template string) error {
	return cluster.Await(20*time.Second, "acknowledged config", func() error {
		answer, err := cluster.Administer(http.MethodGet, "/v1/config", nil)
		if err != nil || answer.Status != http.StatusOK {
			return errors.Join(err, fmt.Errorf("read: %+v", answer))
		}
		var current struct{ Number uint64 }
		if err := json.Unmarshal(answer.Body, &current); err != nil {
			return err
		}
		answer, err = cluster.Administer(http.MethodPut, "/v1/config", map[string]any{"source": Config(template), "expected": current.Number})
		if err != nil || answer.Status != http.StatusOK {
			return errors.Join(err, fmt.Errorf("put: %s", answer.Body))
		}
		var result ChangeResult
		if err := json.Unmarshal(answer.Body, &result); err != nil || !result.Acknowledged {
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

// ReadStream reads a streamed answer up to its end record. Without one, the error is
// io.ErrUnexpectedEOF.
//
//	answer, err := simulator.ReadStream(body)
func ReadStream(body io.Reader) (*StreamedAnswer, error) {
	answer := &StreamedAnswer{}
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		var record StreamRecord
		if err := json.Unmarshal(lines.Bytes(), &record); err != nil {
			return answer, err
		}
		if record.Conversation != "" {
			answer.Conversation, answer.Turn = record.Conversation, record.Turn
		}
		if record.Event == "piece" {
			answer.Words += record.Words
			answer.Seqs = append(answer.Seqs, record.Seq)
		}
		if record.End != "" {
			answer.End, answer.Reason, answer.Error = record.End, record.Reason, record.Kind
			return answer, nil
		}
	}
	return answer, errors.Join(lines.Err(), io.ErrUnexpectedEOF)
}

// Turn starts a conversation, or continues one if the body has the fields conversation and
// follows. An answer that is not complete is an error.
//
//	streamed, err := cluster.Turn(cluster.Fronts[0], map[string]any{"program": "dialogue", "kind": "talk", "words": "hello"})
func (cluster *Cluster) Turn(machine *Machine, body map[string]any) (*StreamedAnswer, error) {
	path := "/v1/conversations"
	if name, continues := body["conversation"]; continues {
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
	streamed, err := ReadStream(bytes.NewReader(answer.Body))
	if err == nil && streamed.End != "complete" {
		err = fmt.Errorf("the answer ended as %s (%s %s)", streamed.End, streamed.Reason, streamed.Error)
	}
	return streamed, err
}
