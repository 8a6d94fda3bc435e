package store

import "testing"

// isWoken reports whether a tail reader has been woken.
func isWoken(woken <-chan struct{}) bool {
	select {
	case <-woken:
		return true
	default:
		return false
	}
}

// TestTailWaiterIsRemovedWithLastReader guards against tailWaiters entries that leak when readers
// give up, and against removing the entry of readers that are still waiting.
func TestTailWaiterIsRemovedWithLastReader(t *testing.T) {
	node := &Node{tailWaiters: map[string]*tailWaiter{}}
	first, leaveFirst := node.joinTail("team/c-1")
	second, leaveSecond := node.joinTail("team/c-1")
	leaveFirst()
	if len(node.tailWaiters) != 1 || isWoken(second) {
		t.Fatal("the second reader lost its waiter when the first left")
	}
	leaveSecond()
	if len(node.tailWaiters) != 0 || isWoken(first) {
		t.Fatalf("%d entries are left", len(node.tailWaiters))
	}
	third, leaveThird := node.joinTail("team/c-1")
	node.wakeTailReaders("team/c-1")
	fourth, leaveFourth := node.joinTail("team/c-1")
	leaveThird() // must not remove the fourth reader's waiter
	if !isWoken(third) || isWoken(fourth) || len(node.tailWaiters) != 1 {
		t.Fatal("a woken reader removed the waiter of the next one")
	}
	node.wakeTailReaders("team/c-1")
	if !isWoken(fourth) {
		t.Fatal("the fourth reader was not woken")
	}
	leaveFourth()
	if len(node.tailWaiters) != 0 {
		t.Fatalf("%d entries are left", len(node.tailWaiters))
	}
}
