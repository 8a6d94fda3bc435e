package store

import "testing"

// isWoken reports whether a tail reader would read again.
func isWoken(woken <-chan struct{}) bool {
	select {
	case <-woken:
		return true
	default:
		return false
	}
}

// TestTailReadersLeaveNothingBehind: a reader that gives up, or finds that the node does not
// lead, must not leave an entry for its session.
func TestTailReadersLeaveNothingBehind(t *testing.T) {
	node := &Node{tailWaiters: map[string]*tailWaiter{}}
	first, leaveFirst := node.joinTail("team/c-1")
	second, leaveSecond := node.joinTail("team/c-1")
	leaveFirst()
	if len(node.tailWaiters) != 1 || isWoken(second) {
		t.Fatal("the second reader lost its place with the first")
	}
	leaveSecond()
	if len(node.tailWaiters) != 0 || isWoken(first) {
		t.Fatalf("%d entries are left", len(node.tailWaiters))
	}
	third, leaveThird := node.joinTail("team/c-1")
	node.wakeTailReaders("team/c-1")
	fourth, leaveFourth := node.joinTail("team/c-1")
	leaveThird() // must not take the place of the fourth
	if !isWoken(third) || isWoken(fourth) || len(node.tailWaiters) != 1 {
		t.Fatal("a reader that was woken took the place of the next one")
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
