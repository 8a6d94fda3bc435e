package replica

import (
	"strings"
	"testing"

	"yardrock.example/system/metrics"
)

func TestReplicaMetrics(t *testing.T) {
	registry := metrics.NewRegistry()
	host, err := openHost(t, t.TempDir(), fastSettings().WithMetrics(registry), &textStateMachine{})
	if err != nil {
		t.Fatal(err)
	}
	has := func(line string) bool {
		text := &strings.Builder{}
		registry.Write(text)
		return strings.Contains(text.String(), line+"\n")
	}
	if !has("yardrock_groups 0") || !has("yardrock_elections_won_total 0") {
		t.Error("a host without groups reports groups or elections")
	}
	bootstrapSingleVoter(t, host)
	host.Bootstrap(2, []string{host.Name(), "another"}, nil) // never elects a leader
	propose(t, host, []byte("command"))
	for _, line := range []string{"yardrock_groups 2", "yardrock_groups_led 1", "yardrock_groups_without_leader 1", "yardrock_elections_won_total 1"} {
		await(t, line, func() bool { return has(line) })
	}
	if has("yardrock_disk_jobs_total 0") || has("yardrock_log_memory_bytes 0") {
		t.Error("a command was committed, but the disk metrics are zero")
	}
}
