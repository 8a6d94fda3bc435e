//go:build !linux

package link

import "time"

// setUserTimeout does nothing on systems other than Linux. There only keep-alive probes detect
// a dead peer.
func setUserTimeout(int, time.Duration) error { return nil }
