package line

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func begin(name, follows string) Command {
	return Command{Kind: BeginTurn, Line: "program/a", Now: 1, KeepFor: time.Hour, Producer: name, ProducerSeq: 1, Follows: follows, Dispatch: "front/" + name, Keeps: true,
		Data: []byte("in " + name + "\n"), Budgeted: true, Tokens: 10, Allowance: 35, Life: time.Minute}
}

func end(name, outcome string, tokens uint64) Command {
	return Command{Kind: EndTurn, Line: "program/a", Now: 1, KeepFor: time.Hour, Producer: name, ProducerSeq: 2, Outcome: outcome, Keeps: true, Data: []byte("out " + name + "\n"), Tokens: tokens}
}

func with(command Command, change func(*Command)) Command {
	change(&command)
	return command
}

func TestTurnsBeginAndEndAtOnceAndOnlyOnce(t *testing.T) {
	machine := NewMachine()
	for position, step := range []struct {
		command Command
		want    Outcome
	}{
		{end("one", OutcomeComplete, 3), Outcome{Status: UnknownTurn}},
		{begin("one", "none"), Outcome{Status: UnknownTurn}},
		{begin("one", "one"), Outcome{Status: BadCommand}},
		{begin("", ""), Outcome{Status: BadCommand}},
		{with(begin("one", ""), func(command *Command) { command.Tokens = 36 }), Outcome{Status: AllowanceExhausted}},
		{with(begin("one", ""), func(command *Command) { command.Tokens = math.MaxUint64 }), Outcome{Status: AllowanceExhausted}},
		{begin("one", ""), Outcome{Seq: 1, Head: 1, Reserved: 10}},
		{begin("one", ""), Outcome{Seq: 1, Head: 1, Reserved: 10, Deduped: true}},
		{with(begin("one", ""), func(command *Command) { command.Dispatch = "another" }), Outcome{Status: TurnTaken, Seq: 1, Head: 1, Reserved: 10, Deduped: true}},
		{begin("two", "one"), Outcome{Status: TurnOpen, Head: 1, Reserved: 10}},
		{with(end("one", "", 3), func(*Command) {}), Outcome{Status: BadCommand, Head: 1, Reserved: 10}},
		{end("one", OutcomeComplete, 7), Outcome{Seq: 2, Head: 2, Spent: 7}},
		{end("one", OutcomeComplete, 7), Outcome{Seq: 2, Head: 2, Spent: 7, Deduped: true}},
		{end("one", OutcomeCut, 7), Outcome{Status: TurnClosed, Seq: 2, Head: 2, Spent: 7, Deduped: true}},
		{begin("one", ""), Outcome{Status: TurnTaken, Seq: 1, Head: 2, Spent: 7, Deduped: true}},
		{with(begin("two", "one"), func(command *Command) { command.Expects, command.ExpectedSeq = true, 1 }), Outcome{Status: UnexpectedSeq, Head: 2, Spent: 7}},
		{with(begin("two", "one"), func(command *Command) { command.Expects, command.ExpectedSeq = true, 2 }), Outcome{Seq: 3, Head: 3, Spent: 7, Reserved: 10}},
		{begin("three", "one"), Outcome{Seq: 4, Head: 4, Spent: 7, Reserved: 20}},
		{begin("four", "one"), Outcome{Status: AllowanceExhausted, Head: 4, Spent: 7, Reserved: 20}},
		{end("two", OutcomeCut, 4), Outcome{Seq: 5, Head: 5, Spent: 11, Reserved: 10}},
		{begin("four", "two"), Outcome{Status: TurnCut, Head: 5, Spent: 11, Reserved: 10}},
		{end("three", OutcomeNotRun, 0), Outcome{Seq: 6, Head: 6, Spent: 11}},
		{begin("three", "one"), Outcome{Status: TurnClosed, Seq: 4, Head: 6, Spent: 11, Deduped: true}},
		{end("fenced", OutcomeNotRun, 0), Outcome{Seq: 7, Head: 7, Spent: 11}},
		{begin("fenced", "one"), Outcome{Status: TurnClosed, Seq: 7, Head: 7, Spent: 11, Deduped: true}},
		{with(begin("late", "one"), func(command *Command) { command.Budgeted = false }), Outcome{Seq: 8, Head: 8, Spent: 11}},
		{with(begin("after", "late"), func(command *Command) { command.Now = int64(time.Hour) }), Outcome{Status: TurnCut, Head: 8, Spent: 11}},
		{end("late", OutcomeComplete, 0), Outcome{Seq: 9, Head: 9, Spent: 11}},
		{begin("after", "late"), Outcome{Seq: 10, Head: 10, Spent: 11, Reserved: 10}},
	} {
		before := machine.View().Image()
		got := machine.Apply(&step.command)
		if got != step.want {
			t.Errorf("step %d: got %+v, want %+v", position, got, step.want)
		}
		after := machine.View().Image()
		before.Clock, after.Clock = 0, 0
		if unchanged := got.Status != Done || got.Deduped; unchanged && !reflect.DeepEqual(before, after) {
			t.Errorf("step %d answered %+v and changed the group", position, got)
		}
	}
}

// said is what a line remembers of a turn's chain, read from its hot events.
func said(view *View, lineName, name string) string {
	turn, found := view.Turn(lineName, name)
	session, _ := view.Session(lineName)
	if !found {
		return "no turn"
	}
	text := ""
	for _, one := range turn.Chain() {
		text += string(session.Hot[one.Seq-session.ArchivedSeq-1].Data)
		if one.Ended != 0 && one.Ended != one.Seq {
			text += string(session.Hot[one.Ended-session.ArchivedSeq-1].Data)
		}
	}
	return text
}

func TestAdoptedTurnsMakeTheLineWhole(t *testing.T) {
	machine := NewMachine()
	adopted := []AdoptedTurn{{Name: "x", Data: []byte("in x\nout x\n")}, {Name: "y", Data: []byte("in y\nout y\n")}}
	adopting := func(name string) Command {
		return with(begin(name, "y"), func(command *Command) { command.Adopted = adopted })
	}
	for position, step := range []struct {
		command Command
		want    Outcome
	}{
		{with(begin("one", "z"), func(command *Command) { command.Adopted = adopted }), Outcome{Status: UnknownTurn}},
		{with(adopting("one"), func(command *Command) { command.Tokens = 40 }), Outcome{Status: AllowanceExhausted}},
		{adopting("one"), Outcome{Seq: 3, Head: 3, Reserved: 10}},
		{adopting("one"), Outcome{Seq: 3, Head: 3, Reserved: 10, Deduped: true}},
		{adopting("two"), Outcome{Seq: 4, Head: 4, Reserved: 20}},
		{end("two", OutcomeComplete, 1), Outcome{Seq: 5, Head: 5, Spent: 1, Reserved: 10}},
		{begin("three", "x"), Outcome{Seq: 6, Head: 6, Spent: 1, Reserved: 20}},
		{with(begin("four", "two"), func(command *Command) { command.Budgeted = false }), Outcome{Seq: 7, Head: 7, Spent: 1, Reserved: 20}},
	} {
		if got := machine.Apply(&step.command); got != step.want {
			t.Errorf("step %d: got %+v, want %+v", position, got, step.want)
		}
	}
	for name, want := range map[string]string{
		"one": "in x\nout x\nin y\nout y\nin one\n", "three": "in x\nout x\nin three\n",
		"four": "in x\nout x\nin y\nout y\nin two\nout two\nin four\n",
	} {
		if got := said(machine.View(), "program/a", name); got != want {
			t.Errorf("%s goes on from %q, want %q", name, got, want)
		}
	}
	// The same turn may be known in more lines; each is forgotten with its line.
	other := with(adopting("five"), func(command *Command) { command.Line, command.KeepFor = "program/b", 2*time.Hour })
	if got := machine.Apply(&other); got.Status != Done {
		t.Fatalf("%+v", got)
	}
	machine.Apply(&Command{Kind: AckArchived, Now: int64(90 * time.Minute)})
	if _, found := machine.View().Turn("program/a", "x"); found {
		t.Fatal("a turn is known after its line was forgotten")
	}
	if found, known := machine.View().TurnAnywhere("x"); !known || found.Line != "program/b" {
		t.Fatal("a turn that another line adopted was forgotten")
	}
	machine.Apply(&Command{Kind: AckArchived, Now: int64(5 * time.Hour)})
	if image := machine.View().Image(); len(image.Sessions)+len(image.Turns)+machine.View().turns.Len()+machine.View().expiries.Len() != 0 {
		t.Fatalf("something is left: %+v", image)
	}
}

// TestProgramsKeepTheirAllowanceAndTheirHistories drives many turns of one program in
// any order, repeats and fences among them, against a simple model.
func TestProgramsKeepTheirAllowanceAndTheirHistories(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261202)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	properties.Property("allowance, dedupe and histories", prop.ForAll(func(steps []uint16) string {
		const allowance, most = 200, 30
		machine := NewMachine()
		type turn struct {
			follows string
			open    bool
			outcome string
		}
		turns, order, handed := map[string]*turn{}, []string{}, uint64(0)
		whole := []string{""}
		for position, step := range steps {
			if step%97 == 0 { // a replica starts anew from a checkpoint
				image := machine.View().Image()
				machine = NewMachine()
				if err := machine.Restore(image); err != nil {
					return err.Error()
				}
				if again := machine.View().Image(); !reflect.DeepEqual(image, again) {
					return "a restored group is another"
				}
			}
			if step%2 == 0 || len(order) == 0 {
				name := fmt.Sprintf("t%d", position)
				if step%10 == 4 && len(order) > 0 {
					name = order[int(step)/16%len(order)]
				}
				follows := whole[int(step)/8%len(whole)]
				if known, repeat := turns[name]; repeat {
					follows = known.follows
				}
				command := with(begin(name, follows), func(command *Command) { command.Tokens, command.Allowance = most, allowance })
				fits := machine.View().spentAndReserved()+most <= allowance
				outcome := machine.Apply(&command)
				known, repeat := turns[name]
				switch {
				case repeat && known.open && (outcome.Status != Done || !outcome.Deduped):
					return fmt.Sprintf("step %d: a repeat answered %+v", position, outcome)
				case repeat && !known.open && outcome.Status != TurnClosed && outcome.Status != TurnTaken:
					return fmt.Sprintf("step %d: a turn that has ended began: %+v", position, outcome)
				case !repeat && fits != (outcome.Status == Done):
					return fmt.Sprintf("step %d: fits is %t, but %+v", position, fits, outcome)
				case !repeat && outcome.Status == Done:
					turns[name] = &turn{follows: follows, open: true}
					order = append(order, name)
				}
			} else {
				name := order[int(step)/4%len(order)]
				known := turns[name]
				outcome, tokens := []string{OutcomeComplete, OutcomeComplete, OutcomeCut, OutcomeNotRun}[step/2%4], uint64(step%most)
				if outcome == OutcomeNotRun {
					tokens = 0
				}
				for range 2 {
					command := end(name, outcome, tokens)
					got := machine.Apply(&command)
					if ended := !known.open; ended != got.Deduped || ended && known.outcome != outcome && got.Status != TurnClosed {
						return fmt.Sprintf("step %d: the end answered %+v of %+v", position, got, known)
					}
					if known.open {
						known.open, known.outcome = false, outcome
						handed += tokens
						if outcome == OutcomeComplete {
							whole = append(whole, name)
						}
					}
				}
			}
			open := uint64(0)
			for _, one := range turns {
				if one.open {
					open += most
				}
			}
			if out := machine.View().spentAndReserved(); out != handed+open || out > allowance+most {
				return fmt.Sprintf("step %d: %d count, %d were handed out and %d may be", position, out, handed, open)
			}
		}
		for name, one := range turns {
			want := "in " + name + "\n"
			if one.outcome == OutcomeComplete {
				want += "out " + name + "\n"
			}
			for at := one.follows; at != ""; at = turns[at].follows {
				want = "in " + at + "\nout " + at + "\n" + want
			}
			if got := said(machine.View(), "program/a", name); got != want {
				return fmt.Sprintf("%s goes on from %q, want %q", name, got, want)
			}
		}
		return ""
	}, gen.SliceOfN(120, gen.UInt16())))
	properties.TestingRun(t)
}

func (view *View) spentAndReserved() uint64 {
	session, found := view.Session("program/a")
	if !found {
		return 0
	}
	return session.Spent + session.Reserved
}

func TestAProgramsLineIsKeptFromTheEndOfItsLastAnswer(t *testing.T) {
	machine := NewMachine()
	at := func(now time.Duration, command Command) Outcome {
		command.Now = int64(now)
		return machine.Apply(&command)
	}
	at(time.Second, begin("one", ""))
	at(2*time.Second, end("one", OutcomeComplete, 1))
	at(59*time.Minute, begin("two", "one"))
	for _, step := range []struct {
		now   time.Duration
		known bool
	}{{time.Hour + 30*time.Second, true}, {time.Hour + 59*time.Minute + 59*time.Second, true}, {2*time.Hour + time.Second, false}} {
		at(step.now, Command{Kind: AckArchived})
		if _, known := machine.View().Turn("program/a", "one"); known != step.known {
			t.Fatalf("at %s the turn is known: %t", step.now, known)
		}
	}
	if _, found := machine.View().Session("program/a"); found {
		t.Fatal("the tally is left")
	}
}

func BenchmarkTurnOfALongProgram(b *testing.B) {
	for _, turns := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(turns), func(b *testing.B) {
			input := []byte(strings.Repeat("x", 500))
			machine := NewMachine()
			for number := range b.N {
				name, follows := fmt.Sprintf("p%d-%d", number/turns, number%turns), ""
				if number%turns > 0 {
					follows = fmt.Sprintf("p%d-%d", number/turns, number%turns-1)
				}
				lineName := fmt.Sprintf("program/%d", number/turns)
				machine.Apply(&Command{Kind: BeginTurn, Line: lineName, Now: 1, KeepFor: time.Hour, Producer: name, ProducerSeq: 1, Follows: follows, Keeps: true, Data: input, Budgeted: true, Tokens: 1, Allowance: 10000, Life: time.Minute})
				machine.Apply(&Command{Kind: EndTurn, Line: lineName, Now: 1, KeepFor: time.Hour, Producer: name, ProducerSeq: 2, Outcome: OutcomeComplete, Keeps: true, Data: input, Tokens: 1})
			}
		})
	}
}
