package simulator

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/forwarding"
	"yardrock.example/system/placement"
)

// pseudoRandomText returns pseudo-random text of the given length, determined by the seed.
func pseudoRandomText(seed uint64, length int) string {
	random, text := rand.New(rand.NewPCG(seed, 1)), &strings.Builder{}
	for text.Len() < length {
		fmt.Fprintf(text, "word%d ", random.IntN(100000))
	}
	return text.String()[:length]
}

// programsInGroup returns names of programs whose sessions belong to the given group.
func programsInGroup(group uint32, prefix string, count int) []string {
	names := []string{}
	for number := 0; len(names) < count; number++ {
		if name := fmt.Sprintf("%s-%d", prefix, number); placement.GroupOf("program/"+name, 8) == group {
			names = append(names, name)
		}
	}
	return names
}

// agent is a program that sends consecutive turns and records their history and outcomes.
type agent struct {
	cluster     *Cluster
	program     string
	prefix      string
	history     string
	follows     string
	attempts    int
	complete    []string
	rejected    []string
	interrupted []string
}

// turn sends the next turn to a front until it is complete, with a new name for each attempt,
// and checks the prompt that the engine received.
func (agent *agent) turn(t *testing.T, front int) {
	t.Helper()
	for began := time.Now(); ; {
		agent.attempts++
		name := fmt.Sprintf("%s-t%d", agent.program, agent.attempts)
		input := fmt.Sprintf(" turn %d of %s. ", len(agent.complete), agent.program)
		if agent.follows == "" {
			input = agent.prefix + input
		}
		answer := agent.cluster.Forward(agent.cluster.Fronts[front%2], forwarding.Request{ID: name, Path: "/talk/kept/1", Follows: agent.follows, Body: []byte(input), Program: agent.program, HasOutputBudget: true, OutputBudget: 100000, MaxOutputTokens: 40})
		if executionsOf(agent.cluster, name) > 0 && promptOf(agent.cluster, name) != agent.history+input {
			t.Fatalf("%s: the engine received a prompt of %d bytes, want %d", name, len(promptOf(agent.cluster, name)), len(agent.history+input))
		}
		switch {
		case answer.Complete():
			agent.complete, agent.follows, agent.history = append(agent.complete, name), name, agent.history+input+answer.Text()
			return
		case apierror.Is(answer.Err, apierror.NotFound):
			t.Fatalf("%s was rejected because %s is unknown", name, agent.follows)
		case answer.Rejected():
			agent.rejected = append(agent.rejected, name)
		default:
			agent.interrupted = append(agent.interrupted, name)
		}
		if time.Since(began) > 40*time.Second {
			t.Fatalf("%s is not complete after 40 s: %v", name, answer.Err)
		}
		agent.cluster.Sleep(200 * time.Millisecond)
	}
}

// check compares the outcomes reported to the agent with the executions at the engines.
func (agent *agent) check(t *testing.T) {
	t.Helper()
	for _, outcome := range []struct {
		names            []string
		minimum, maximum int
	}{{agent.complete, 1, 1}, {agent.rejected, 0, 0}, {agent.interrupted, 0, 1}} {
		for _, name := range outcome.names {
			if runs := executionsOf(agent.cluster, name); runs < outcome.minimum || runs > outcome.maximum {
				t.Errorf("%s ran %d times, want %d to %d", name, runs, outcome.minimum, outcome.maximum)
			}
		}
	}
}
