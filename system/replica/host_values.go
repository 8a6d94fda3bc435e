package replica

import (
	"context"

	"yardrock.example/system/durablelog"
)

// StoredValue returns the value last stored under a key, by this process or an earlier one, or
// nil. Values belong to the node; they are not replicated.
func (host *Host) StoredValue(key uint32) []byte {
	var data []byte
	host.runOnLoop(func() { data = host.values[key] })
	return data
}

// StoreValue stores a value under a key, in place of the one before, and returns once it is
// durable. The data must not be changed afterwards. If ctx ends before, or the host stops, the
// error is OutcomeUnknown.
func (host *Host) StoreValue(ctx context.Context, key uint32, data []byte) error {
	durable := make(chan struct{})
	running := host.runOnLoop(func() {
		host.values[key] = data
		host.pendingRecords = append(host.pendingRecords, durablelog.Record{Group: key, Kind: recordValue, Data: data})
		host.pendingCallbacks = append(host.pendingCallbacks, func() { close(durable) })
	})
	if !running {
		return outcomeUnknown()
	}
	select {
	case <-durable:
		return nil
	case <-ctx.Done():
		return outcomeUnknown()
	case <-host.stopped:
		return outcomeUnknown()
	}
}
