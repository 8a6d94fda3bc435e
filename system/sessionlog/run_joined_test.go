package sessionlog

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// appendsOfEarlierVersion is the digest of the results and the content that random appends, some of them
// of events of the kind RunJoined, led to before that kind was known.
const appendsOfEarlierVersion = "007f9f9c27a1bdf11b263f55c184d1def46b3e18f34ca8bf7964c7a0ef26b9f5"

// TestRunJoinedIsAppliedAsByTheEarlierVersion guards against replicas of one group that differ while a
// fleet is upgraded: a version that does not know the kind RunJoined must append its events alike.
func TestRunJoinedIsAppliedAsByTheEarlierVersion(t *testing.T) {
	digest := sha256.New()
	statuses := map[Status]int{}
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 2))
		machine := NewStateMachine()
		now := int64(0)
		for range 100 {
			now += random.Int64N(int64(time.Second))
			session := fmt.Sprint("operation/", random.IntN(6))
			machine.Apply(&Command{Kind: CreateSession, Session: session, Now: now, Retention: time.Minute})
			event := Event{Kind: []EventKind{TurnBegun, TurnEnded, Fenced, RunJoined}[random.IntN(4)], Run: uint64(random.IntN(3)), Name: "records", Outcome: OutcomeNotRun}
			command := Command{Kind: AppendEvent, Session: session, Now: now, Producer: fmt.Sprint("attempt/", random.IntN(2)), ProducerSeq: uint64(1 + random.IntN(3)), Events: []Event{event}}
			result := machine.Apply(&command)
			statuses[result.Status]++
			fmt.Fprintln(digest, result.Status, result.Seq, result.Head, result.Deduped)
			if random.IntN(20) == 0 {
				if err := machine.Restore(machine.View().Snapshot()); err != nil {
					t.Fatal(err)
				}
			}
		}
		fmt.Fprint(digest, describeContent(machine.View()))
	}
	if got := hex.EncodeToString(digest.Sum(nil)); got != appendsOfEarlierVersion {
		t.Errorf("the results differ from those of the earlier version: digest %s", got)
	}
	for _, status := range []Status{Done, TurnClosed, StaleProducer} {
		if statuses[status] < 20 {
			t.Errorf("status %d occurred only %d times", status, statuses[status])
		}
	}
}
