package link

import (
	"context"
	"net"
	"syscall"
	"time"
)

// Network dials and listens. Tests replace it.
type Network interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
	Listen(address string) (net.Listener, error)
}

// TCP is the operating system's TCP network. Its zero value is usable.
type TCP struct {
	// LocalIP is the source address of dialled connections; "" leaves the choice to the
	// operating system.
	LocalIP string
	// ListenAddresses maps advertised addresses, which peers reach through a proxy or address
	// translation, to the local addresses to listen on.
	ListenAddresses map[string]string
	// UserTimeout is how long sent data or keep-alive probes may stay unacknowledged before a
	// dialled connection is closed (TCP_USER_TIMEOUT, RFC 5482). It detects network partitions
	// and power failures. 0 keeps the operating system's default, which is minutes. It is not
	// set on accepted connections, as some systems also count time during which the peer's
	// receive window is full.
	UserTimeout time.Duration
}

// keepAliveConfig enables probes of idle connections, so that UserTimeout applies to them too.
func (network TCP) keepAliveConfig() net.KeepAliveConfig {
	if network.UserTimeout <= 0 {
		return net.KeepAliveConfig{}
	}
	return net.KeepAliveConfig{Enable: true, Idle: max(network.UserTimeout/2, time.Second), Interval: time.Second, Count: max(1, int(network.UserTimeout/time.Second))}
}

// setSocketOptions sets TCP_USER_TIMEOUT. An error is ignored: the connection is usable without
// the option, as it is without keep-alive.
func (network TCP) setSocketOptions(_, _ string, socket syscall.RawConn) error {
	if network.UserTimeout <= 0 {
		return nil
	}
	return socket.Control(func(descriptor uintptr) { _ = setUserTimeout(int(descriptor), network.UserTimeout) })
}

// Dial connects to an IP address and port.
//
//	connection, err := link.TCP{}.Dial(ctx, "127.0.0.1:7000")
func (network TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{Control: network.setSocketOptions, KeepAliveConfig: network.keepAliveConfig()}
	if localIP := net.ParseIP(network.LocalIP); localIP != nil && !localIP.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: localIP}
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// Listen listens on an IP address and port, or on the address that ListenAddresses maps it to.
//
//	listener, err := link.TCP{}.Listen("127.0.0.1:7000")
func (network TCP) Listen(address string) (net.Listener, error) {
	if listenAddress, found := network.ListenAddresses[address]; found {
		address = listenAddress
	}
	return net.Listen("tcp", address)
}
