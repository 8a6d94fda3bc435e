package taskgroup

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestWaitEndsWithTheLastTask includes a task that starts during the wait.
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
		if elapsed := time.Since(startedAt); elapsed != 2500*time.Millisecond {
			t.Fatalf("waited %s, want 2.5s", elapsed)
		}
		group.Go(func() { time.Sleep(time.Second) }) // starts after the group was idle
		group.Wait(t.Context())
		if elapsed := time.Since(startedAt); elapsed != 3500*time.Millisecond {
			t.Fatalf("waited %s in all, want 3.5s", elapsed)
		}
	})
}

// TestWaitEndsWithItsContext cancels the wait while a task is still running.
func TestWaitEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group Group
		group.Go(func() { time.Sleep(time.Minute) })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		defer group.Close()
		startedAt := time.Now()
		group.Wait(ctx)
		if elapsed := time.Since(startedAt); elapsed != time.Second {
			t.Fatalf("waited %s, want 1s", elapsed)
		}
	})
}

// TestClosedGroupTakesNoTask also checks that Close waits for running tasks.
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
			t.Fatal("Close returned while a task was running")
		}
		group.Go(func() { t.Error("a closed group ran a task") })
		synctest.Wait()
	})
}
