package sessionlog

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func repeatLetter(letter string, length int) string { return strings.Repeat(letter, length) }

func shareCommand(scope, data string, sessions ...string) Command {
	command := Command{Kind: SharePrefix, Now: 1, Scope: scope, Data: []byte(data)}
	for _, name := range sessions {
		command.Acks = append(command.Acks, Ack{Session: name})
	}
	return command
}

func beginShared(sessionName, name, scope, prefix, rest string) Command {
	return Command{Kind: BeginTurnWithPrefix, Session: sessionName, Now: 1, Retention: time.Minute, Producer: name, ProducerSeq: 1, Dispatch: "front/" + name, KeepData: true,
		Scope: scope, Prefix: prefix, Data: []byte(rest), Lifetime: time.Minute}
}

func TestPrefixIsSharedOnlyWithinItsScopeAndByteForByte(t *testing.T) {
	machine := NewStateMachine()
	prefix := repeatLetter("a", MinPrefixBytes)
	name := SharedPrefixName("identity", []byte(prefix))
	for position, step := range []struct {
		command Command
		want    Status
	}{
		{shareCommand("", prefix), BadCommand},
		{shareCommand("identity", repeatLetter("a", MinPrefixBytes-1)), BadCommand},
		{shareCommand("identity", repeatLetter("a", MaxPrefixBytes+1)), BadCommand},
		{beginShared("program/a", "one", "identity", name, "x"), UnknownPrefix},
		{shareCommand("identity", prefix), Done},
		{shareCommand("identity", prefix), Done},
		{beginShared("program/a", "one", "permits", name, "x"), UnknownPrefix},
		{beginShared("program/a", "one", "", name, "x"), UnknownPrefix},
		{beginShared("program/a", "one", "identity", SharedPrefixName("permits", []byte(prefix)), "x"), UnknownPrefix},
		{with(beginShared("program/a", "one", "identity", name, "x"), func(command *Command) { command.Follows = "none" }), UnknownPrefix},
		{with(beginShared("program/a", "one", "identity", name, "x"), func(command *Command) { command.KeepData = false }), UnknownPrefix},
		{beginShared("program/a", "one", "identity", name, "x"), Done},
		{beginShared("program/a", "one", "identity", name, "x"), Done},
		{beginShared("program/a", "one", "identity", "no such", "x"), Done}, // a repeat begins nothing
	} {
		if got := machine.Apply(&step.command); got.Status != step.want {
			t.Errorf("step %d: got %+v, want %d", position, got, step.want)
		}
	}
	view := machine.View()
	held, found := view.LongestSharedPrefix("identity", []byte(prefix+"x"))
	if !found || held.Name != name || held.References != 1 || held.Text() != prefix {
		t.Fatalf("%+v", held)
	}
	if _, found := view.LongestSharedPrefix("permits", []byte(prefix+"x")); found {
		t.Fatal("another scope's opening is found")
	}
	if _, found := view.LongestSharedPrefix("identity", []byte(repeatLetter("a", MinPrefixBytes-1)+"b")); found {
		t.Fatal("an opening is found that the input does not begin with")
	}
	session, _ := view.Session("program/a")
	if got, sound := view.FullData(&session.Unarchived[0]); !sound || string(got) != prefix+"x" || len(session.Unarchived[0].Data) != 1 {
		t.Fatalf("%q %t", got, sound)
	}
	// The longest opening is taken.
	longer := shareCommand("identity", prefix+repeatLetter("b", 300))
	machine.Apply(&longer)
	if held, _ := machine.View().LongestSharedPrefix("identity", []byte(prefix+repeatLetter("b", 400))); held.Size != MinPrefixBytes+300 {
		t.Fatalf("%+v", held)
	}
	for number := range MaxPrefixesPerScope {
		command := shareCommand("permits", prefix+fmt.Sprint(number))
		machine.Apply(&command)
	}
	one := shareCommand("permits", prefix+"one more")
	if got := machine.Apply(&one); got.Status != TooManyPrefixes {
		t.Fatalf("%+v", got)
	}
}

func TestSharePrefixRewritesMatchingSessionsAndKeepsOldViews(t *testing.T) {
	machine := NewStateMachine()
	prefix := repeatLetter("a", MinPrefixBytes)
	for _, name := range []string{"a", "b", "c"} {
		input := prefix + " of " + name
		if name == "c" {
			input = "c" + prefix
		}
		command := with(beginCommand(name, ""), func(command *Command) { command.Session, command.Data = "program/"+name, []byte(input) })
		machine.Apply(&command)
		ended := with(endCommand(name, OutcomeComplete, 1), func(command *Command) { command.Session, command.Data = "program/"+name, []byte(prefix+" out") })
		machine.Apply(&ended)
	}
	before := machine.View()
	snapshot := before.Snapshot()
	merged := shareCommand("identity", prefix, "program/a", "program/b", "program/c", "program/unknown")
	for range 2 { // a repeat changes nothing
		machine.Apply(&merged)
		held, _ := machine.View().SharedPrefix(SharedPrefixName("identity", []byte(prefix)))
		if held.References != 2 || held.SavedBytes() != MinPrefixBytes {
			t.Fatalf("%+v", held)
		}
	}
	if !reflect.DeepEqual(snapshot, before.Snapshot()) {
		t.Fatal("an earlier view was changed")
	}
	for _, name := range []string{"a", "b", "c"} {
		session, _ := machine.View().Session("program/" + name)
		earlier, _ := before.Session("program/" + name)
		for position := range session.Unarchived {
			got, sound := machine.View().FullData(&session.Unarchived[position])
			if !sound || string(got) != string(earlier.Unarchived[position].Data) {
				t.Fatalf("%s: %q", name, got)
			}
		}
		if shared := session.Unarchived[0].Prefix != ""; shared != (name != "c") || session.Unarchived[1].Prefix != "" {
			t.Fatalf("%s: %+v", name, session.Unarchived)
		}
	}
}

func TestUnreferencedPrefixIsFreedAndOldViewsStillReadIt(t *testing.T) {
	machine := NewStateMachine()
	prefix := repeatLetter("a", MinPrefixBytes)
	name := SharedPrefixName("identity", []byte(prefix))
	at := func(now time.Duration, command Command) Outcome {
		command.Now = int64(now)
		return machine.Apply(&command)
	}
	at(time.Second, shareCommand("identity", prefix))
	at(time.Second, beginShared("program/a", "one", "identity", name, "x"))
	at(2*time.Second, Command{Kind: AckArchived, Acks: []Ack{{Session: "program/a", ArchivedSeq: 1}}})
	kept := 2*time.Minute + 2*time.Second // the turn's life and what the line is kept after it
	for _, step := range []struct {
		now            time.Duration
		session, found bool
	}{{kept - 2*time.Second, true, true}, {kept, false, true}, {kept + idlePrefixLifetime - time.Second, false, true}, {kept + idlePrefixLifetime + time.Second, false, false}} {
		late := machine.View()
		if due := late.HasIdlePrefix(int64(step.now)); due == step.found {
			t.Fatalf("at %s something is due: %t", step.now, due)
		}
		at(step.now, Command{Kind: AckArchived})
		if _, known := machine.View().Session("program/a"); known != step.session {
			t.Fatalf("at %s the line is known: %t", step.now, known)
		}
		if _, found := machine.View().SharedPrefix(name); found != step.found {
			t.Fatalf("at %s the opening is held: %t", step.now, found)
		}
		if got, sound := late.FullData(&Event{Prefix: name, Data: []byte("x")}); !sound || string(got) != prefix+"x" {
			t.Fatalf("at %s a reader of an earlier view got %q", step.now, got)
		}
	}
	if got := at(time.Hour, beginShared("program/b", "two", "identity", name, "x")); got.Status != UnknownPrefix {
		t.Fatalf("a turn refers to an opening that was freed: %+v", got)
	}
	if _, sound := machine.View().FullData(&Event{Prefix: name, Data: []byte("x")}); sound {
		t.Fatal("a reference to a freed opening gave something")
	}
	if _, found := machine.View().Session("program/b"); found || machine.View().prefixesByScope.Len() != 0 {
		t.Fatal("something is left")
	}
}

func TestCorruptPrefixIsNeverReadAndIsRepaired(t *testing.T) {
	machine := NewStateMachine()
	prefix := repeatLetter("a", MinPrefixBytes)
	name := SharedPrefixName("identity", []byte(prefix))
	share := shareCommand("identity", prefix)
	machine.Apply(&share)
	started := beginShared("program/a", "one", "identity", name, "x")
	machine.Apply(&started)
	snapshot := machine.View().Snapshot()
	if snapshot.Version != SnapshotVersion {
		t.Fatalf("format %d", snapshot.Version)
	}
	snapshot.Prefixes = slices.Clone(snapshot.Prefixes)
	snapshot.Prefixes[0].Data = []byte(repeatLetter("a", MinPrefixBytes-1) + "b")
	damaged := NewStateMachine()
	if err := damaged.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	event := Event{Prefix: name, Data: []byte("x")}
	if got, sound := damaged.View().FullData(&event); sound {
		t.Fatalf("a damaged opening was read: %q", got)
	}
	if _, found := damaged.View().LongestSharedPrefix("identity", []byte(prefix)); found {
		t.Fatal("a damaged opening is offered")
	}
	// It goes on as its sound peers do.
	for _, command := range []Command{beginShared("program/b", "two", "identity", name, "y"), shareCommand("identity", prefix)} {
		if left, right := machine.Apply(&command), damaged.Apply(&command); left != right {
			t.Fatalf("%+v and %+v", left, right)
		}
	}
	if got, sound := damaged.View().FullData(&event); !sound || string(got) != prefix+"x" {
		t.Fatalf("the opening was not mended: %q", got)
	}
	if !reflect.DeepEqual(machine.View().Snapshot(), damaged.View().Snapshot()) {
		t.Fatal("the mended replica is another")
	}
}

func TestSnapshotWithoutPrefixesHasTheEarlierVersion(t *testing.T) {
	machine := NewStateMachine()
	command := beginCommand("one", "")
	machine.Apply(&command)
	if snapshot := machine.View().Snapshot(); snapshot.Version != 2 || snapshot.Prefixes != nil {
		t.Fatalf("%+v", snapshot)
	}
}

// TestSharedPrefixesLoseNoData drives turns with and without openings, merges, archiving,
// forgetting and checkpoints in any order; every event that is kept reads as it was said.
func TestSharedPrefixesLoseNoData(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261202)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	heads := []string{repeatLetter("a", 300), repeatLetter("a", 300) + repeatLetter("b", 300), repeatLetter("c", 400), repeatLetter("a", 20)}
	scopes := []string{"identity", "permits"}
	properties.Property("what is kept reads as it was said", prop.ForAll(func(steps []uint16) string {
		machine, clock := NewStateMachine(), time.Second
		said, archive := map[string]string{}, map[string]Event{} // by line and seq
		key := func(name string, seq uint64) string { return fmt.Sprintf("%s/%d", name, seq) }
		for position, step := range steps {
			clock += time.Duration(step%7) * time.Second
			choice, picked := step%11, int(step)/11
			scope, head := scopes[picked%2], heads[picked/2%len(heads)]
			sessionName := fmt.Sprintf("program/%s-%d", scope, picked/8%40)
			switch {
			case choice < 6: // as a leader does
				name, input := fmt.Sprintf("t%d", position), fmt.Sprintf("%s said at %d", head, position)
				command := Command{Kind: BeginTurn, Session: sessionName, Now: int64(clock), Retention: 20 * time.Second, Producer: name, Dispatch: name, KeepData: true, Data: []byte(input), Lifetime: time.Second}
				if held, found := machine.View().LongestSharedPrefix(scope, []byte(input)); found && choice < 5 {
					command.Kind, command.Scope, command.Prefix, command.Data = BeginTurnWithPrefix, scope, held.Name, []byte(input[held.Size:])
				}
				got := machine.Apply(&command)
				if got.Status != Done {
					return fmt.Sprintf("step %d: %+v", position, got)
				}
				said[key(sessionName, got.Seq)] = input
			case choice < 8:
				sessions := []string{}
				for number := range 40 {
					sessions = append(sessions, fmt.Sprintf("program/%s-%d", scope, number))
				}
				command := shareCommand(scope, head, sessions...)
				command.Now = int64(clock)
				machine.Apply(&command)
			case choice < 9:
				snapshot := machine.View().Snapshot()
				machine = NewStateMachine()
				if err := machine.Restore(snapshot); err != nil {
					return err.Error()
				}
				if !reflect.DeepEqual(snapshot, machine.View().Snapshot()) {
					return fmt.Sprintf("step %d: a restored group is another", position)
				}
			default:
				command := Command{Kind: AckArchived, Now: int64(clock)}
				for session := range machine.View().Unarchived() {
					for _, event := range session.Unarchived {
						archive[key(session.Name, event.Seq)] = event
					}
					command.Acks = append(command.Acks, Ack{Session: session.Name, ArchivedSeq: session.Head})
				}
				machine.Apply(&command)
			}
			view, counted := machine.View(), map[string]uint64{}
			for session := range view.Sessions() {
				for seq := uint64(1); seq <= session.Head; seq++ {
					event, archived := archive[key(session.Name, seq)], seq <= session.ArchivedSeq
					if !archived {
						event = session.Unarchived[seq-session.ArchivedSeq-1]
					}
					if got, sound := view.FullData(&event); !sound || string(got) != said[key(session.Name, seq)] {
						return fmt.Sprintf("step %d: %s/%d reads %q, said was %q", position, session.Name, seq, got, said[key(session.Name, seq)])
					}
				}
				for _, name := range session.Prefixes {
					counted[name]++
					if held, found := view.SharedPrefix(name); !found || !strings.Contains(session.Name, held.Scope) {
						return fmt.Sprintf("step %d: %s refers to %s", position, session.Name, name)
					}
				}
			}
			for prefix := range view.SharedPrefixes() {
				if prefix.References != counted[prefix.Name] || prefix.Name != SharedPrefixName(prefix.Scope, []byte(prefix.Text())) {
					return fmt.Sprintf("step %d: %+v is referred to by %d lines", position, prefix, counted[prefix.Name])
				}
			}
		}
		return ""
	}, gen.SliceOfN(150, gen.UInt16())))
	properties.TestingRun(t)
}
