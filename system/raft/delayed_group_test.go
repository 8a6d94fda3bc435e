package raft

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// delayedGroup is a leader "a" with a voter "b" and a voter "c" that is far behind. Messages
// take some ticks, and may be lost, repeated and reordered.
type delayedGroup struct {
	t        *testing.T
	random   *rand.Rand
	cores    map[string]*Core
	disks    map[string]PersistentState
	settings Settings
	due      []dueMessage
	now      int
	// lost and repeated are out of a thousand messages; maxDelay is in ticks. Messages between
	// two replicas keep their order, as on a connection, unless they are reordered.
	lost, repeated, maxDelay int
	reordered                bool
	last                     map[[2]string]int
	// intercept, if set, gets each message that arrives, and may change it.
	intercept  func(*Message)
	chunks     int
	heartbeats []int // the ticks at which "c" received appends
	rejections []SnapshotRejection
}

type dueMessage struct {
	at      int
	message Message
}

// newDelayedGroup returns a group in which "a" leads, with a snapshot of a size at a high index.
func newDelayedGroup(t *testing.T, seed uint64, size int) *delayedGroup {
	t.Helper()
	group := &delayedGroup{t: t, random: rand.New(rand.NewPCG(seed, 2)), cores: map[string]*Core{}, disks: map[string]PersistentState{}, last: map[[2]string]int{}}
	group.settings = Settings{Group: 4, ElectionTicks: 14, HeartbeatTicks: 4, Seed: seed}
	names := []string{"a", "b", "c"}
	bootstrap := PersistentState{HardState: HardState{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Membership: Membership{Voters: names}}}
	for _, name := range names {
		group.disks[name] = bootstrap
		if name != "c" {
			group.start(name)
		}
	}
	for !group.cores["a"].Status().Leading || !group.cores["a"].Status().CommittedInTerm {
		group.tick("a")
		if group.now > 500 {
			t.Fatal("a was not elected")
		}
	}
	for number := range 50 {
		group.step("a", Input{Kind: InputPropose, Data: fmt.Appendf(nil, "command %d", number)})
		group.tick("a")
	}
	group.compact(size)
	return group
}

// contentAt is the content of the snapshot at an index.
func contentAt(index uint64, size int) []byte {
	content := bytes.Repeat(fmt.Appendf(nil, "%d.", index), size/2+1)[:size]
	return content
}

func (group *delayedGroup) compact(size int) {
	index := group.cores["a"].Applied()
	group.step("a", Input{Kind: InputCompact, Index: index, Data: contentAt(index, size)})
}

func (group *delayedGroup) start(name string) {
	settings := group.settings
	settings.Name = name
	group.cores[name] = New(settings, group.disks[name])
}

func (group *delayedGroup) step(name string, input Input) {
	output := group.cores[name].Step(input)
	for output.Write != nil || len(output.Messages) > 0 || output.Snapshot != nil || output.SnapshotRejected != nil {
		if output.SnapshotRejected != nil {
			group.rejections = append(group.rejections, output.SnapshotRejected.Reason)
		}
		if snapshot := output.Snapshot; snapshot != nil && !bytes.Equal(snapshot.Data, contentAt(snapshot.Index, len(snapshot.Data))) {
			group.t.Fatalf("%s installed a snapshot of %d that nobody took", name, snapshot.Index)
		}
		for _, message := range output.Messages {
			group.post(message)
		}
		write := output.Write
		if output = (Output{}); write != nil {
			group.disks[name] = group.disks[name].With(write)
			output = group.cores[name].Step(Input{Kind: InputSynced, Number: write.Number})
		}
	}
}

func (group *delayedGroup) post(message Message) {
	if message.Kind == MessageSnapshotChunk {
		group.chunks++
	}
	copies := 1
	if group.random.IntN(1000) < group.repeated {
		copies++
	}
	for range copies {
		if group.random.IntN(1000) >= group.lost {
			group.due = append(group.due, dueMessage{group.arrival(message), message})
		}
	}
}

// arrival draws the tick at which a message arrives.
func (group *delayedGroup) arrival(message Message) int {
	at, way := group.now+group.random.IntN(group.maxDelay+1), [2]string{message.From, message.To}
	if !group.reordered {
		at = max(at, group.last[way])
		group.last[way] = at
	}
	return at
}

// tick lets a tick pass at the named replicas, and delivers what is due.
func (group *delayedGroup) tick(names ...string) {
	group.now++
	for _, name := range names {
		group.step(name, Input{Kind: InputTick, Number: uint64(group.now)})
	}
	for {
		at := slices.IndexFunc(group.due, func(one dueMessage) bool { return one.at <= group.now })
		if at < 0 {
			return
		}
		message := group.due[at].message
		group.due = slices.Delete(group.due, at, at+1)
		if group.cores[message.To] == nil {
			continue
		}
		if message.To == "c" && message.Kind == MessageAppend {
			group.heartbeats = append(group.heartbeats, group.now)
		}
		if group.intercept != nil {
			group.intercept(&message)
		}
		group.step(message.To, Input{Kind: InputMessage, Message: message})
	}
}

// caughtUp starts "c" and returns the number of ticks until it has the leader's complete log.
func (group *delayedGroup) caughtUp(limit int, each func(tick int)) int {
	group.t.Helper()
	group.start("c")
	for tick := range limit {
		if each != nil {
			each(tick)
		}
		group.tick("a", "b", "c")
		if group.cores["c"].Status().CommitIndex == group.cores["a"].Status().LastIndex {
			return tick
		}
	}
	group.t.Fatalf("c has %d of %d after %d ticks; %d chunks were sent", group.cores["c"].Status().CommitIndex, group.cores["a"].Status().LastIndex, limit, group.chunks)
	return 0
}
