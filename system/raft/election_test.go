package raft

import "testing"

// restartedGroup is a group of three replicas that start one after another, as after an outage.
// Messages are delivered and writes are synced within the step that produces them.
type restartedGroup struct {
	names     []string
	bootstrap PersistentState
	cores     map[string]*Core
}

func newRestartedGroup() *restartedGroup {
	names := []string{"a", "b", "c"}
	return &restartedGroup{names: names, cores: map[string]*Core{},
		bootstrap: PersistentState{HardState: HardState{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Membership: Membership{Voters: names}}}}
}

func (group *restartedGroup) start(position int, seed uint64) {
	name := group.names[position]
	group.cores[name] = New(Settings{Name: name, ElectionTicks: 14, HeartbeatTicks: 4, Seed: 10*seed + uint64(position)}, group.bootstrap)
}

func (group *restartedGroup) step(name string, input Input) {
	output := group.cores[name].Step(input)
	if output.Write != nil {
		group.step(name, Input{Kind: InputSynced, Number: output.Write.Number})
	}
	for _, message := range output.Messages {
		if group.cores[message.To] != nil {
			group.step(message.To, Input{Kind: InputMessage, Message: message})
		}
	}
}

func (group *restartedGroup) tick() {
	for _, name := range group.names {
		if group.cores[name] != nil {
			group.step(name, Input{Kind: InputTick})
		}
	}
}

func (group *restartedGroup) leaderCount() int {
	count := 0
	for _, core := range group.cores {
		if _, leading := core.Leading(); leading {
			count++
		}
	}
	return count
}

func TestRestartedGroupElectsALeaderSoonAfterItsSecondReplicaStarts(t *testing.T) {
	const ticksBetweenStarts, maxTicks = 4, 8
	sum := 0
	for seed := range uint64(200) {
		group := newRestartedGroup()
		tick := 0
		for ; group.leaderCount() == 0 && tick < 100; tick++ {
			if position := tick / ticksBetweenStarts; tick%ticksBetweenStarts == 0 && position < len(group.names) {
				group.start(position, seed)
			}
			group.tick()
		}
		elapsed := tick - ticksBetweenStarts
		sum += elapsed
		if elapsed > maxTicks || group.leaderCount() != 1 {
			t.Errorf("seed %d: %d leaders %d ticks after the second replica started, want one leader within %d ticks", seed, group.leaderCount(), elapsed, maxTicks)
		}
	}
	if mean := float64(sum) / 200; mean > 4 {
		t.Errorf("a leader was elected %.1f ticks after the second replica started on average, want at most 4", mean)
	}
}
