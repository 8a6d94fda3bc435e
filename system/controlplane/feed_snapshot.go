package controlplane

import (
	"bytes"
	"fmt"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// The formats of the control group's snapshots.
const (
	controlSnapshotFormat = 2 // current: a packed view, and changes with config deltas
	fullConfigsFormat     = 1 // an unpacked view, and changes with full configs
)

// encodeControlSnapshot encodes a snapshot of the control group in the current format.
func encodeControlSnapshot(view *feed.View, history feed.History) []byte {
	return wire.MustEncode(schema.ControlImage_TypeID, &wire.ControlSnapshot{
		Version: controlSnapshotFormat, PackedView: wire.PackView(view), Changes: history.Changes, EarlierConfigs: history.Earlier,
	})
}

// Snapshot captures the current state and returns a function that encodes it, which may be
// called later and from another goroutine.
func (machine *feedStateMachine) Snapshot() func() []byte {
	state := machine.state()
	return func() []byte { return encodeControlSnapshot(state.view, state.history) }
}

// Restore replaces the state with that of a snapshot. It fails with FormatTooNew if a newer
// version of the program wrote the snapshot.
func (machine *feedStateMachine) Restore(data []byte) error {
	var snapshot wire.ControlSnapshot
	if err := wire.Decode(schema.ControlImage_TypeID, data, &snapshot); err != nil {
		return err
	}
	if snapshot.Version > controlSnapshotFormat {
		return apierror.New(apierror.FormatTooNew, fmt.Sprintf("control snapshot has unsupported format %d", snapshot.Version), "run the newer version of the program")
	}
	next, err := stateFromSnapshot(&snapshot)
	if err != nil {
		return err
	}
	machine.publish(next)
	return nil
}

// stateFromSnapshot returns the state of a snapshot in any supported format.
func stateFromSnapshot(snapshot *wire.ControlSnapshot) (*feedState, error) {
	view, history := &snapshot.View, feed.History{Changes: snapshot.Changes, Earlier: snapshot.EarlierConfigs}
	if snapshot.Version <= fullConfigsFormat {
		history = feed.HistoryFromFullConfigs(snapshot.Changes)
		view.Compiled = bytes.Clone(view.Compiled) // otherwise it would keep the whole snapshot in memory
	} else {
		unpacked, err := wire.UnpackView(snapshot.PackedView)
		if err != nil {
			return nil, err
		}
		view = unpacked
	}
	return &feedState{view: view, history: history, newestCommand: history.NewestCommand(view)}, nil
}
