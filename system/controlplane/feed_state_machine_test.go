package controlplane

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/raft"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// snapshotSlack bounds the size of a snapshot beyond the current config, regardless of the
// number of changes: both parts of the history are bounded.
const snapshotSlack = 2 << 20

func TestSnapshotSizeDependsOnCurrentConfig(t *testing.T) {
	for _, test := range []struct{ routes, changes int }{{8, 600}, {300, 20}, {300, 600}} {
		machine := newFeedStateMachine()
		logged := applyRouteChanges(t, machine, test.routes, test.changes)
		view := machine.state().view
		config := len(view.Compiled) + len(view.Source)
		if snapshot := machine.Snapshot()(); len(snapshot) > config+snapshotSlack {
			t.Errorf("%d changes of %d routes: snapshot of %d bytes for a config of %d bytes", test.changes, test.routes, len(snapshot), config)
		}
		if limit := 2*config + test.changes*2048; logged > limit {
			t.Errorf("%d changes of %d routes: log entries of %d bytes, limit %d", test.changes, test.routes, logged, limit)
		}
	}
}

func TestSnapshotSizeIsBoundedForLargeConfigs(t *testing.T) {
	random, machine := rand.New(rand.NewPCG(1, 2)), newFeedStateMachine()
	const size = 600 << 10
	for range 12 {
		compiled := make([]byte, size)
		for at := range compiled {
			compiled[at] = byte(random.Uint32())
		}
		view := machine.state().view
		applyChange(t, machine, compactForLog(view, feed.Change{Kind: feed.ChangeConfig, Expects: true, Expected: view.ConfigNumber, Compiled: compiled}))
	}
	if snapshot := machine.Snapshot()(); len(snapshot) > 2*size+snapshotSlack {
		t.Errorf("snapshot of %d bytes for a config of %d bytes", len(snapshot), size)
	}
}

func TestSnapshotRoundTrip(t *testing.T) {
	machine, restored := newFeedStateMachine(), newFeedStateMachine()
	applyRouteChanges(t, machine, 20, 50)
	if err := restored.Restore(machine.Snapshot()()); err != nil {
		t.Fatal(err)
	}
	before, after := machine.state(), restored.state()
	if after.newestCommand != before.newestCommand || after.view.Number != before.view.Number || !bytes.Equal(after.view.Compiled, before.view.Compiled) {
		t.Errorf("number %d, newest command %d; restored %d, %d", before.view.Number, before.newestCommand, after.view.Number, after.newestCommand)
	}
	for number := range before.view.Number {
		source, compiled, kept, err := before.history.ConfigAt(before.view, number)
		restoredSource, restoredCompiled, restoredKept, restoredErr := after.history.ConfigAt(after.view, number)
		if err != nil || restoredErr != nil || kept != restoredKept || source != restoredSource || !bytes.Equal(compiled, restoredCompiled) {
			t.Errorf("config %d: %v, %v", number, err, restoredErr)
		}
		changes, complete := before.history.Since(before.view, number)
		restoredChanges, restoredComplete := after.history.Since(after.view, number)
		if complete != restoredComplete || len(changes) != len(restoredChanges) {
			t.Errorf("changes since %d: %d, restored %d", number, len(changes), len(restoredChanges))
		}
	}
}

// TestRestoreReadsFirstSnapshotFormat covers snapshots of older versions, on disk or from a peer:
// an unpacked view, and changes with full configs.
func TestRestoreReadsFirstSnapshotFormat(t *testing.T) {
	snapshot := wire.ControlSnapshot{Version: fullConfigsFormat}
	for number := range uint64(30) {
		change := feed.Change{Number: number + 1, Kind: feed.ChangeConfig, By: "root", Source: fmt.Sprint("source ", number), Compiled: bytes.Repeat([]byte{byte(number)}, 500)}
		view, err := feed.Fold(snapshot.View, change)
		if err != nil {
			t.Fatal(err)
		}
		snapshot.View, snapshot.Changes = view, append(snapshot.Changes, change)
	}
	machine := newFeedStateMachine()
	if err := machine.Restore(wire.MustEncode(schema.ControlImage_TypeID, &snapshot)); err != nil {
		t.Fatal(err)
	}
	state := machine.state()
	if state.view.Number != 30 || state.newestCommand != 30 || state.view.Source != snapshot.View.Source || !bytes.Equal(state.view.Compiled, snapshot.View.Compiled) {
		t.Errorf("%+v", state.view)
	}
	for _, change := range snapshot.Changes[1:] {
		if source, compiled, kept, err := state.history.ConfigAt(state.view, change.Number); err != nil || !kept || source != change.Source || !bytes.Equal(compiled, change.Compiled) {
			t.Errorf("config %d: kept %v, %v", change.Number, kept, err)
		}
	}
}

// TestApplyAcceptsFullConfigs covers full configs, as in log entries of older versions or without
// an expected number: they lead to the same state as deltas.
func TestApplyAcceptsFullConfigs(t *testing.T) {
	full, deltas := newFeedStateMachine(), newFeedStateMachine()
	for number := range 20 {
		compiled := bytes.Repeat([]byte(fmt.Sprintf(`{"route":%d}`, number/3)), 100)
		view := full.state().view
		change := feed.Change{Kind: feed.ChangeConfig, Expects: true, Expected: view.ConfigNumber, Source: "a", Compiled: compiled}
		applyChange(t, full, change)
		applyChange(t, deltas, compactForLog(deltas.state().view, change))
	}
	if left, right := full.state(), deltas.state(); !reflect.DeepEqual(left.view, right.view) || len(left.history.Changes) != len(right.history.Changes) {
		t.Errorf("%+v\n%+v", left.view, right.view)
	}
}

// TestApplyRejectsDeltaOnConfigOfSameLength uses a base that differs in one bit, which only the
// digest of the result detects.
func TestApplyRejectsDeltaOnConfigOfSameLength(t *testing.T) {
	machine := newFeedStateMachine()
	applyRouteChanges(t, machine, 50, 3)
	before := machine.state().view
	base := *before
	base.Compiled = bytes.Clone(base.Compiled)
	base.Compiled[len(base.Compiled)/2] ^= 1
	change := feed.Change{Kind: feed.ChangeConfig, Expects: true, Expected: 3, Compiled: append([]byte(" "), base.Compiled...)}.Compact(&base)
	if change.Delta.IsZero() {
		t.Fatal("the change was not encoded as a delta")
	}
	outcome := machine.Apply(raft.Entry{Data: wire.MustEncode(schema.Change_TypeID, &change)}).(changeOutcome)
	if !apierror.Is(outcome.err, apierror.Conflict) || machine.state().view != before {
		t.Errorf("%v, number %d", outcome.err, machine.state().view.Number)
	}
}

func TestApplyRejectsDeltaOnAnotherConfig(t *testing.T) {
	machine, other := newFeedStateMachine(), newFeedStateMachine()
	applyRouteChanges(t, machine, 5, 3)
	applyRouteChanges(t, other, 6, 3) // the same numbers with different content
	base := other.state().view
	change := compactForLog(base, feed.Change{Kind: feed.ChangeConfig, Expects: true, Expected: 3, Compiled: append([]byte(" "), base.Compiled...)})
	before := machine.state().view
	outcome := machine.Apply(raft.Entry{Data: wire.MustEncode(schema.Change_TypeID, &change)}).(changeOutcome)
	if !apierror.Is(outcome.err, apierror.Conflict) || machine.state().view != before {
		t.Errorf("%v, number %d", outcome.err, machine.state().view.Number)
	}
}
