package sessionlog

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// resultsOfEarlierVersion is the digest of the results and the content that random commands led to
// before turns were recorded with OutcomeUnsaved.
const resultsOfEarlierVersion = "b72d6071c915237338258d18d3472e19cca0df584b61d62d6b11e9b55475d296"

// randomTurnCommand returns a command of one of a few turns in a few sessions.
func randomTurnCommand(random *rand.Rand, now int64) Command {
	names := []string{"", "a", "b", "c", "d", "e", "f"}
	sessions := []string{"program/p", "program/q"}
	outcomes := []string{"complete", "complete", "cut", "not_run", "unsaved", "unknown"}
	command := Command{Session: sessions[random.IntN(len(sessions))], Now: now, Retention: time.Minute, Producer: names[random.IntN(len(names))], KeepData: random.IntN(2) == 0}
	if random.IntN(2) == 0 {
		command.Data = []byte("data of " + command.Producer)
	}
	switch random.IntN(5) {
	case 0:
		command.Kind = AckArchived
		command.Acks = []Ack{{Session: command.Session, ArchivedSeq: uint64(random.IntN(10))}}
	case 1, 2:
		command.Kind, command.ProducerSeq, command.Outcome, command.Tokens = EndTurn, endProducerSeq, outcomes[random.IntN(len(outcomes))], uint64(random.IntN(20))
	default:
		command.Kind, command.ProducerSeq, command.Dispatch = BeginTurn, beginProducerSeq, fmt.Sprint("dispatch-", random.IntN(2))
		command.Follows, command.Lifetime = names[random.IntN(len(names))], 20*time.Second
		command.HasQuota, command.Quota, command.Tokens = random.IntN(2) == 0, 60, uint64(random.IntN(50))
		if command.Follows != "" && random.IntN(4) == 0 {
			command.Adopted = []AdoptedTurn{{Name: "a", Data: command.Data}, {Name: command.Follows}}
		}
	}
	return command
}

// describeContent describes all that a snapshot of a view holds of sessions and turns.
func describeContent(view *View) string {
	snapshot := view.Snapshot()
	lines := []string{}
	for _, session := range snapshot.Sessions {
		lines = append(lines, fmt.Sprintln("session", session.Name, session.CreatedAt, session.Retention, session.UpdatedAt, session.Head, session.ArchivedSeq, session.RetainUntil, session.Spent, session.Reserved, session.Turns))
		for _, event := range session.Unarchived {
			lines = append(lines, fmt.Sprintln("event", session.Name, event.Seq, event.At, event.Kind, event.Run, event.Follows, event.Outcome, event.Dispatch, event.Name, event.Part, event.Producer, event.ProducerSeq, event.Deadline, string(event.Data)))
		}
	}
	for _, turn := range snapshot.Turns {
		lines = append(lines, fmt.Sprintln("turn", turn.Session, turn.Name, turn.Seq, turn.EndSeq, turn.Follows, turn.Outcome, turn.Dispatch, turn.Deadline, turn.Tokens))
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}

// TestCommandsHaveTheResultsOfTheEarlierVersion guards against replicas of one group that differ while
// a fleet is upgraded: the same commands must have the same results and content on both versions.
func TestCommandsHaveTheResultsOfTheEarlierVersion(t *testing.T) {
	digest := sha256.New()
	statuses := map[Status]int{}
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		machine := NewStateMachine()
		now := int64(0)
		for range 200 {
			now += random.Int64N(int64(2 * time.Second))
			command := randomTurnCommand(random, now)
			result := machine.Apply(&command)
			statuses[result.Status]++
			fmt.Fprintln(digest, result.Status, result.Seq, result.Head, result.Deduped, result.Spent, result.Reserved)
			if random.IntN(20) == 0 {
				if err := machine.Restore(machine.View().Snapshot()); err != nil {
					t.Fatal(err)
				}
			}
		}
		fmt.Fprint(digest, describeContent(machine.View()))
	}
	if got := hex.EncodeToString(digest.Sum(nil)); got != resultsOfEarlierVersion {
		t.Errorf("the results differ from those of the earlier version: digest %s", got)
	}
	for _, status := range []Status{Done, TurnClosed, QuotaExceeded, BadCommand, UnknownTurn, TurnOpen, TurnIncomplete, TurnTaken} {
		if statuses[status] < 20 {
			t.Errorf("status %d occurred only %d times", status, statuses[status])
		}
	}
}
