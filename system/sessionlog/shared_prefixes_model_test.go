package sessionlog

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// The prefixes of the generated inputs, of which the last is too short to be shared, and the
// scopes.
var (
	modelPrefixes = []string{repeatLetter("a", 300), repeatLetter("a", 300) + repeatLetter("b", 300), repeatLetter("c", 400), repeatLetter("a", 20)}
	modelScopes   = []string{"identity", "permits"}
)

const modelSessionsPerScope = 40

// prefixModel drives the sessions of one group. It records the written inputs and the archived
// events by eventKey. Its methods return a description of the first violation, or "".
type prefixModel struct {
	machine  *StateMachine
	clock    time.Duration
	written  map[string]string
	archived map[string]Event
}

// TestSharedPrefixesLoseNoData applies random sequences of turns with and without shared prefixes,
// SharePrefix, archiving, expiry and snapshots. It guards against a retained event whose full data
// differs from the written input.
func TestSharedPrefixesLoseNoData(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261202)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	properties.Property("retained events read as written", prop.ForAll(func(steps []uint16) string {
		model := &prefixModel{machine: NewStateMachine(), clock: time.Second, written: map[string]string{}, archived: map[string]Event{}}
		for position, step := range steps {
			if violation := model.step(step, position); violation != "" {
				return fmt.Sprintf("step %d: %s", position, violation)
			}
			if violation := model.check(); violation != "" {
				return fmt.Sprintf("step %d: %s", position, violation)
			}
		}
		return ""
	}, gen.SliceOfN(150, gen.UInt16())))
	properties.TestingRun(t)
}

func eventKey(sessionName string, seq uint64) string { return fmt.Sprintf("%s/%d", sessionName, seq) }

func modelSessionName(scope string, number int) string {
	return fmt.Sprintf("program/%s-%d", scope, number)
}

func (model *prefixModel) step(step uint16, position int) string {
	model.clock += time.Duration(step%7) * time.Second
	choice, picked := step%11, int(step)/11
	scope, prefixText := modelScopes[picked%2], modelPrefixes[picked/2%len(modelPrefixes)]
	switch {
	case choice < 6:
		return model.begin(modelSessionName(scope, picked/8%modelSessionsPerScope), scope, prefixText, position, choice < 5)
	case choice < 8:
		model.share(scope, prefixText)
	case choice < 9:
		return model.restart()
	default:
		model.archive()
	}
	return ""
}

// begin begins a turn in the way a leader does: with a shared prefix if one matches and mayShare
// is set.
func (model *prefixModel) begin(sessionName, scope, prefixText string, position int, mayShare bool) string {
	name, input := fmt.Sprintf("t%d", position), fmt.Sprintf("%s said at %d", prefixText, position)
	command := Command{Kind: BeginTurn, Session: sessionName, Now: int64(model.clock), Retention: 20 * time.Second, Producer: name, Dispatch: name, KeepData: true, Data: []byte(input), Lifetime: time.Second}
	if prefix, found := model.machine.View().LongestSharedPrefix(scope, []byte(input)); found && mayShare {
		command.Kind, command.Scope, command.Prefix, command.Data = BeginTurnWithPrefix, scope, prefix.Name, []byte(input[prefix.Size:])
	}
	got := model.machine.Apply(&command)
	if got.Status != Done {
		return fmt.Sprintf("BeginTurn: %+v", got)
	}
	model.written[eventKey(sessionName, got.Seq)] = input
	return ""
}

// share shares a prefix among all sessions of its scope.
func (model *prefixModel) share(scope, prefixText string) {
	sessions := []string{}
	for number := range modelSessionsPerScope {
		sessions = append(sessions, modelSessionName(scope, number))
	}
	command := shareCommand(scope, prefixText, sessions...)
	command.Now = int64(model.clock)
	model.machine.Apply(&command)
}

// restart replaces the state machine by one restored from its snapshot.
func (model *prefixModel) restart() string {
	snapshot := model.machine.View().Snapshot()
	model.machine = NewStateMachine()
	if err := model.machine.Restore(snapshot); err != nil {
		return err.Error()
	}
	if !reflect.DeepEqual(snapshot, model.machine.View().Snapshot()) {
		return "snapshot of the restored state machine differs"
	}
	return ""
}

// archive archives all events and removes expired sessions and idle prefixes.
func (model *prefixModel) archive() {
	command := Command{Kind: AckArchived, Now: int64(model.clock)}
	for session := range model.machine.View().Unarchived() {
		for _, event := range session.Unarchived {
			model.archived[eventKey(session.Name, event.Seq)] = event
		}
		command.Acks = append(command.Acks, Ack{Session: session.Name, ArchivedSeq: session.Head})
	}
	model.machine.Apply(&command)
}

// check verifies every event of every session and the reference count of each prefix.
func (model *prefixModel) check() string {
	view, references := model.machine.View(), map[string]uint64{}
	for session := range view.Sessions() {
		if violation := model.checkEvents(view, session); violation != "" {
			return violation
		}
		for _, name := range session.Prefixes {
			references[name]++
			if prefix, found := view.SharedPrefix(name); !found || !strings.Contains(session.Name, prefix.Scope) {
				return fmt.Sprintf("%s refers to %s, which is missing or of another scope", session.Name, name)
			}
		}
	}
	for prefix := range view.SharedPrefixes() {
		if prefix.References != references[prefix.Name] || prefix.Name != SharedPrefixName(prefix.Scope, []byte(prefix.Text())) {
			return fmt.Sprintf("prefix %+v: %d sessions refer to it", prefix, references[prefix.Name])
		}
	}
	return ""
}

func (model *prefixModel) checkEvents(view *View, session *Session) string {
	for seq := uint64(1); seq <= session.Head; seq++ {
		key := eventKey(session.Name, seq)
		event := model.archived[key]
		if seq > session.ArchivedSeq {
			event = session.Unarchived[seq-session.ArchivedSeq-1]
		}
		if got, intact := view.FullData(&event); !intact || string(got) != model.written[key] {
			return fmt.Sprintf("%s reads %q, want %q", key, got, model.written[key])
		}
	}
	return ""
}
