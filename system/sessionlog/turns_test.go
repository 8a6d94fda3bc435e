package sessionlog

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"
)

func beginCommand(name, follows string) Command {
	return Command{Kind: BeginTurn, Session: "program/a", Now: 1, Retention: time.Hour, Producer: name, ProducerSeq: 1, Follows: follows, Dispatch: "front/" + name, KeepData: true,
		Data: []byte("in " + name + "\n"), HasQuota: true, Tokens: 10, Quota: 35, Lifetime: time.Minute}
}

func endCommand(name, outcome string, tokens uint64) Command {
	return Command{Kind: EndTurn, Session: "program/a", Now: 1, Retention: time.Hour, Producer: name, ProducerSeq: 2, Outcome: outcome, KeepData: true, Data: []byte("out " + name + "\n"), Tokens: tokens}
}

func with(command Command, change func(*Command)) Command {
	change(&command)
	return command
}

func TestTurnBeginsAndEndsAtomicallyAndOnce(t *testing.T) {
	machine := NewStateMachine()
	for position, step := range []struct {
		command Command
		want    Result
	}{
		{endCommand("one", OutcomeComplete, 3), Result{Status: UnknownTurn}},
		{beginCommand("one", "none"), Result{Status: UnknownTurn}},
		{beginCommand("one", "one"), Result{Status: BadCommand}},
		{beginCommand("", ""), Result{Status: BadCommand}},
		{with(beginCommand("one", ""), func(command *Command) { command.Tokens = 36 }), Result{Status: QuotaExceeded}},
		{with(beginCommand("one", ""), func(command *Command) { command.Tokens = math.MaxUint64 }), Result{Status: QuotaExceeded}},
		{beginCommand("one", ""), Result{Seq: 1, Head: 1, Reserved: 10}},
		{beginCommand("one", ""), Result{Seq: 1, Head: 1, Reserved: 10, Deduped: true}},
		{with(beginCommand("one", ""), func(command *Command) { command.Dispatch = "another" }), Result{Status: TurnTaken, Seq: 1, Head: 1, Reserved: 10, Deduped: true}},
		{beginCommand("two", "one"), Result{Status: TurnOpen, Head: 1, Reserved: 10}},
		{with(endCommand("one", "", 3), func(*Command) {}), Result{Status: BadCommand, Head: 1, Reserved: 10}},
		{endCommand("one", OutcomeComplete, 7), Result{Seq: 2, Head: 2, Spent: 7}},
		{endCommand("one", OutcomeComplete, 7), Result{Seq: 2, Head: 2, Spent: 7, Deduped: true}},
		{endCommand("one", OutcomeInterrupted, 7), Result{Status: TurnClosed, Seq: 2, Head: 2, Spent: 7, Deduped: true}},
		{beginCommand("one", ""), Result{Status: TurnTaken, Seq: 1, Head: 2, Spent: 7, Deduped: true}},
		{with(beginCommand("two", "one"), func(command *Command) { command.HasExpectedSeq, command.ExpectedSeq = true, 1 }), Result{Status: UnexpectedSeq, Head: 2, Spent: 7}},
		{with(beginCommand("two", "one"), func(command *Command) { command.HasExpectedSeq, command.ExpectedSeq = true, 2 }), Result{Seq: 3, Head: 3, Spent: 7, Reserved: 10}},
		{beginCommand("three", "one"), Result{Seq: 4, Head: 4, Spent: 7, Reserved: 20}},
		{beginCommand("four", "one"), Result{Status: QuotaExceeded, Head: 4, Spent: 7, Reserved: 20}},
		{endCommand("two", OutcomeInterrupted, 4), Result{Seq: 5, Head: 5, Spent: 11, Reserved: 10}},
		{beginCommand("four", "two"), Result{Status: TurnIncomplete, Head: 5, Spent: 11, Reserved: 10}},
		{endCommand("three", OutcomeNotRun, 0), Result{Seq: 6, Head: 6, Spent: 11}},
		{beginCommand("three", "one"), Result{Status: TurnClosed, Seq: 4, Head: 6, Spent: 11, Deduped: true}},
		{endCommand("fenced", OutcomeNotRun, 0), Result{Seq: 7, Head: 7, Spent: 11}},
		{beginCommand("fenced", "one"), Result{Status: TurnClosed, Seq: 7, Head: 7, Spent: 11, Deduped: true}},
		{with(beginCommand("late", "one"), func(command *Command) { command.HasQuota = false }), Result{Seq: 8, Head: 8, Spent: 11}},
		{with(beginCommand("after", "late"), func(command *Command) { command.Now = int64(time.Hour) }), Result{Status: TurnIncomplete, Head: 8, Spent: 11}},
		{endCommand("late", OutcomeComplete, 0), Result{Seq: 9, Head: 9, Spent: 11}},
		{beginCommand("after", "late"), Result{Seq: 10, Head: 10, Spent: 11, Reserved: 10}},
	} {
		before := machine.View().Snapshot()
		got := machine.Apply(&step.command)
		if got != step.want {
			t.Errorf("step %d: got %+v, want %+v", position, got, step.want)
		}
		after := machine.View().Snapshot()
		before.Clock, after.Clock = 0, 0
		if unchanged := got.Status != Done || got.Deduped; unchanged && !reflect.DeepEqual(before, after) {
			t.Errorf("step %d: %+v changed the content", position, got)
		}
	}
}

// historyOf returns the data of a turn's chain, read from the unarchived events of a session.
func historyOf(view *View, sessionName, name string) string {
	turn, found := view.Turn(sessionName, name)
	session, _ := view.Session(sessionName)
	if !found {
		return "no turn"
	}
	text := ""
	for _, chained := range turn.Chain() {
		text += string(session.Unarchived[chained.Seq-session.ArchivedSeq-1].Data)
		if chained.EndSeq != 0 && chained.EndSeq != chained.Seq {
			text += string(session.Unarchived[chained.EndSeq-session.ArchivedSeq-1].Data)
		}
	}
	return text
}

func TestAdoptedTurnsCompleteTheHistory(t *testing.T) {
	machine := NewStateMachine()
	adopted := []AdoptedTurn{{Name: "x", Data: []byte("in x\nout x\n")}, {Name: "y", Data: []byte("in y\nout y\n")}}
	adopting := func(name string) Command {
		return with(beginCommand(name, "y"), func(command *Command) { command.Adopted = adopted })
	}
	for position, step := range []struct {
		command Command
		want    Result
	}{
		{with(beginCommand("one", "z"), func(command *Command) { command.Adopted = adopted }), Result{Status: UnknownTurn}},
		{with(adopting("one"), func(command *Command) { command.Tokens = 40 }), Result{Status: QuotaExceeded}},
		{adopting("one"), Result{Seq: 3, Head: 3, Reserved: 10}},
		{adopting("one"), Result{Seq: 3, Head: 3, Reserved: 10, Deduped: true}},
		{adopting("two"), Result{Seq: 4, Head: 4, Reserved: 20}},
		{endCommand("two", OutcomeComplete, 1), Result{Seq: 5, Head: 5, Spent: 1, Reserved: 10}},
		{beginCommand("three", "x"), Result{Seq: 6, Head: 6, Spent: 1, Reserved: 20}},
		{with(beginCommand("four", "two"), func(command *Command) { command.HasQuota = false }), Result{Seq: 7, Head: 7, Spent: 1, Reserved: 20}},
	} {
		if got := machine.Apply(&step.command); got != step.want {
			t.Errorf("step %d: got %+v, want %+v", position, got, step.want)
		}
	}
	for name, want := range map[string]string{
		"one": "in x\nout x\nin y\nout y\nin one\n", "three": "in x\nout x\nin three\n",
		"four": "in x\nout x\nin y\nout y\nin two\nout two\nin four\n",
	} {
		if got := historyOf(machine.View(), "program/a", name); got != want {
			t.Errorf("history of %s: got %q, want %q", name, got, want)
		}
	}
	// A turn may be in several sessions; each copy is removed with its session.
	other := with(adopting("five"), func(command *Command) { command.Session, command.Retention = "program/b", 2*time.Hour })
	if got := machine.Apply(&other); got.Status != Done {
		t.Fatalf("begin in the second session: %+v", got)
	}
	machine.Apply(&Command{Kind: AckArchived, Now: int64(90 * time.Minute)})
	if _, found := machine.View().Turn("program/a", "x"); found {
		t.Fatal("a turn was found after its session was removed")
	}
	if found, known := machine.View().TurnInAnySession("", "x"); !known || found.Session != "program/b" {
		t.Fatal("a turn was removed that another session adopted")
	}
	machine.Apply(&Command{Kind: AckArchived, Now: int64(5 * time.Hour)})
	if snapshot := machine.View().Snapshot(); len(snapshot.Sessions)+len(snapshot.Turns)+machine.View().turns.Len()+machine.View().expiries.Len() != 0 {
		t.Fatalf("content is left after all sessions expired: %+v", snapshot)
	}
}

// restoredCopy returns a state machine restored from a snapshot.
func restoredCopy(t *testing.T, snapshot Snapshot) *StateMachine {
	t.Helper()
	copied := NewStateMachine()
	if err := copied.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	return copied
}

// TestAdoptedTurnReplacesAnIncompleteOneInSnapshotsToo guards against a lost history after a
// restore when an adopted turn replaced one that was cut. Snapshots of earlier versions have a
// record of the turn in both positions.
func TestAdoptedTurnReplacesAnIncompleteOneInSnapshotsToo(t *testing.T) {
	machine := NewStateMachine()
	adopted := []AdoptedTurn{{Name: "x", Data: []byte("in x\nout x\n")}, {Name: "y", Data: []byte("in y\nout y\n")}, {Name: "z", Data: []byte("in z\nout z\n")}}
	for position, command := range []Command{
		beginCommand("y", ""),
		endCommand("y", OutcomeInterrupted, 0),
		with(beginCommand("one", "z"), func(command *Command) { command.Adopted = adopted }),
	} {
		if got := machine.Apply(&command); got.Status != Done {
			t.Fatalf("step %d: %+v", position, got)
		}
	}
	want := "in x\nout x\nin y\nout y\nin z\nout z\nin one\n"
	if got := historyOf(machine.View(), "program/a", "one"); got != want {
		t.Fatalf("history: got %q, want %q", got, want)
	}
	snapshot := machine.View().Snapshot()
	earlier := snapshot
	for _, record := range snapshot.Turns {
		if record.Name == "y" {
			earlier.Turns = append([]TurnRecord{record}, snapshot.Turns...)
		}
	}
	for version, copied := range map[string]*StateMachine{"this": restoredCopy(t, snapshot), "an earlier": restoredCopy(t, earlier)} {
		for _, name := range []string{"one", "y"} {
			if got, want := historyOf(copied.View(), "program/a", name), historyOf(machine.View(), "program/a", name); got != want {
				t.Errorf("restored from a snapshot of %s version: history of %s: got %q, want %q", version, name, got, want)
			}
		}
		if restored := copied.View().Snapshot(); !reflect.DeepEqual(restored, snapshot) {
			t.Errorf("restored from a snapshot of %s version: got %+v, want %+v", version, restored, snapshot)
		}
	}
}

func TestProgramSessionIsRetainedFromTheEndOfItsLastTurn(t *testing.T) {
	machine := NewStateMachine()
	at := func(now time.Duration, command Command) Result {
		command.Now = int64(now)
		return machine.Apply(&command)
	}
	at(time.Second, beginCommand("one", ""))
	at(2*time.Second, endCommand("one", OutcomeComplete, 1))
	at(59*time.Minute, beginCommand("two", "one"))
	for _, step := range []struct {
		now   time.Duration
		known bool
	}{{time.Hour + 30*time.Second, true}, {time.Hour + 59*time.Minute + 59*time.Second, true}, {2*time.Hour + time.Second, false}} {
		at(step.now, Command{Kind: AckArchived})
		if _, known := machine.View().Turn("program/a", "one"); known != step.known {
			t.Fatalf("at %s turn found: %t", step.now, known)
		}
	}
	if _, found := machine.View().Session("program/a"); found {
		t.Fatal("the expired session is still there")
	}
}

func BenchmarkTurnInLongProgram(b *testing.B) {
	for _, turns := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(turns), func(b *testing.B) {
			input := []byte(strings.Repeat("x", 500))
			machine := NewStateMachine()
			for number := range b.N {
				name, follows := fmt.Sprintf("p%d-%d", number/turns, number%turns), ""
				if number%turns > 0 {
					follows = fmt.Sprintf("p%d-%d", number/turns, number%turns-1)
				}
				sessionName := fmt.Sprintf("program/%d", number/turns)
				machine.Apply(&Command{Kind: BeginTurn, Session: sessionName, Now: 1, Retention: time.Hour, Producer: name, ProducerSeq: 1, Follows: follows, KeepData: true, Data: input, HasQuota: true, Tokens: 1, Quota: 10000, Lifetime: time.Minute})
				machine.Apply(&Command{Kind: EndTurn, Session: sessionName, Now: 1, Retention: time.Hour, Producer: name, ProducerSeq: 2, Outcome: OutcomeComplete, KeepData: true, Data: input, Tokens: 1})
			}
		})
	}
}
