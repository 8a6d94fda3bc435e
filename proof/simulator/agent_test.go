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

// prose makes text of some length that a seed alone decides.
func prose(seed uint64, length int) string {
	random, made := rand.New(rand.NewPCG(seed, 1)), &strings.Builder{}
	for made.Len() < length {
		fmt.Fprintf(made, "word%d ", random.IntN(100000))
	}
	return made.String()[:length]
}

// programsOf returns names of programs whose lines are in one group.
func programsOf(group uint32, prefix string, count int) []string {
	names := []string{}
	for number := 0; len(names) < count; number++ {
		if name := fmt.Sprintf("%s-%d", prefix, number); placement.GroupOf("program/"+name, 8) == group {
			names = append(names, name)
		}
	}
	return names
}

// agent is a program that takes one turn after the other and knows what it heard.
type agent struct {
	cluster  *Cluster
	program  string
	prefix   string
	history  string
	follows  string
	attempts int
	complete []string
	refused  []string
	broken   []string
}

// turn takes one turn at a front, under a new name each time that it was refused or broken
// off, and checks what the engine heard.
func (agent *agent) turn(t *testing.T, front int) {
	t.Helper()
	for began := time.Now(); ; {
		agent.attempts++
		name := fmt.Sprintf("%s-t%d", agent.program, agent.attempts)
		words := fmt.Sprintf(" turn %d of %s. ", len(agent.complete), agent.program)
		if agent.follows == "" {
			words = agent.prefix + words
		}
		answer := agent.cluster.Forward(agent.cluster.Fronts[front%2], forwarding.Request{Name: name, Path: "/talk/kept/1", Follows: agent.follows, Body: []byte(words), Program: agent.program, HasOutputBudget: true, OutputBudget: 100000, MaxOutputTokens: 40})
		if executionsOf(agent.cluster, name) > 0 && promptOf(agent.cluster, name) != agent.history+words {
			t.Fatalf("%s was heard with %d bytes, not the %d that were said", name, len(promptOf(agent.cluster, name)), len(agent.history+words))
		}
		switch {
		case answer.Complete():
			agent.complete, agent.follows, agent.history = append(agent.complete, name), name, agent.history+words+answer.Text()
			return
		case apierror.Is(answer.Err, apierror.NotFound):
			t.Fatalf("%s was told that %s is unknown", name, agent.follows)
		case answer.Rejected():
			agent.refused = append(agent.refused, name)
		default:
			agent.broken = append(agent.broken, name)
		}
		if time.Since(began) > 40*time.Second {
			t.Fatalf("%s gets nowhere: %v", name, answer.Err)
		}
		agent.cluster.Sleep(200 * time.Millisecond)
	}
}

// check compares the outcomes that the agent got with what the engines ran.
func (agent *agent) check(t *testing.T) {
	t.Helper()
	for _, reported := range []struct {
		names          []string
		least, maximum int
	}{{agent.complete, 1, 1}, {agent.refused, 0, 0}, {agent.broken, 0, 1}} {
		for _, name := range reported.names {
			if runs := executionsOf(agent.cluster, name); runs < reported.least || runs > reported.maximum {
				t.Errorf("%s ran %d times, not %d to %d", name, runs, reported.least, reported.maximum)
			}
		}
	}
}
