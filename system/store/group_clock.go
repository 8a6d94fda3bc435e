package store

import (
	"time"
)

// clockAnchor ties a group's clock to this process's steady clock.
type clockAnchor struct {
	clock int64
	at    time.Time
}

// clock is a group's time, carried on from what it was when this process first saw
// it by the steady time that went by since. Walls of machines may be wrong by hours
// and jump; only the first command that a group ever gets takes its time from one.
// So a group's clock may fall behind, by what went by while nobody was there to
// carry it on, but never runs ahead: no keeping time or deadline ends early.
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
