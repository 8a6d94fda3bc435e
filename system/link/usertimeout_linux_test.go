package link

import (
	"net"
	"syscall"
	"testing"
	"time"
)

func TestDialledConnectionHasUserTimeout(t *testing.T) {
	listener, err := TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	// Values are the user timeout in ms, keep-alive on, idle seconds (rounded up)
	// and probe count; -1 is not checked.
	for timeout, want := range map[time.Duration][4]int{0: {0, 1, -1, -1}, 500 * time.Millisecond: {500, 1, 1, 1}, 2500 * time.Millisecond: {2500, 1, 2, 2}, 6 * time.Second: {6000, 1, 3, 6}} {
		dialled, err := TCP{UserTimeout: timeout}.Dial(t.Context(), listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		raw, err := dialled.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		got := [4]int{}
		raw.Control(func(descriptor uintptr) {
			for index, option := range [4][2]int{{syscall.IPPROTO_TCP, tcpUserTimeout}, {syscall.SOL_SOCKET, syscall.SO_KEEPALIVE}, {syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE}, {syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT}} {
				got[index], _ = syscall.GetsockoptInt(int(descriptor), option[0], option[1])
			}
		})
		for index := range want {
			if want[index] >= 0 && got[index] != want[index] {
				t.Errorf("timeout %v: got options %v, want %v", timeout, got, want)
			}
		}
		dialled.Close()
	}
}
