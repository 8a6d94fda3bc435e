package replica

import (
	"context"

	"yardrock.example/system/durablelog"
)

// StoredValue returns the value last stored under a key, by this process or an earlier one, or
// nil if there is none. Values are local to the node and not replicated.
func (host *Host) StoredValue(key uint32) []byte {
	var data []byte
	host.runOnLoop(func() { data = host.values[key] })
	return data
}

// StoreValue sets the value of a key and returns once it is durable. The data must not be
// modified afterwards. If ctx ends or the host stops before that, the error is OutcomeUnknown.
func (host *Host) StoreValue(ctx context.Context, key uint32, data []byte) error {
	durable := make(chan struct{})
	running := host.runOnLoop(func() {
		host.values[key] = data
		host.pendingRecords = append(host.pendingRecords, durablelog.Record{Group: key, Kind: recordValue, Data: data})
		host.pendingCallbacks = append(host.pendingCallbacks, func() { close(durable) })
	})
	if !running {
		return outcomeUnknownError()
	}
	select {
	case <-durable:
		return nil
	case <-ctx.Done():
		return outcomeUnknownError()
	case <-host.stopped:
		return outcomeUnknownError()
	}
}
