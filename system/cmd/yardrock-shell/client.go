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

type queryResult struct {
	Columns      []string   `json:"columns"`
	Rows         [][]string `json:"rows"`
	Number       *uint64    `json:"number,omitempty"`
	Acknowledged *bool      `json:"acknowledged,omitempty"`
	Would        *string    `json:"would,omitempty"`
}

// query tries the control nodes in turn; each passes on to the leader itself. A
// command is sent to another node only if it provably did not arrive.
func (shell *shell) query(text string) (*queryResult, error) {
	body, err := json.Marshal(map[string]string{"text": text})
	if err != nil {
		return nil, err
	}
	var last error
	for _, control := range shell.controls {
		request, err := http.NewRequest(http.MethodPost, "http://"+control+"/v1/query", bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		request.Header.Set("Authorization", "Bearer "+shell.token)
		request.Header.Set("Content-Type", "application/json")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			last = &httpapi.Error{Kind: string(apierror.Unavailable), Message: err.Error(), Remedy: "check the address, or name more control nodes"}
			if !strings.Contains(err.Error(), "connect") && !strings.HasPrefix(text, "show") {
				return nil, &httpapi.Error{Kind: string(apierror.OutcomeUnknown), Message: err.Error(), Remedy: "show changes, then decide whether to send the command again"}
			}
			continue
		}
		defer response.Body.Close()
		if response.StatusCode == http.StatusOK {
			result := &queryResult{}
			return result, json.NewDecoder(response.Body).Decode(result)
		}
		failure := &httpapi.Error{}
		if err := json.NewDecoder(response.Body).Decode(failure); err != nil {
			return nil, fmt.Errorf("%s answered %s", control, response.Status)
		}
		if last = failure; failure.Kind != string(apierror.NoQuorum) {
			return nil, failure
		}
	}
	return nil, last
}
