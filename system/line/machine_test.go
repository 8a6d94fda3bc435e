package line

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

func open(t *testing.T) *Machine {
	t.Helper()
	machine := NewMachine()
	machine.Apply(&Command{Kind: CreateSession, Line: "a/c", Now: 1, KeepFor: time.Hour, Team: "a"})
	return machine
}

func TestCommandsAreDedupedOrderedAndRefused(t *testing.T) {
	machine := open(t)
	begin := Event{Kind: TurnBegun, Words: "hello"}
	for position, step := range []struct {
		command Command
		want    Outcome
	}{
		{Command{Kind: CreateSession, Line: "a/c"}, Outcome{Deduped: true}},
		{Command{Kind: AppendEvent, Line: "a/none", Producer: "p", ProducerSeq: 1, Events: []Event{begin}}, Outcome{Status: UnknownLine}},
		{Command{Kind: AppendEvent, Line: "a/c", Producer: "p", ProducerSeq: 1, Expects: true, ExpectedSeq: 4, Events: []Event{begin}}, Outcome{Status: UnexpectedSeq}},
		{Command{Kind: AppendEvent, Line: "a/c", Producer: "p", ProducerSeq: 1, Expects: true, Events: []Event{begin}}, Outcome{Seq: 1, Head: 1}},
		{Command{Kind: AppendEvent, Line: "a/c", Producer: "p", ProducerSeq: 1, Expects: true, Events: []Event{begin}}, Outcome{Seq: 1, Head: 1, Deduped: true}},
		{Command{Kind: AppendEvents, Line: "a/c", Producer: "p", ProducerSeq: 2, Events: []Event{{Kind: Piece, Turn: 1}, {Kind: Piece, Turn: 1}}}, Outcome{Seq: 2, Head: 3}},
		{Command{Kind: AppendEvents, Line: "a/c", Producer: "p", ProducerSeq: 2, Events: []Event{{Kind: Piece, Turn: 1}, {Kind: Piece, Turn: 1}}}, Outcome{Seq: 2, Head: 3, Deduped: true}},
		{Command{Kind: AppendEvent, Line: "a/c", Producer: "p", ProducerSeq: 1, Events: []Event{begin}}, Outcome{Status: StaleProducer, Seq: 2, Head: 3, Deduped: true}},
		{Command{Kind: AppendEvent, Line: "a/c", Producer: "q", ProducerSeq: 1, Events: []Event{{Kind: Piece, Turn: 2}}}, Outcome{Status: TurnClosed, Head: 3}},
		{Command{Kind: AppendEvent, Line: "a/c", Producer: "closer", ProducerSeq: 1, Events: []Event{{Kind: TurnEnded, Turn: 1, Outcome: OutcomeCut}}}, Outcome{Seq: 4, Head: 4}},
		{Command{Kind: AppendEvent, Line: "a/c", Producer: "p", ProducerSeq: 3, Events: []Event{{Kind: Piece, Turn: 1}}}, Outcome{Status: TurnClosed, Head: 4}},
		{Command{Kind: AppendEvent, Line: "a/c", Producer: "p", ProducerSeq: 3, Events: []Event{{Kind: TurnEnded, Turn: 1}}}, Outcome{Status: TurnClosed, Head: 4}},
		{Command{Kind: AppendEvent, Line: "a/c", Producer: "fenced", ProducerSeq: 1, Events: []Event{{Kind: Fenced}}}, Outcome{Seq: 5, Head: 5}},
		{Command{Kind: AppendEvent, Line: "a/c", Producer: "fenced", ProducerSeq: 1, Events: []Event{begin}}, Outcome{Seq: 5, Head: 5, Deduped: true}},
		{Command{Kind: AppendEvent, Line: "a/c", Producer: "r", ProducerSeq: 1}, Outcome{Status: BadCommand, Head: 5}},
		{Command{Kind: 99, Line: "a/c"}, Outcome{Status: BadCommand}},
	} {
		if got := machine.Apply(&step.command); got != step.want {
			t.Errorf("step %d: got %+v, want %+v", position, got, step.want)
		}
	}
}

func TestEvictionFollowsArchivedSeqAndKeepingTimeFollowsTheLeadersClock(t *testing.T) {
	machine := open(t)
	for seq := range uint64(10) {
		machine.Apply(&Command{Kind: AppendEvent, Line: "a/c", Now: int64(time.Minute), Producer: "p", ProducerSeq: seq + 1, Events: []Event{{Kind: HelperStarted}}})
	}
	ack := func(now time.Duration, archived uint64) {
		machine.Apply(&Command{Kind: AckArchived, Now: int64(now), Acks: []Ack{{Line: "a/c", ArchivedSeq: archived}}})
	}
	for _, step := range []struct{ archived, hot uint64 }{{0, 10}, {4, 6}, {3, 6}, {11, 6}, {10, 0}} {
		ack(time.Minute, step.archived)
		session, found := machine.View().Session("a/c")
		if !found || uint64(len(session.Hot)) != step.hot || (step.hot > 0 && session.Hot[0].Seq != session.ArchivedSeq+1) {
			t.Fatalf("after ack of %d: %+v", step.archived, session)
		}
	}
	ack(time.Hour+time.Minute-1, 10)
	if _, found := machine.View().Session("a/c"); !found {
		t.Fatal("a line was forgotten before its keeping time was over")
	}
	ack(time.Hour+time.Minute+1, 10)
	if _, found := machine.View().Session("a/c"); found {
		t.Fatal("a line was kept beyond its keeping time")
	}
}

func TestTalliesNeverPassAllowanceAndOneTurn(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20260103)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("spent and reserved stay within allowance and one turn", prop.ForAll(func(steps []uint16) string {
		machine := NewMachine()
		const allowance, turn = 100, 30
		out, spoken := map[string]uint64{}, uint64(0)
		for position, step := range steps {
			name := fmt.Sprint(step % 12)
			if step%3 != 0 {
				command := Command{Kind: Reserve, Line: "tally", Reservation: name, Words: turn, Allowance: allowance}
				if outcome := machine.Apply(&command); outcome.Status == Done && !outcome.Deduped {
					out[name] = turn
				}
				if again := machine.Apply(&command); out[name] > 0 && !again.Deduped {
					return "a repeated reservation reserved twice"
				}
			} else if words, reserved := out[name]; reserved {
				used := min(uint64(step%37), words)
				machine.Apply(&Command{Kind: Settle, Line: "tally", Reservation: name, Words: uint64(step % 37)})
				machine.Apply(&Command{Kind: Settle, Line: "tally", Reservation: name, Words: uint64(step % 37)})
				spoken += used
				delete(out, name)
			}
			tally := machine.View().Tally("tally")
			if tally.Spent != spoken {
				return fmt.Sprintf("step %d: %d are booked, %d were spoken", position, tally.Spent, spoken)
			}
			if tally.Spent+tally.Reserved() > allowance+turn {
				return fmt.Sprintf("step %d: %d spent and %d reserved", position, tally.Spent, tally.Reserved())
			}
		}
		return ""
	}, gen.SliceOf(gen.UInt16())))
	properties.TestingRun(t)
}

func TestARestoredImageIsTheSameGroup(t *testing.T) {
	machine := open(t)
	machine.Apply(&Command{Kind: AppendEvent, Line: "a/c", Now: 5, Producer: "p", ProducerSeq: 1, Events: []Event{{Kind: TurnBegun}}})
	machine.Apply(&Command{Kind: Reserve, Line: "tally", Reservation: "r", Words: 3, Allowance: 9})
	image := machine.View().Image()
	other := NewMachine()
	if err := other.Restore(image); err != nil {
		t.Fatal(err)
	}
	if again := other.View().Image(); !reflect.DeepEqual(image, again) {
		t.Fatalf("restored %+v, want %+v", again, image)
	}
	before := slices.Collect(machine.View().Sessions())[0]
	machine.Apply(&Command{Kind: AppendEvent, Line: "a/c", Producer: "p", ProducerSeq: 2, Events: []Event{{Kind: Piece, Turn: 1}}})
	if before.Head != 1 || len(before.Hot) != 1 {
		t.Fatal("a published session was changed")
	}
	image.Version = ImageVersion + 1
	if other.Restore(image) == nil {
		t.Fatal("a newer image was taken")
	}
}

// aDay is about what one of 32 groups holds after a day of the agency's
// conversations: 27 a second.
const aDay = 27 * 86400 / 32

func fullDay(lines int) *Machine {
	machine := NewMachine()
	for number := range lines {
		name := fmt.Sprintf("team/c-%d", number)
		now := int64(time.Hour) + int64(number)*int64(86400*time.Second)/int64(lines)
		machine.Apply(&Command{Kind: CreateSession, Line: name, Now: now, KeepFor: 24 * time.Hour})
		machine.Apply(&Command{Kind: AppendEvents, Line: name, Now: now, Producer: "p", ProducerSeq: 1, Events: []Event{{Kind: TurnBegun}, {Kind: Piece, Turn: 1}, {Kind: TurnEnded, Turn: 1}}})
		machine.Apply(&Command{Kind: AckArchived, Now: now, Acks: []Ack{{Line: name, ArchivedSeq: 3}}})
	}
	return machine
}

// BenchmarkAcknowledgeAmongADaysLines is the cost of archiving one line of a group
// that keeps a day of them.
func BenchmarkAcknowledgeAmongADaysLines(b *testing.B) {
	for _, lines := range []int{aDay / 100, aDay / 10, aDay} {
		b.Run(fmt.Sprint(lines), func(b *testing.B) {
			machine := fullDay(lines)
			now := machine.View().Clock()
			b.ResetTimer()
			for number := range b.N {
				name := fmt.Sprintf("team/c-%d", number%lines)
				machine.Apply(&Command{Kind: AppendEvent, Line: name, Now: now, Producer: "q", ProducerSeq: uint64(number + 2), Events: []Event{{Kind: HelperStarted}}})
				session, _ := machine.View().Session(name)
				machine.Apply(&Command{Kind: AckArchived, Now: now, Acks: []Ack{{Line: name, ArchivedSeq: session.Head}}})
			}
		})
	}
}
