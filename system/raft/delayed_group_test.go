package raft

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// delayedGroup is a group of a leader "a", a voter "b" and a voter "c" that starts late, far
// behind the others. Messages are delayed, and may be lost, duplicated and reordered.
type delayedGroup struct {
	t        *testing.T
	random   *rand.Rand
	cores    map[string]*Core
	disks    map[string]PersistentState
	settings Settings
	inFlight []delayedMessage
	now      int
	// maxDelay is in ticks. Messages between two replicas keep their order, as on a connection,
	// unless reorder is set.
	lossPerMille, duplicatePerMille, maxDelay int
	reorder                                   bool
	lastArrival                               map[[2]string]int
	// intercept, if set, is called with each message before delivery, and may change it.
	intercept      func(*Message)
	sentChunks     int
	heartbeatTicks []int // ticks at which "c" received appends
	rejections     []SnapshotRejection
}

type delayedMessage struct {
	at      int // tick of arrival
	message Message
}

// newDelayedGroup returns a group in which "a" leads, with 50 commands compacted into a snapshot of
// size bytes. "c" is not started.
func newDelayedGroup(t *testing.T, seed uint64, size int) *delayedGroup {
	t.Helper()
	group := &delayedGroup{t: t, random: rand.New(rand.NewPCG(seed, 2)), cores: map[string]*Core{}, disks: map[string]PersistentState{}, lastArrival: map[[2]string]int{}}
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

// snapshotContent returns the content of the snapshot at an index.
func snapshotContent(index uint64, size int) []byte {
	content := bytes.Repeat(fmt.Appendf(nil, "%d.", index), size/2+1)[:size]
	return content
}

func (group *delayedGroup) compact(size int) {
	index := group.cores["a"].AppliedIndex()
	group.step("a", Input{Kind: InputCompact, Index: index, Data: snapshotContent(index, size)})
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
		if snapshot := output.Snapshot; snapshot != nil && !bytes.Equal(snapshot.Data, snapshotContent(snapshot.Index, len(snapshot.Data))) {
			group.t.Fatalf("%s installed a snapshot at index %d with unexpected content", name, snapshot.Index)
		}
		for _, message := range output.Messages {
			group.enqueue(message)
		}
		write := output.Write
		if output = (Output{}); write != nil {
			group.disks[name] = group.disks[name].With(write)
			output = group.cores[name].Step(Input{Kind: InputSynced, Number: write.Number})
		}
	}
}

func (group *delayedGroup) enqueue(message Message) {
	if message.Kind == MessageSnapshotChunk {
		group.sentChunks++
	}
	copies := 1
	if group.random.IntN(1000) < group.duplicatePerMille {
		copies++
	}
	for range copies {
		if group.random.IntN(1000) >= group.lossPerMille {
			group.inFlight = append(group.inFlight, delayedMessage{group.arrivalTick(message), message})
		}
	}
}

// arrivalTick chooses the tick at which a message arrives.
func (group *delayedGroup) arrivalTick(message Message) int {
	arrival, link := group.now+group.random.IntN(group.maxDelay+1), [2]string{message.From, message.To}
	if !group.reorder {
		arrival = max(arrival, group.lastArrival[link])
		group.lastArrival[link] = arrival
	}
	return arrival
}

// tick advances the named replicas by one tick and delivers the messages that are due.
func (group *delayedGroup) tick(names ...string) {
	group.now++
	for _, name := range names {
		group.step(name, Input{Kind: InputTick, Number: uint64(group.now)})
	}
	for {
		at := slices.IndexFunc(group.inFlight, func(pending delayedMessage) bool { return pending.at <= group.now })
		if at < 0 {
			return
		}
		message := group.inFlight[at].message
		group.inFlight = slices.Delete(group.inFlight, at, at+1)
		if group.cores[message.To] == nil {
			continue
		}
		if message.To == "c" && message.Kind == MessageAppend {
			group.heartbeatTicks = append(group.heartbeatTicks, group.now)
		}
		if group.intercept != nil {
			group.intercept(&message)
		}
		group.step(message.To, Input{Kind: InputMessage, Message: message})
	}
}

// catchUp starts "c" and returns the number of ticks until it has committed the leader's complete
// log.
func (group *delayedGroup) catchUp(limit int, beforeTick func(tick int)) int {
	group.t.Helper()
	group.start("c")
	for tick := range limit {
		if beforeTick != nil {
			beforeTick(tick)
		}
		group.tick("a", "b", "c")
		if group.cores["c"].Status().CommitIndex == group.cores["a"].Status().LastIndex {
			return tick
		}
	}
	group.t.Fatalf("c has committed index %d of %d after %d ticks; %d chunks were sent", group.cores["c"].Status().CommitIndex, group.cores["a"].Status().LastIndex, limit, group.sentChunks)
	return 0
}
