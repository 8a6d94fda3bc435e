package sessionlog

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// The quota of the modelled program and the reservation of each turn, in tokens.
const (
	modelQuota      = 200
	modelTurnTokens = 30
)

// modelTurn is the expected state of a turn.
type modelTurn struct {
	follows string
	open    bool
	outcome string
}

// programModel drives the turns of one program and tracks their expected state. Its methods
// return a description of the first violation, or "".
type programModel struct {
	machine *StateMachine
	turns   map[string]*modelTurn
	// order has the turns in the order in which they began, completed those that may be
	// followed; "" starts a new history.
	order     []string
	completed []string
	// settled is the number of output tokens of ended turns.
	settled uint64
}

// TestTurnsKeepQuotaAndHistory applies random sequences of begins and ends of turns, including
// repeats and restarts, and compares quota usage and histories with a model.
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

// restart replaces the state machine by one restored from its snapshot.
func (model *programModel) restart() string {
	snapshot := model.machine.View().Snapshot()
	model.machine = NewStateMachine()
	if err := model.machine.Restore(snapshot); err != nil {
		return err.Error()
	}
	if restored := model.machine.View().Snapshot(); !reflect.DeepEqual(snapshot, restored) {
		return "snapshot of the restored state machine differs"
	}
	return ""
}

// begin begins a turn or repeats a BeginTurn.
func (model *programModel) begin(position int, step uint16) string {
	name := model.nameToBegin(position, step)
	follows := model.completed[int(step)/8%len(model.completed)]
	known, repeat := model.turns[name]
	if repeat {
		follows = known.follows
	}
	command := with(beginCommand(name, follows), func(command *Command) { command.Tokens, command.Quota = modelTurnTokens, modelQuota })
	fits := model.machine.View().spentAndReserved()+modelTurnTokens <= modelQuota
	result := model.machine.Apply(&command)
	switch {
	case repeat && known.open && (result.Status != Done || !result.Deduped):
		return fmt.Sprintf("step %d: repeated BeginTurn: %+v", position, result)
	case repeat && !known.open && result.Status != TurnClosed && result.Status != TurnTaken:
		return fmt.Sprintf("step %d: BeginTurn of an ended turn: %+v", position, result)
	case !repeat && fits != (result.Status == Done):
		return fmt.Sprintf("step %d: within quota: %t, BeginTurn: %+v", position, fits, result)
	case !repeat && result.Status == Done:
		model.turns[name] = &modelTurn{follows: follows, open: true}
		model.order = append(model.order, name)
	}
	return ""
}

// nameToBegin returns a new name or, occasionally, that of a turn that has already begun.
func (model *programModel) nameToBegin(position int, step uint16) string {
	if step%10 == 4 && len(model.order) > 0 {
		return model.order[int(step)/16%len(model.order)]
	}
	return fmt.Sprintf("t%d", position)
}

// end ends a turn twice. The turn may have ended already.
func (model *programModel) end(position int, step uint16) string {
	name := model.order[int(step)/4%len(model.order)]
	known := model.turns[name]
	outcome, tokens := []string{OutcomeComplete, OutcomeComplete, OutcomeInterrupted, OutcomeNotRun}[step/2%4], uint64(step%modelTurnTokens)
	if outcome == OutcomeNotRun {
		tokens = 0
	}
	for range 2 {
		command := endCommand(name, outcome, tokens)
		got := model.machine.Apply(&command)
		if ended := !known.open; ended != got.Deduped || ended && known.outcome != outcome && got.Status != TurnClosed {
			return fmt.Sprintf("step %d: EndTurn: %+v, turn: %+v", position, got, known)
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

// checkQuota compares the quota usage with the tokens that the model has settled and reserved.
func (model *programModel) checkQuota(position int) string {
	open := uint64(0)
	for _, turn := range model.turns {
		if turn.open {
			open += modelTurnTokens
		}
	}
	if used := model.machine.View().spentAndReserved(); used != model.settled+open || used > modelQuota+modelTurnTokens {
		return fmt.Sprintf("step %d: quota usage %d, want %d settled and %d reserved", position, used, model.settled, open)
	}
	return ""
}

// checkHistories compares the history of each turn with the chain of turns that it follows.
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
			return fmt.Sprintf("history of %s: got %q, want %q", name, got, want)
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
