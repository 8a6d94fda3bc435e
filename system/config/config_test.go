package config_test

import (
	"strings"
	"testing"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/configsource"
)

const validSource = `
operators: root: token_hashes: []
teams: depot: token_hashes: []
programs: manifest: {team: "depot", allowance: 100, turn_limit: 10}
groups: {small: {}, large: concurrency: 3}
tables: chat: {small: 3, large: 1}
kinds: chat: {serves: "turn", table: "chat"}
`

func TestInvalidConfigNamesPathAndRemedy(t *testing.T) {
	decoded, compiled, err := configsource.Compile(validSource)
	if err != nil {
		t.Fatal(err)
	}
	redecoded, err := config.Decode(compiled)
	if err != nil || redecoded.RunnerGroups["large"].Concurrency != 3 || time.Duration(redecoded.Programs["manifest"].Retention) != 24*time.Hour {
		t.Fatalf("the compiled form decodes to a different config: %+v %v", redecoded, err)
	}
	if !decoded.WorkKinds["chat"].Repeatable || decoded.Limits.Queue != 200 {
		t.Fatalf("defaults were not applied: %+v", decoded)
	}
	for broken, path := range map[string]string{
		validSource + `programs: manifest: allowance: -1`:                         "programs.manifest.allowance",
		validSource + `tables: chat: huge: 1`:                                     "tables.chat.huge",
		validSource + `kinds: late: {serves: "turn", table: "none"}`:              "kinds.late.table",
		validSource + `tables: chat: small: 4`:                                    "tables.chat.small",
		validSource + `colour: "red"`:                                             "colour",
		validSource + `programs: other: {team: "x", allowance: 1, turn_limit: 1}`: "programs.other.team",
		validSource + `limits: queue_patience: "soon"`:                            "limits.queue_patience",
		`teams: {`: "line 1",
	} {
		_, _, err := configsource.Compile(broken)
		if !apierror.Is(err, apierror.Invalid) || !strings.Contains(err.Error(), path) || !strings.Contains(err.Error(), "remedy") {
			t.Errorf("%q: %v", strings.TrimPrefix(broken, validSource), err)
		}
	}
}
