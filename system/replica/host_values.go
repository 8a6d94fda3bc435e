package replica

import (
	"context"

	"yardrock.example/system/durablelog"
)

// StoredValue gives the last value pinned under a number, as found on disk.
//
//	data := host.StoredValue(feedPin)
func (host *Host) StoredValue(key uint32) []byte {
	var data []byte
	host.runOnLoop(func() { data = host.values[key] })
	return data
}

// StoreValue stores the last value under a number, beside the groups, and returns once
// it lasts.
//
//	err := host.StoreValue(ctx, feedPin, data)
func (host *Host) StoreValue(ctx context.Context, key uint32, data []byte) error {
	done := make(chan struct{})
	running := host.runOnLoop(func() {
		host.values[key] = data
		host.pendingRecords = append(host.pendingRecords, durablelog.Record{Group: key, Kind: recordValue, Data: data})
		host.pendingCallbacks = append(host.pendingCallbacks, func() { close(done) })
	})
	if !running {
		return outcomeUnknown()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return outcomeUnknown()
	case <-host.stopped:
		return outcomeUnknown()
	}
}
