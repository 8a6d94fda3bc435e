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

// Config returns the initial config of the deployment.
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
`, config.HashToken(RootToken), config.HashToken(TeamToken), tightQuota, tightTurnLimit, fleet.PlatformAddress)
}

func (fleet *Fleet) putInitialConfig(ctx context.Context) error {
	for {
		number, _, err := fleet.ReadConfig(ctx)
		if err == nil {
			if _, err = fleet.changeConfig(ctx, http.MethodPut, map[string]any{"source": fleet.Config(), "expected": number}); err == nil {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the control plane did not accept the initial config: %w", err)
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// Administer sends an administration request to one control node after another until one succeeds,
// and decodes the response into result.
//
//	err := running.Administer(ctx, http.MethodGet, "/v1/fleet", nil, &view)
func (fleet *Fleet) Administer(ctx context.Context, method, path string, body, result any) error {
	var lastErr error
	for _, control := range fleet.ProcessesOf("control") {
		if lastErr = Administer(ctx, control.PublicAddress, method, path, body, result); lastErr == nil {
			return nil
		}
	}
	return lastErr
}

// Administer sends an administration request to one control node and decodes the response into
// result, unless that is nil.
//
//	err := fleet.Administer(ctx, control.PublicAddress, http.MethodGet, "/v1/fleet", nil, &view)
func Administer(ctx context.Context, address, method, path string, body, result any) error {
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
	response, err := (&http.Client{Timeout: 8 * time.Second}).Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", response.Status, strings.TrimSpace(string(content)))
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(content, result)
}

// ReadConfig reads the number and the source of the current config.
//
//	number, source, err := running.ReadConfig(ctx)
func (fleet *Fleet) ReadConfig(ctx context.Context) (uint64, string, error) {
	var result struct {
		Number uint64 `json:"number"`
		Source string `json:"source"`
	}
	err := fleet.Administer(ctx, http.MethodGet, "/v1/config", nil, &result)
	return result.Number, result.Source, err
}

// ChangeResult is the response to a config change.
type ChangeResult struct {
	Number       uint64 `json:"number"`
	Acknowledged bool   `json:"acknowledged"`
}
