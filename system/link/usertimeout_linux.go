package link

import (
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 18

// setUserTimeout sets TCP_USER_TIMEOUT, which has a resolution of milliseconds.
func setUserTimeout(descriptor int, timeout time.Duration) error {
	return syscall.SetsockoptInt(descriptor, syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
}
