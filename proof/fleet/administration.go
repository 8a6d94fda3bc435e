package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"yardrock.example/system/config"
)

// Config returns the config that the deployment starts with.
//
//	source := running.Config()
func (fleet *Fleet) Config() string {
	return fmt.Sprintf(`operators: root: token_hashes: [%q]
teams: depot: token_hashes: [%q]
programs: {
	dialogue: {team: "depot", allowance: 100000000, turn_limit: 400}
	permits: {team: "depot", allowance: 100000000, turn_limit: 400}
	counter: {team: "depot", allowance: 100000000, turn_limit: 400}
	tight: {team: "depot", allowance: %d, turn_limit: %d}
}
groups: {
	small: {concurrency: 24, cold_concurrency: 4, ramp: "3s"}
	large: {concurrency: 24, cold_concurrency: 4, ramp: "3s"}
	application: {concurrency: 32, cold_concurrency: 8, ramp: "3s"}
}
tables: {
	talk: {small: 2, large: 1}
	plain: application: 1
}
kinds: {
	talk: {serves: "turn", table: "talk", path: "/turn"}
	lookup: {serves: "plain", table: "plain", path: "/lookup-0"}
	receipt: {serves: "plain", table: "plain", path: "/plain", repeatable: false}
	invoice: {serves: "plain", table: "plain", path: "/plain", repeatable: false, urgency: "bulk"}
	activation: {serves: "plain", table: "plain", path: "/plain", repeatable: false, urgency: "urgent"}
}
platform: runner_list: "http://%s/runners"
`, config.HashToken(RootToken), config.HashToken(TeamToken), tightQuota, tightTurn, fleet.Platform)
}

func (fleet *Fleet) putFirstConfig(ctx context.Context) error {
	for {
		number, _, err := fleet.ReadConfig(ctx)
		if err == nil {
			if _, err = fleet.changeConfig(ctx, http.MethodPut, map[string]any{"source": fleet.Config(), "expected": number}); err == nil {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the control plane took no config: %w", err)
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// Administer sends an administration request to the control nodes one after the other until one
// answers with success, and decodes the response.
//
//	err := running.Administer(ctx, http.MethodGet, "/v1/fleet", nil, &view)
func (fleet *Fleet) Administer(ctx context.Context, method, path string, body, answer any) error {
	var failed error
	for _, control := range fleet.ProcessesOf("control") {
		if failed = Administer(ctx, control.PublicAddress, method, path, body, answer); failed == nil {
			return nil
		}
	}
	return failed
}

// Administer sends an administration request to one control node and decodes the response.
//
//	err := fleet.Administer(ctx, control.PublicAddress, http.MethodGet, "/v1/fleet", nil, &view)
func Administer(ctx context.Context, address, method, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+RootToken)
	request.Header.Set("Content-Type", "application/json")
	got, err := (&http.Client{Timeout: 8 * time.Second}).Do(request)
	if err != nil {
		return err
	}
	defer got.Body.Close()
	reported, err := io.ReadAll(got.Body)
	if err != nil {
		return err
	}
	if got.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", got.Status, strings.TrimSpace(string(reported)))
	}
	if answer == nil {
		return nil
	}
	return json.Unmarshal(reported, answer)
}

// ReadConfig reads the number and the source of the newest config.
//
//	number, source, err := running.ReadConfig(ctx)
func (fleet *Fleet) ReadConfig(ctx context.Context) (uint64, string, error) {
	var reported struct {
		Number uint64 `json:"number"`
		Source string `json:"source"`
	}
	err := fleet.Administer(ctx, http.MethodGet, "/v1/config", nil, &reported)
	return reported.Number, reported.Source, err
}

// ChangeResult is the response to a change.
type ChangeResult struct {
	Number       uint64 `json:"number"`
	Acknowledged bool   `json:"acknowledged"`
}
