//go:build !linux

package link

import "time"

// setUserTimeout does nothing where the option is not known; keep-alive probes alone find out
// there that the other side is gone.
func setUserTimeout(int, time.Duration) error { return nil }
