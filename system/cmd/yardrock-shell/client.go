package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"yardrock.example/system/apierror"
	"yardrock.example/system/httpapi"
)

// queryResult is the response of a control node to a query or command.
type queryResult struct {
	// Columns and Rows are the result of a query.
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
	// Number is the feed number of the change that a command made. Acknowledged reports whether
	// the stores that must apply it have confirmed it. Either both or neither are present.
	Number       *uint64 `json:"number,omitempty"`
	Acknowledged *bool   `json:"acknowledged,omitempty"`
	// DryRunResult describes what a command would do; it is the result of a dry run.
	DryRunResult *string `json:"would,omitempty"`
}

// query sends a query or command to the control nodes in turn until one answers; each node
// forwards it to the leader. A command is sent to another node only if the previous one did
// not receive it or has no quorum.
func (shell *shell) query(text string) (*queryResult, error) {
	body, err := json.Marshal(map[string]string{"text": text})
	if err != nil {
		return nil, err
	}
	var lastErr error
	for _, control := range shell.controls {
		result, retry, err := shell.queryNode(control, text, body)
		if !retry {
			return result, err
		}
		lastErr = err
	}
	return nil, lastErr
}

// queryNode sends a query or command to one control node. retry reports that the next node may be
// tried, because this one did not receive the request or has no quorum.
func (shell *shell) queryNode(control, text string, body []byte) (result *queryResult, retry bool, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+control+"/v1/query", bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	request.Header.Set("Authorization", "Bearer "+shell.token)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		if !strings.Contains(err.Error(), "connect") && !strings.HasPrefix(text, "show") {
			return nil, false, &httpapi.Error{Kind: string(apierror.OutcomeUnknown), Message: err.Error(), Remedy: "show changes, then decide whether to send the command again"}
		}
		return nil, true, &httpapi.Error{Kind: string(apierror.Unavailable), Message: err.Error(), Remedy: "check the address, or name more control nodes"}
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		result := &queryResult{}
		return result, false, json.NewDecoder(response.Body).Decode(result)
	}
	failure := &httpapi.Error{}
	if err := json.NewDecoder(response.Body).Decode(failure); err != nil {
		return nil, false, fmt.Errorf("%s answered %s", control, response.Status)
	}
	return nil, failure.Kind == string(apierror.NoQuorum), failure
}
