package link

import (
	"os"
	"syscall"
	"time"
)

// userTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
const userTimeout = 18

func setSilence(descriptor int, silence time.Duration) error {
	return os.NewSyscallError("setsockopt", syscall.SetsockoptInt(descriptor, syscall.IPPROTO_TCP, userTimeout, int(silence.Milliseconds())))
}
