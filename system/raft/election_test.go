package raft

import "testing"

// TestRestartedGroupElectsALeaderSoonAfterItsSecondReplicaStarts lets three replicas start one
// after another, as machines do after an outage. Messages arrive and disks sync in the tick
// in which they are sent.
func TestRestartedGroupElectsALeaderSoonAfterItsSecondReplicaStarts(t *testing.T) {
	const between, most = 4, 8
	names := []string{"a", "b", "c"}
	founding := PersistentState{HardState: HardState{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Membership: Membership{Voters: names}}}
	sum := 0
	for seed := range uint64(200) {
		cores := map[string]*Core{}
		var step func(name string, input Input)
		step = func(name string, input Input) {
			output := cores[name].Step(input)
			if output.Write != nil {
				step(name, Input{Kind: InputSynced, Number: output.Write.Number})
			}
			for _, message := range output.Messages {
				if cores[message.To] != nil {
					step(message.To, Input{Kind: InputMessage, Message: message})
				}
			}
		}
		leaders := func() int {
			count := 0
			for _, core := range cores {
				if _, leading := core.Leading(); leading {
					count++
				}
			}
			return count
		}
		tick := 0
		for ; leaders() == 0 && tick < 100; tick++ {
			if position := tick / between; tick%between == 0 && position < len(names) {
				cores[names[position]] = New(Settings{Name: names[position], ElectionTicks: 14, HeartbeatTicks: 4, Seed: 10*seed + uint64(position)}, founding)
			}
			for _, name := range names {
				if cores[name] != nil {
					step(name, Input{Kind: InputTick})
				}
			}
		}
		took := tick - between
		sum += took
		if took > most || leaders() != 1 {
			t.Errorf("seed %d: %d leaders %d ticks after the second replica's start, want one after %d at most", seed, leaders(), took, most)
		}
	}
	if mean := float64(sum) / 200; mean > 4 {
		t.Errorf("a leader only %.1f ticks after the second replica's start, in the mean", mean)
	}
}
