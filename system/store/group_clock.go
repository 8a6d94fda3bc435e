package store

import "time"

// clockAnchor relates a group's clock to this process's monotonic clock.
type clockAnchor struct {
	clock int64
	at    time.Time
}

// clock returns a group's time in Unix nanoseconds: its value when this process first read it,
// advanced by the monotonic time since then. Wall clocks may be wrong by hours and may jump, so
// only the first command of a group takes its time from one. A group's clock stands still while
// no process advances it, so it may fall behind but never runs ahead, and no retention or
// deadline ends early. It is 0 if this node has no replica of the group.
func (node *Node) clock(group uint32) int64 {
	machine := node.stateMachine(group)
	if machine == nil {
		return 0
	}
	applied := machine.View().Clock()
	if applied == 0 {
		return node.settings.WallClock().UnixNano()
	}
	anchored, _ := node.clockAnchors.LoadOrStore(group, clockAnchor{clock: applied, at: time.Now()})
	anchor := anchored.(clockAnchor)
	return max(applied, anchor.clock+int64(time.Since(anchor.at)))
}
