package simulator

import (
	"fmt"
	"testing"
	"time"

	"yardrock.example/system/balancer"
	"yardrock.example/system/forwarding"
)

// engineOf returns the life of the engine that ran a request, or "" if none did.
func engineOf(cluster *Cluster, name string) string {
	for _, machine := range cluster.Engines {
		for _, one := range machine.Engine.Executions() {
			if one.RequestID == name {
				return machine.Engine.Incarnation
			}
		}
	}
	return ""
}

// TestConversationsStayOnTheirRunnerAcrossFronts guards against turns that lose their runner's cache
// because the front changes or all machines but the runners lose power. Fronts must read a
// conversation's runner from its session when a turn begins, with and without a stored history.
func TestConversationsStayOnTheirRunnerAcrossFronts(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		const programs, turns = 6, 6
		runners := map[string]string{}
		moved := 0
		for round := range turns {
			if round == turns/2 {
				cluster.interruptPower(t)
			}
			for number := range programs {
				program, path := fmt.Sprintf("program-%d", number), []string{"/talk/kept/1", "/talk/chat/1"}[number%2]
				name := fmt.Sprintf("%s-turn-%d", program, round)
				request := forwarding.Request{
					ID: name, Path: path, Body: []byte("more "), Program: program, Session: "main", HasOutputBudget: true, OutputBudget: 10000, MaxOutputTokens: 40,
					PromptParts: []balancer.PromptPart{{ID: "shared", Tokens: 2560}, {ID: program, Tokens: 900 * (round + 1)}},
				}
				if path == "/talk/kept/1" && round > 0 {
					request.Follows = fmt.Sprintf("%s-turn-%d", program, round-1)
				}
				err := cluster.Await(12*time.Second, "turn "+name, func() error {
					answer := cluster.Forward(cluster.Fronts[(number+round)%len(cluster.Fronts)], request)
					if !answer.Complete() {
						return fmt.Errorf("%d %w", answer.Status, answer.Err)
					}
					return nil
				})
				if err != nil {
					t.Fatal(err)
				}
				if runner := engineOf(cluster, name); runner != runners[program] && round > 0 {
					moved++
					t.Logf("%s ran on %s, the previous turn on %s", name, runner, runners[program])
				}
				runners[program] = engineOf(cluster, name)
			}
			cluster.Sleep(300 * time.Millisecond)
		}
		if moved > 0 {
			t.Errorf("%d of %d turns did not run on their conversation's runner", moved, programs*(turns-1))
		}
	})
}

// cyclePower cuts the power of all machines of the fleet for a second.
func (cluster *Cluster) cyclePower(t *testing.T) {
	t.Helper()
	for _, machine := range cluster.Machines() {
		machine.LosePower()
	}
	cluster.Sleep(time.Second)
	startAll(t, cluster.Machines())
}

// interruptPower cuts the power of all machines of the fleet for a second and waits until they
// serve again.
func (cluster *Cluster) interruptPower(t *testing.T) {
	t.Helper()
	cluster.cyclePower(t)
	if err := cluster.AwaitForwarding(12 * time.Second); err != nil {
		t.Fatal(err)
	}
}
