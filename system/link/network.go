package link

import (
	"context"
	"net"
	"syscall"
	"time"
)

// Network is how processes reach each other. Tests replace it.
type Network interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
	Listen(address string) (net.Listener, error)
}

// TCP is the network of the operating system. Its zero value is usable.
type TCP struct {
	// LocalIP is the address that connections are dialled from; "" leaves it to the system.
	LocalIP string
	// ListenAddresses has, for addresses that others reach through a proxy or translation, the
	// address to listen at instead.
	ListenAddresses map[string]string
	// UserTimeout is how long sent data or keep-alive probes may stay unacknowledged by the
	// other system before a dialled connection is closed (RFC 5482), as a network partition or
	// a power failure gives no other sign. 0 leaves it to the system, which waits for minutes.
	// It is not set on accepted connections: some systems also count the time in which the
	// peer's receive window is full.
	UserTimeout time.Duration
}

// keepAliveConfig probes idle connections, so that UserTimeout applies to them as well.
func (network TCP) keepAliveConfig() net.KeepAliveConfig {
	if network.UserTimeout <= 0 {
		return net.KeepAliveConfig{}
	}
	return net.KeepAliveConfig{Enable: true, Idle: max(network.UserTimeout/2, time.Second), Interval: time.Second, Count: max(1, int(network.UserTimeout/time.Second))}
}

// setSocketOptions sets UserTimeout. A system that lacks the option connects all the same, as it
// does with the options of keep-alive.
func (network TCP) setSocketOptions(_, _ string, socket syscall.RawConn) error {
	if network.UserTimeout <= 0 {
		return nil
	}
	return socket.Control(func(descriptor uintptr) { _ = setUserTimeout(int(descriptor), network.UserTimeout) })
}

// Dial connects to an IP and port.
//
//	connection, err := link.TCP{}.Dial(ctx, "127.0.0.1:7000")
func (network TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{Control: network.setSocketOptions, KeepAliveConfig: network.keepAliveConfig()}
	if from := net.ParseIP(network.LocalIP); from != nil && !from.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: from}
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// Listen listens at an IP and port, or at what ListenAddresses has for them.
//
//	listener, err := link.TCP{}.Listen("127.0.0.1:7000")
func (network TCP) Listen(address string) (net.Listener, error) {
	if other, found := network.ListenAddresses[address]; found {
		address = other
	}
	return net.Listen("tcp", address)
}
