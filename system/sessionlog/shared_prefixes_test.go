package sessionlog

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

func repeatLetter(letter string, length int) string { return strings.Repeat(letter, length) }

func shareCommand(scope, data string, sessions ...string) Command {
	command := Command{Kind: SharePrefix, Now: 1, Scope: scope, Data: []byte(data)}
	for _, name := range sessions {
		command.Acks = append(command.Acks, Ack{Session: name})
	}
	return command
}

func beginWithPrefix(sessionName, name, scope, prefix, rest string) Command {
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
		{beginWithPrefix("program/a", "one", "identity", name, "x"), UnknownPrefix},
		{shareCommand("identity", prefix), Done},
		{shareCommand("identity", prefix), Done},
		{beginWithPrefix("program/a", "one", "permits", name, "x"), UnknownPrefix},
		{beginWithPrefix("program/a", "one", "", name, "x"), UnknownPrefix},
		{beginWithPrefix("program/a", "one", "identity", SharedPrefixName("permits", []byte(prefix)), "x"), UnknownPrefix},
		{with(beginWithPrefix("program/a", "one", "identity", name, "x"), func(command *Command) { command.Follows = "none" }), UnknownPrefix},
		{with(beginWithPrefix("program/a", "one", "identity", name, "x"), func(command *Command) { command.KeepData = false }), UnknownPrefix},
		{beginWithPrefix("program/a", "one", "identity", name, "x"), Done},
		{beginWithPrefix("program/a", "one", "identity", name, "x"), Done},
		{beginWithPrefix("program/a", "one", "identity", "no such", "x"), Done}, // a repeat does not begin a turn
	} {
		if got := machine.Apply(&step.command); got.Status != step.want {
			t.Errorf("step %d: got %+v, want %d", position, got, step.want)
		}
	}
	view := machine.View()
	stored, found := view.LongestSharedPrefix("identity", []byte(prefix+"x"))
	if !found || stored.Name != name || stored.References != 1 || stored.Text() != prefix {
		t.Fatalf("stored prefix: %+v", stored)
	}
	if _, found := view.LongestSharedPrefix("permits", []byte(prefix+"x")); found {
		t.Fatal("found the prefix of another scope")
	}
	if _, found := view.LongestSharedPrefix("identity", []byte(repeatLetter("a", MinPrefixBytes-1)+"b")); found {
		t.Fatal("found a prefix that the input does not begin with")
	}
	session, _ := view.Session("program/a")
	if got, intact := view.FullData(&session.Unarchived[0]); !intact || string(got) != prefix+"x" || len(session.Unarchived[0].Data) != 1 {
		t.Fatalf("full data %q, intact %t", got, intact)
	}
	// The longest matching prefix is returned.
	longer := shareCommand("identity", prefix+repeatLetter("b", 300))
	machine.Apply(&longer)
	if stored, _ := machine.View().LongestSharedPrefix("identity", []byte(prefix+repeatLetter("b", 400))); stored.Size != MinPrefixBytes+300 {
		t.Fatalf("longest prefix: %+v", stored)
	}
	for number := range maxPrefixesPerScope {
		command := shareCommand("permits", prefix+fmt.Sprint(number))
		machine.Apply(&command)
	}
	extra := shareCommand("permits", prefix+"one more")
	if got := machine.Apply(&extra); got.Status != TooManyPrefixes {
		t.Fatalf("prefix beyond the maximum: %+v", got)
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
	share := shareCommand("identity", prefix, "program/a", "program/b", "program/c", "program/unknown")
	for range 2 { // a repeat has no effect
		machine.Apply(&share)
		stored, _ := machine.View().SharedPrefix(SharedPrefixName("identity", []byte(prefix)))
		if stored.References != 2 || stored.SavedBytes() != MinPrefixBytes {
			t.Fatalf("stored prefix: %+v", stored)
		}
	}
	if !reflect.DeepEqual(snapshot, before.Snapshot()) {
		t.Fatal("an earlier view was modified")
	}
	for _, name := range []string{"a", "b", "c"} {
		session, _ := machine.View().Session("program/" + name)
		earlier, _ := before.Session("program/" + name)
		for position := range session.Unarchived {
			got, intact := machine.View().FullData(&session.Unarchived[position])
			if !intact || string(got) != string(earlier.Unarchived[position].Data) {
				t.Fatalf("session %s reads %q", name, got)
			}
		}
		if shared := session.Unarchived[0].Prefix != ""; shared != (name != "c") || session.Unarchived[1].Prefix != "" {
			t.Fatalf("session %s: %+v", name, session.Unarchived)
		}
	}
}

func TestUnreferencedPrefixIsFreedAndOldViewsStillReadIt(t *testing.T) {
	machine := NewStateMachine()
	prefix := repeatLetter("a", MinPrefixBytes)
	name := SharedPrefixName("identity", []byte(prefix))
	at := func(now time.Duration, command Command) Result {
		command.Now = int64(now)
		return machine.Apply(&command)
	}
	at(time.Second, shareCommand("identity", prefix))
	at(time.Second, beginWithPrefix("program/a", "one", "identity", name, "x"))
	at(2*time.Second, Command{Kind: AckArchived, Acks: []Ack{{Session: "program/a", ArchivedSeq: 1}}})
	retained := 2*time.Minute + 2*time.Second // the turn's lifetime plus the retention
	for _, step := range []struct {
		now            time.Duration
		session, found bool
	}{{retained - 2*time.Second, true, true}, {retained, false, true}, {retained + idlePrefixLifetime - time.Second, false, true}, {retained + idlePrefixLifetime + time.Second, false, false}} {
		earlier := machine.View()
		if due := earlier.HasIdlePrefix(int64(step.now)); due == step.found {
			t.Fatalf("at %s HasIdlePrefix is %t", step.now, due)
		}
		at(step.now, Command{Kind: AckArchived})
		if _, known := machine.View().Session("program/a"); known != step.session {
			t.Fatalf("at %s session found: %t", step.now, known)
		}
		if _, found := machine.View().SharedPrefix(name); found != step.found {
			t.Fatalf("at %s prefix found: %t", step.now, found)
		}
		if got, intact := earlier.FullData(&Event{Prefix: name, Data: []byte("x")}); !intact || string(got) != prefix+"x" {
			t.Fatalf("at %s an earlier view reads %q", step.now, got)
		}
	}
	if got := at(time.Hour, beginWithPrefix("program/b", "two", "identity", name, "x")); got.Status != UnknownPrefix {
		t.Fatalf("turn with a freed prefix: %+v", got)
	}
	if _, intact := machine.View().FullData(&Event{Prefix: name, Data: []byte("x")}); intact {
		t.Fatal("FullData succeeded for a freed prefix")
	}
	if _, found := machine.View().Session("program/b"); found || machine.View().prefixesByScope.Len() != 0 {
		t.Fatal("the rejected session or the freed prefix is still there")
	}
}

func TestCorruptPrefixIsNeverReadAndIsRepaired(t *testing.T) {
	machine := NewStateMachine()
	prefix := repeatLetter("a", MinPrefixBytes)
	name := SharedPrefixName("identity", []byte(prefix))
	share := shareCommand("identity", prefix)
	machine.Apply(&share)
	begin := beginWithPrefix("program/a", "one", "identity", name, "x")
	machine.Apply(&begin)
	snapshot := machine.View().Snapshot()
	if snapshot.Version != snapshotVersion {
		t.Fatalf("snapshot version %d", snapshot.Version)
	}
	snapshot.Prefixes = slices.Clone(snapshot.Prefixes)
	snapshot.Prefixes[0].Data = []byte(repeatLetter("a", MinPrefixBytes-1) + "b")
	damaged := NewStateMachine()
	if err := damaged.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	event := Event{Prefix: name, Data: []byte("x")}
	if got, intact := damaged.View().FullData(&event); intact {
		t.Fatalf("read a corrupt prefix: %q", got)
	}
	if _, found := damaged.View().LongestSharedPrefix("identity", []byte(prefix)); found {
		t.Fatal("found a corrupt prefix")
	}
	// The replica with the corrupt prefix returns the same results as an intact one.
	for _, command := range []Command{beginWithPrefix("program/b", "two", "identity", name, "y"), shareCommand("identity", prefix)} {
		if left, right := machine.Apply(&command), damaged.Apply(&command); left != right {
			t.Fatalf("intact replica: %+v, replica with the corrupt prefix: %+v", left, right)
		}
	}
	if got, intact := damaged.View().FullData(&event); !intact || string(got) != prefix+"x" {
		t.Fatalf("prefix was not repaired: %q", got)
	}
	if !reflect.DeepEqual(machine.View().Snapshot(), damaged.View().Snapshot()) {
		t.Fatal("snapshot of the repaired replica differs")
	}
}

func TestSnapshotWithoutPrefixesHasTheEarlierVersion(t *testing.T) {
	machine := NewStateMachine()
	command := beginCommand("one", "")
	machine.Apply(&command)
	if snapshot := machine.View().Snapshot(); snapshot.Version != 2 || snapshot.Prefixes != nil {
		t.Fatalf("snapshot without prefixes: %+v", snapshot)
	}
}
