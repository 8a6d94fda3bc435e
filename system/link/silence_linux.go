package link

import (
	"syscall"
	"time"
)

// userTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
const userTimeout = 18

func setSilence(descriptor int, silence time.Duration) error {
	return syscall.SetsockoptInt(descriptor, syscall.IPPROTO_TCP, userTimeout, int(silence.Milliseconds()))
}
