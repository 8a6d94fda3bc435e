package sessionlog

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// The quota of the modelled program, and how much of it each turn reserves, in tokens.
const (
	modelQuota      = 200
	modelTurnTokens = 30
)

// modelTurn is what the model knows of a turn.
type modelTurn struct {
	follows string
	open    bool
	outcome string
}

// programModel drives one program's turns and says what must be true after each. Its methods
// return what is wrong, or "".
type programModel struct {
	machine *StateMachine
	turns   map[string]*modelTurn
	// order has the turns as they began, completed those that may be followed; "" begins a
	// history.
	order     []string
	completed []string
	// settled are the tokens that ended turns put out.
	settled uint64
}

// TestTurnsKeepQuotaAndHistory drives many turns of one program in any order,
// repeats and fences among them, against a simple model.
func TestTurnsKeepQuotaAndHistory(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261202)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	properties.Property("quota, deduplication and histories", prop.ForAll(func(steps []uint16) string {
		model := &programModel{machine: NewStateMachine(), turns: map[string]*modelTurn{}, completed: []string{""}}
		for position, step := range steps {
			if violation := model.step(position, step); violation != "" {
				return violation
			}
		}
		return model.checkHistories()
	}, gen.SliceOfN(120, gen.UInt16())))
	properties.TestingRun(t)
}

func (model *programModel) step(position int, step uint16) string {
	if step%97 == 0 {
		if violation := model.restart(); violation != "" {
			return violation
		}
	}
	action := model.end
	if step%2 == 0 || len(model.order) == 0 {
		action = model.begin
	}
	if violation := action(position, step); violation != "" {
		return violation
	}
	return model.checkQuota(position)
}

// restart has a replica start again from a snapshot.
func (model *programModel) restart() string {
	snapshot := model.machine.View().Snapshot()
	model.machine = NewStateMachine()
	if err := model.machine.Restore(snapshot); err != nil {
		return err.Error()
	}
	if restored := model.machine.View().Snapshot(); !reflect.DeepEqual(snapshot, restored) {
		return "a restored group is another"
	}
	return ""
}

// begin begins a turn, or repeats the beginning of one.
func (model *programModel) begin(position int, step uint16) string {
	name := model.nameToBegin(position, step)
	follows := model.completed[int(step)/8%len(model.completed)]
	known, repeat := model.turns[name]
	if repeat {
		follows = known.follows
	}
	command := with(beginCommand(name, follows), func(command *Command) { command.Tokens, command.Quota = modelTurnTokens, modelQuota })
	fits := model.machine.View().spentAndReserved()+modelTurnTokens <= modelQuota
	outcome := model.machine.Apply(&command)
	switch {
	case repeat && known.open && (outcome.Status != Done || !outcome.Deduped):
		return fmt.Sprintf("step %d: a repeat answered %+v", position, outcome)
	case repeat && !known.open && outcome.Status != TurnClosed && outcome.Status != TurnTaken:
		return fmt.Sprintf("step %d: a turn that has ended began: %+v", position, outcome)
	case !repeat && fits != (outcome.Status == Done):
		return fmt.Sprintf("step %d: fits is %t, but %+v", position, fits, outcome)
	case !repeat && outcome.Status == Done:
		model.turns[name] = &modelTurn{follows: follows, open: true}
		model.order = append(model.order, name)
	}
	return ""
}

// nameToBegin returns a new name, or now and then that of a turn which began already.
func (model *programModel) nameToBegin(position int, step uint16) string {
	if step%10 == 4 && len(model.order) > 0 {
		return model.order[int(step)/16%len(model.order)]
	}
	return fmt.Sprintf("t%d", position)
}

// end ends a turn twice, whether or not it is open.
func (model *programModel) end(position int, step uint16) string {
	name := model.order[int(step)/4%len(model.order)]
	known := model.turns[name]
	outcome, tokens := []string{OutcomeComplete, OutcomeComplete, OutcomeCut, OutcomeNotRun}[step/2%4], uint64(step%modelTurnTokens)
	if outcome == OutcomeNotRun {
		tokens = 0
	}
	for range 2 {
		command := endCommand(name, outcome, tokens)
		got := model.machine.Apply(&command)
		if ended := !known.open; ended != got.Deduped || ended && known.outcome != outcome && got.Status != TurnClosed {
			return fmt.Sprintf("step %d: the end answered %+v of %+v", position, got, known)
		}
		if !known.open {
			continue
		}
		known.open, known.outcome = false, outcome
		model.settled += tokens
		if outcome == OutcomeComplete {
			model.completed = append(model.completed, name)
		}
	}
	return ""
}

// checkQuota compares what the state machine counts with what the turns put out and may yet.
func (model *programModel) checkQuota(position int) string {
	open := uint64(0)
	for _, turn := range model.turns {
		if turn.open {
			open += modelTurnTokens
		}
	}
	if used := model.machine.View().spentAndReserved(); used != model.settled+open || used > modelQuota+modelTurnTokens {
		return fmt.Sprintf("step %d: %d count, %d were put out and %d may be", position, used, model.settled, open)
	}
	return ""
}

// checkHistories compares the history of each turn with the turns that it follows.
func (model *programModel) checkHistories() string {
	for name, turn := range model.turns {
		want := "in " + name + "\n"
		if turn.outcome == OutcomeComplete {
			want += "out " + name + "\n"
		}
		for current := turn.follows; current != ""; current = model.turns[current].follows {
			want = "in " + current + "\nout " + current + "\n" + want
		}
		if got := historyOf(model.machine.View(), "program/a", name); got != want {
			return fmt.Sprintf("%s goes on from %q, want %q", name, got, want)
		}
	}
	return ""
}

func (view *View) spentAndReserved() uint64 {
	session, found := view.Session("program/a")
	if !found {
		return 0
	}
	return session.Spent + session.Reserved
}
