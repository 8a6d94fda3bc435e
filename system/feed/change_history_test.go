package feed

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// randomText returns random text, which a delta cannot compress.
func randomText(random *rand.Rand, size int) []byte {
	data := make([]byte, size)
	for at := range data {
		data[at] = byte('!' + random.IntN(90))
	}
	return data
}

// configChange returns a config change with the number after that of the view.
func configChange(view *View, compiled []byte) Change {
	return Change{Number: view.Number + 1, Kind: ChangeConfig, Source: fmt.Sprint("config ", view.Number), Compiled: compiled}
}

// totalSizes returns the estimated sizes in bytes of the changes and of the earlier configs.
func (history History) totalSizes() (changes, earlier int) {
	for _, change := range history.Changes {
		changes += change.size()
	}
	for _, config := range history.Earlier {
		earlier += config.size()
	}
	return changes, earlier
}

// growHistory makes consecutive config changes. It returns the views after each, preceded by the
// empty view, and the final history.
func growHistory(t *testing.T, changes int, next func(compiled []byte) []byte) ([]View, History) {
	t.Helper()
	views, history := []View{{}}, History{}
	for range changes {
		before := views[len(views)-1]
		change := configChange(&before, next(before.Compiled))
		after := fold(t, before, change)
		history = history.With(&before, &after, change)
		views = append(views, after)
	}
	return views, history
}

func TestHistoryIsBoundedByBytes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	base := randomText(random, 20<<10)
	for name, test := range map[string]struct {
		changes int
		next    func(compiled []byte) []byte
		kept    int
	}{
		"small deltas":          {700, func([]byte) []byte { return bytes.Replace(base, base[:100], randomText(random, 100), 1) }, 300},
		"unrelated content":     {30, func([]byte) []byte { return randomText(random, 200<<10) }, 4},
		"larger than its limit": {4, func([]byte) []byte { return randomText(random, 2*maxChangesBytes) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			views, history := growHistory(t, test.changes, test.next)
			changes, earlier := history.totalSizes()
			if changes > maxChangesBytes || earlier > maxEarlierBytes || len(history.Changes) > maxChanges {
				t.Errorf("limit exceeded: %d changes of %d bytes, earlier configs of %d bytes", len(history.Changes), changes, earlier)
			}
			if len(history.Changes) < test.kept || len(history.Earlier) < test.kept {
				t.Errorf("kept only %d changes and %d earlier configs", len(history.Changes), len(history.Earlier))
			}
			newest := views[len(views)-1]
			for at := 0; at < len(views); at += 1 + len(views)/8 {
				checkHistory(t, history, &newest, &views[at])
			}
		})
	}
}

// checkHistory checks that a history leads from an earlier view to the newest one, and that it
// restores the config of the earlier view.
func checkHistory(t *testing.T, history History, newest, view *View) {
	t.Helper()
	if changes, complete := history.Since(newest, view.Number); complete {
		reached, err := FoldAll(*view, changes)
		if err != nil || reached.Number != newest.Number || reached.Source != newest.Source || !bytes.Equal(reached.Compiled, newest.Compiled) {
			t.Fatalf("catch up from %d to %d: %v, reached %d", view.Number, newest.Number, err, reached.Number)
		}
	}
	source, compiled, kept, err := history.ConfigAt(newest, view.ConfigNumber)
	if err != nil || (kept && (source != view.Source || !bytes.Equal(compiled, view.Compiled))) {
		t.Fatalf("restore config %d: %v, %d bytes", view.ConfigNumber, err, len(compiled))
	}
}

func TestConfigDeltaIsRejectedOnAnotherBase(t *testing.T) {
	base := View{Number: 4, ConfigNumber: 4, Source: "a", Compiled: []byte(strings.Repeat("abcdefgh", 100))}
	change := configChange(&base, append([]byte("new"), base.Compiled...)).Compact(&base)
	if change.Delta.IsZero() || len(change.Compiled) > 0 {
		t.Fatalf("change was not compacted: %+v", change)
	}
	other, older := base, base
	other.Compiled = []byte(strings.Repeat("abcdefgX", 100))
	older.ConfigNumber = 3
	for name, view := range map[string]View{"other config with the base's number": other, "older config": older} {
		next, err := FoldAll(view, []Change{change})
		if !errors.Is(err, ErrBaseMismatch) || next.Number != view.Number || !bytes.Equal(next.Compiled, view.Compiled) {
			t.Errorf("%s: error %v, view number %d", name, err, next.Number)
		}
	}
	change.Number++
	if _, err := FoldAll(base, []Change{change}); !errors.Is(err, ErrGap) {
		t.Errorf("gap: got %v, want ErrGap", err)
	}
}

func TestHistoryFromFullConfigsOfOlderVersions(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	full, views := []Change{}, []View{{}}
	for range 20 {
		before := views[len(views)-1]
		change := configChange(&before, randomText(random, 100))
		full, views = append(full, change), append(views, fold(t, before, change))
	}
	newest, history := views[len(views)-1], HistoryFromFullConfigs(full)
	if len(history.Changes) < 19 || len(history.Earlier) < 19 {
		t.Errorf("converted only %d changes and %d earlier configs", len(history.Changes), len(history.Earlier))
	}
	for _, view := range views {
		checkHistory(t, history, &newest, &view)
	}
}
