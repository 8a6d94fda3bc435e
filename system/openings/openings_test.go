package openings

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// prose makes text of some length that a seed alone decides.
func prose(seed uint64, length int) string {
	random, made := rand.New(rand.NewPCG(seed, 1)), &strings.Builder{}
	for made.Len() < length {
		fmt.Fprintf(made, "word%d ", random.IntN(100000))
	}
	return made.String()[:length]
}

func TestABeginningThatEnoughLinesHaveIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		noticer, head := &Noticer{}, prose(1, 2560)
		input := func(number uint64) []byte { return []byte(head + prose(100+number, 900)) }
		for position, step := range []struct {
			group       uint32
			scope, line string
			words       uint64
			found       bool
		}{
			{1, "identity", "a", 1, false},
			{1, "identity", "a", 2, false}, // the same line counts once
			{1, "identity", "b", 3, false},
			{1, "permits", "c", 4, false}, // another scope does not count
			{2, "identity", "c", 5, false},
			{1, "", "c", 6, false},
			{1, "identity", "c", 7, true},
			{1, "identity", "d", 8, false}, // told already
		} {
			common, found := noticer.Notice(step.group, step.scope, step.line, input(step.words))
			if found != step.found {
				t.Fatalf("step %d: %+v %t", position, common, found)
			}
			if found && (common.Length > len(head) || common.Length < len(head)-mostChunk || len(common.Lines) != Enough) {
				t.Fatalf("step %d: %+v of %d bytes", position, common, len(head))
			}
		}
		time.Sleep(tellAgain)
		if common, found := noticer.Notice(1, "identity", "e", input(9)); !found || len(common.Lines) != Enough || common.Lines[Enough-1] != "e" {
			t.Fatalf("it is not told again: %+v", common)
		}
	})
}

func TestWhatHasNothingInCommonIsNotNoticed(t *testing.T) {
	noticer := &Noticer{}
	for number := range uint64(50) {
		name := fmt.Sprint(number)
		for _, input := range []string{"", "short", prose(1000+number, 3000), prose(1, 255)} {
			if common, found := noticer.Notice(1, "identity", name, []byte(input)); found {
				t.Fatalf("%+v", common)
			}
		}
	}
}

func TestNoticedBeginningsAreBounded(t *testing.T) {
	noticer := &Noticer{}
	for number := range uint64(2000) {
		noticer.Notice(1, "identity", fmt.Sprint(number), []byte(prose(number, 3000)))
	}
	if len(noticer.seen) > mostSeen+1000 {
		t.Fatalf("%d are remembered", len(noticer.seen))
	}
}

func BenchmarkNotice(b *testing.B) {
	noticer, head := &Noticer{}, prose(1, 2560)
	inputs := [][]byte{}
	for number := range uint64(64) {
		inputs = append(inputs, []byte(head+prose(100+number, 1500)))
	}
	for number := range b.N {
		noticer.Notice(1, "identity", "program/x", inputs[number%64])
	}
}
