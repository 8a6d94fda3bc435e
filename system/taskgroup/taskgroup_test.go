package taskgroup

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestWaitEndsWithTheLastTask: also with one that starts while it waits.
func TestWaitEndsWithTheLastTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group Group
		group.Wait(t.Context()) // an empty group has nothing to wait for
		startedAt := time.Now()
		group.Go(func() { time.Sleep(time.Second) })
		group.Go(func() {
			time.Sleep(500 * time.Millisecond)
			group.Go(func() { time.Sleep(2 * time.Second) })
		})
		group.Wait(t.Context())
		if took := time.Since(startedAt); took != 2500*time.Millisecond {
			t.Fatalf("waited %s, want 2.5s", took)
		}
		group.Go(func() { time.Sleep(time.Second) }) // after it was idle
		group.Wait(t.Context())
		if took := time.Since(startedAt); took != 3500*time.Millisecond {
			t.Fatalf("waited %s in all, want 3.5s", took)
		}
	})
}

// TestWaitEndsWithItsContext while a task still runs.
func TestWaitEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group Group
		group.Go(func() { time.Sleep(time.Minute) })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		defer group.Close()
		startedAt := time.Now()
		group.Wait(ctx)
		if took := time.Since(startedAt); took != time.Second {
			t.Fatalf("waited %s, want 1s", took)
		}
	})
}

// TestClosedGroupTakesNoTask, and Close waits for those that run.
func TestClosedGroupTakesNoTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group Group
		var ended atomic.Bool
		group.Go(func() {
			time.Sleep(time.Second)
			ended.Store(true)
		})
		group.Close()
		if !ended.Load() {
			t.Fatal("Close returned while a task ran")
		}
		group.Go(func() { t.Error("a closed group ran a task") })
		synctest.Wait()
	})
}
