package sharedprefix

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// randomText returns pseudorandom text of a given length, determined by the seed.
func randomText(seed uint64, length int) string {
	random, builder := rand.New(rand.NewPCG(seed, 1)), &strings.Builder{}
	for builder.Len() < length {
		fmt.Fprintf(builder, "word%d ", random.IntN(100000))
	}
	return builder.String()[:length]
}

func TestPrefixSharedByMinSessionsIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		detector, commonPrefix := &Detector{}, randomText(1, 2560)
		input := func(number uint64) []byte { return []byte(commonPrefix + randomText(100+number, 900)) }
		for position, step := range []struct {
			group          uint32
			scope, session string
			seed           uint64
			found          bool
		}{
			{1, "identity", "a", 1, false},
			{1, "identity", "a", 2, false}, // a session counts once
			{1, "identity", "b", 3, false},
			{1, "permits", "c", 4, false}, // another scope is counted separately
			{2, "identity", "c", 5, false},
			{1, "", "c", 6, false},
			{1, "identity", "c", 7, true},
			{1, "identity", "d", 8, false}, // reported within reportInterval
		} {
			candidate, found := detector.Observe(step.group, step.scope, step.session, input(step.seed))
			if found != step.found {
				t.Fatalf("step %d: got %+v, found %t", position, candidate, found)
			}
			if found && (candidate.Length > len(commonPrefix) || candidate.Length < len(commonPrefix)-maxChunkBytes || len(candidate.Sessions) != minSessions) {
				t.Fatalf("step %d: got %+v, common prefix has %d bytes", position, candidate, len(commonPrefix))
			}
		}
		time.Sleep(reportInterval)
		if candidate, found := detector.Observe(1, "identity", "e", input(9)); !found || len(candidate.Sessions) != minSessions || candidate.Sessions[minSessions-1] != "e" {
			t.Fatalf("candidate was not reported again after reportInterval: %+v", candidate)
		}
	})
}

func TestInputsWithoutCommonPrefixAreNotDetected(t *testing.T) {
	detector := &Detector{}
	for number := range uint64(50) {
		name := fmt.Sprint(number)
		for _, input := range []string{"", "short", randomText(1000+number, 3000), randomText(1, 255)} {
			if candidate, found := detector.Observe(1, "identity", name, []byte(input)); found {
				t.Fatalf("unexpected candidate %+v", candidate)
			}
		}
	}
}

func TestTrackedPrefixesAreBounded(t *testing.T) {
	detector := &Detector{}
	for number := range uint64(2000) {
		detector.Observe(1, "identity", fmt.Sprint(number), []byte(randomText(number, 3000)))
	}
	if len(detector.seen) > maxTrackedPrefixes+1000 {
		t.Fatalf("%d prefixes are tracked", len(detector.seen))
	}
}

func BenchmarkObserve(b *testing.B) {
	detector, commonPrefix := &Detector{}, randomText(1, 2560)
	inputs := [][]byte{}
	for number := range uint64(64) {
		inputs = append(inputs, []byte(commonPrefix+randomText(100+number, 1500)))
	}
	for number := range b.N {
		detector.Observe(1, "identity", "program/x", inputs[number%64])
	}
}
