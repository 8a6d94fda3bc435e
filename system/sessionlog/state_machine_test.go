package sessionlog

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func newMachineWithSession(t *testing.T) *StateMachine {
	t.Helper()
	machine := NewStateMachine()
	machine.Apply(&Command{Kind: CreateSession, Session: "a/c", Now: 1, Retention: time.Hour, Team: "a"})
	return machine
}

func TestCommandsAreDedupedOrderedAndRejected(t *testing.T) {
	machine := newMachineWithSession(t)
	begin := Event{Kind: TurnBegun, Text: "hello"}
	for position, step := range []struct {
		command Command
		want    Result
	}{
		{Command{Kind: CreateSession, Session: "a/c"}, Result{Deduped: true}},
		{Command{Kind: AppendEvent, Session: "a/none", Producer: "p", ProducerSeq: 1, Events: []Event{begin}}, Result{Status: UnknownSession}},
		{Command{Kind: AppendEvent, Session: "a/c", Producer: "p", ProducerSeq: 1, HasExpectedSeq: true, ExpectedSeq: 4, Events: []Event{begin}}, Result{Status: UnexpectedSeq}},
		{Command{Kind: AppendEvent, Session: "a/c", Producer: "p", ProducerSeq: 1, HasExpectedSeq: true, Events: []Event{begin}}, Result{Seq: 1, Head: 1}},
		{Command{Kind: AppendEvent, Session: "a/c", Producer: "p", ProducerSeq: 1, HasExpectedSeq: true, Events: []Event{begin}}, Result{Seq: 1, Head: 1, Deduped: true}},
		{Command{Kind: AppendEvents, Session: "a/c", Producer: "p", ProducerSeq: 2, Events: []Event{{Kind: OutputPart, Run: 1}, {Kind: OutputPart, Run: 1}}}, Result{Seq: 2, Head: 3}},
		{Command{Kind: AppendEvents, Session: "a/c", Producer: "p", ProducerSeq: 2, Events: []Event{{Kind: OutputPart, Run: 1}, {Kind: OutputPart, Run: 1}}}, Result{Seq: 2, Head: 3, Deduped: true}},
		{Command{Kind: AppendEvent, Session: "a/c", Producer: "p", ProducerSeq: 1, Events: []Event{begin}}, Result{Status: StaleProducer, Seq: 2, Head: 3, Deduped: true}},
		{Command{Kind: AppendEvent, Session: "a/c", Producer: "q", ProducerSeq: 1, Events: []Event{{Kind: OutputPart, Run: 2}}}, Result{Status: TurnClosed, Head: 3}},
		{Command{Kind: AppendEvent, Session: "a/c", Producer: "closer", ProducerSeq: 1, Events: []Event{{Kind: TurnEnded, Run: 1, Outcome: OutcomeInterrupted}}}, Result{Seq: 4, Head: 4}},
		{Command{Kind: AppendEvent, Session: "a/c", Producer: "p", ProducerSeq: 3, Events: []Event{{Kind: OutputPart, Run: 1}}}, Result{Status: TurnClosed, Head: 4}},
		{Command{Kind: AppendEvent, Session: "a/c", Producer: "p", ProducerSeq: 3, Events: []Event{{Kind: TurnEnded, Run: 1}}}, Result{Status: TurnClosed, Head: 4}},
		{Command{Kind: AppendEvent, Session: "a/c", Producer: "fenced", ProducerSeq: 1, Events: []Event{{Kind: Fenced}}}, Result{Seq: 5, Head: 5}},
		{Command{Kind: AppendEvent, Session: "a/c", Producer: "fenced", ProducerSeq: 1, Events: []Event{begin}}, Result{Seq: 5, Head: 5, Deduped: true}},
		{Command{Kind: AppendEvent, Session: "a/c", Producer: "r", ProducerSeq: 1}, Result{Status: BadCommand, Head: 5}},
		{Command{Kind: 99, Session: "a/c"}, Result{Status: BadCommand}},
	} {
		if got := machine.Apply(&step.command); got != step.want {
			t.Errorf("step %d: got %+v, want %+v", position, got, step.want)
		}
	}
}

func TestEvictionFollowsArchivedSeqAndRetentionFollowsGroupClock(t *testing.T) {
	machine := newMachineWithSession(t)
	for seq := range uint64(10) {
		machine.Apply(&Command{Kind: AppendEvent, Session: "a/c", Now: int64(time.Minute), Producer: "p", ProducerSeq: seq + 1, Events: []Event{{Kind: HelperStarted}}})
	}
	ack := func(now time.Duration, archived uint64) {
		machine.Apply(&Command{Kind: AckArchived, Now: int64(now), Acks: []Ack{{Session: "a/c", ArchivedSeq: archived}}})
	}
	for _, step := range []struct{ archived, unarchived uint64 }{{0, 10}, {4, 6}, {3, 6}, {11, 6}, {10, 0}} {
		ack(time.Minute, step.archived)
		session, found := machine.View().Session("a/c")
		if !found || uint64(len(session.Unarchived)) != step.unarchived || (step.unarchived > 0 && session.Unarchived[0].Seq != session.ArchivedSeq+1) {
			t.Fatalf("after acknowledging %d: %+v", step.archived, session)
		}
	}
	ack(time.Hour+time.Minute-1, 10)
	if _, found := machine.View().Session("a/c"); !found {
		t.Fatal("session was removed before its retention ended")
	}
	ack(time.Hour+time.Minute+1, 10)
	if _, found := machine.View().Session("a/c"); found {
		t.Fatal("session was kept beyond its retention")
	}
}

func TestQuotaIsExceededByOneTurnOnly(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20260103)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("spent and reserved exceed the quota by at most one turn", prop.ForAll(func(steps []uint16) string {
		machine := NewStateMachine()
		const quota, turnWords = 100, 30
		reserved, settled := map[string]uint64{}, uint64(0)
		for position, step := range steps {
			name := fmt.Sprint(step % 12)
			if step%3 != 0 {
				command := Command{Kind: Reserve, Session: "quota", Reservation: name, Words: turnWords, Quota: quota}
				if result := machine.Apply(&command); result.Status == Done && !result.Deduped {
					reserved[name] = turnWords
				}
				if repeated := machine.Apply(&command); reserved[name] > 0 && !repeated.Deduped {
					return "repeated Reserve was not deduplicated"
				}
			} else if words, isReserved := reserved[name]; isReserved {
				used := min(uint64(step%37), words)
				machine.Apply(&Command{Kind: Settle, Session: "quota", Reservation: name, Words: uint64(step % 37)})
				machine.Apply(&Command{Kind: Settle, Session: "quota", Reservation: name, Words: uint64(step % 37)})
				settled += used
				delete(reserved, name)
			}
			usage := machine.View().QuotaUsage("quota")
			if usage.Spent != settled {
				return fmt.Sprintf("step %d: %d words spent, want %d", position, usage.Spent, settled)
			}
			if usage.Spent+usage.Reserved() > quota+turnWords {
				return fmt.Sprintf("step %d: %d words spent and %d reserved", position, usage.Spent, usage.Reserved())
			}
		}
		return ""
	}, gen.SliceOf(gen.UInt16())))
	properties.TestingRun(t)
}

func TestRestoreReproducesSnapshot(t *testing.T) {
	machine := newMachineWithSession(t)
	machine.Apply(&Command{Kind: AppendEvent, Session: "a/c", Now: 5, Producer: "p", ProducerSeq: 1, Events: []Event{{Kind: TurnBegun}}})
	machine.Apply(&Command{Kind: Reserve, Session: "tally", Reservation: "r", Words: 3, Quota: 9})
	snapshot := machine.View().Snapshot()
	other := NewStateMachine()
	if err := other.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if restored := other.View().Snapshot(); !reflect.DeepEqual(snapshot, restored) {
		t.Fatalf("restored %+v, want %+v", restored, snapshot)
	}
	before := slices.Collect(machine.View().Sessions())[0]
	machine.Apply(&Command{Kind: AppendEvent, Session: "a/c", Producer: "p", ProducerSeq: 2, Events: []Event{{Kind: OutputPart, Run: 1}}})
	if before.Head != 1 || len(before.Unarchived) != 1 {
		t.Fatal("a published session was modified")
	}
	snapshot.Version = snapshotVersion + 1
	if other.Restore(snapshot) == nil {
		t.Fatal("Restore accepted a snapshot of a newer format")
	}
}

// sessionsPerDay is the number of sessions that one of 32 groups retains at 27 new sessions per
// second and a retention of one day.
const sessionsPerDay = 27 * 86400 / 32

func machineWithSessions(sessions int) *StateMachine {
	machine := NewStateMachine()
	for number := range sessions {
		name := fmt.Sprintf("team/c-%d", number)
		now := int64(time.Hour) + int64(number)*int64(86400*time.Second)/int64(sessions)
		machine.Apply(&Command{Kind: CreateSession, Session: name, Now: now, Retention: 24 * time.Hour})
		machine.Apply(&Command{Kind: AppendEvents, Session: name, Now: now, Producer: "p", ProducerSeq: 1, Events: []Event{{Kind: TurnBegun}, {Kind: OutputPart, Run: 1}, {Kind: TurnEnded, Run: 1}}})
		machine.Apply(&Command{Kind: AckArchived, Now: now, Acks: []Ack{{Session: name, ArchivedSeq: 3}}})
	}
	return machine
}

// BenchmarkAckArchivedWithManySessions measures the cost of one append and its acknowledgement as
// the number of retained sessions grows.
func BenchmarkAckArchivedWithManySessions(b *testing.B) {
	for _, sessions := range []int{sessionsPerDay / 100, sessionsPerDay / 10, sessionsPerDay} {
		b.Run(fmt.Sprint(sessions), func(b *testing.B) {
			machine := machineWithSessions(sessions)
			now := machine.View().Clock()
			b.ResetTimer()
			for number := range b.N {
				name := fmt.Sprintf("team/c-%d", number%sessions)
				machine.Apply(&Command{Kind: AppendEvent, Session: name, Now: now, Producer: "q", ProducerSeq: uint64(number + 2), Events: []Event{{Kind: HelperStarted}}})
				session, _ := machine.View().Session(name)
				machine.Apply(&Command{Kind: AckArchived, Now: now, Acks: []Ack{{Session: name, ArchivedSeq: session.Head}}})
			}
		})
	}
}
