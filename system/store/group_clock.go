package store

import "time"

// clockAnchor ties a group's clock to this process's monotonic clock.
type clockAnchor struct {
	clock int64
	at    time.Time
}

// clock returns a group's time in nanoseconds since 1970: what it was when this process first
// saw it, carried on by the monotonic time since. The wall clocks of machines may be wrong by
// hours and jump; only the first command that a group ever gets takes its time from one. So a
// group's clock may fall behind, by the time in which nobody was there to carry it on, but it
// never runs ahead: no retention or deadline ends early. It is 0 if no replica is here.
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
