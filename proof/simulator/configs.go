package simulator

import (
	"strings"

	"yardrock.example/system/config"
)

// BasicConfig is the config template of most tests, with placeholders for the token hashes.
const BasicConfig = `
operators: {}
teams: {
	depot: token_hashes: ["DEPOT"]
	other: token_hashes: ["OTHER"]
}
programs: {
	dialogue: {team: "depot", allowance: 1000000, turn_limit: 200}
	tight: {team: "depot", allowance: 60, turn_limit: 25}
	short: {team: "depot", allowance: 1000000, turn_limit: 5}
	foreign: {team: "other", allowance: 1000000, turn_limit: 200}
}
groups: {
	small: {concurrency: 16, cold_concurrency: 2, ramp: "1s"}
	application: {concurrency: 16, cold_concurrency: 2, ramp: "1s"}
}
tables: {
	talk: small: 1
	plain: application: 1
}
kinds: {
	talk: {serves: "turn", table: "talk", path: "/turn", patience: "5s"}
	lookup: {serves: "plain", table: "plain", path: "/plain", patience: "5s"}
	receipt: {serves: "plain", table: "plain", path: "/plain", repeatable: false, patience: "5s"}
}
platform: {runner_list: "http://10.0.5.1:9000/runners", poll: "500ms"}
`

// Config replaces the placeholders of a config template with the token hashes.
//
//	source := simulator.Config(simulator.BasicConfig)
func Config(template string) string {
	return strings.NewReplacer("DEPOT", config.HashToken(TeamToken), "OTHER", config.HashToken(OtherToken)).Replace(template)
}
