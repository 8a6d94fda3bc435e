package link

import (
	"context"
	"net"
	"syscall"
	"time"
)

// Network is where processes reach each other.
type Network interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
	Listen(address string) (net.Listener, error)
}

// TCP is the real network.
type TCP struct {
	// LocalIP is the IP that connections come from; "" leaves it to the system.
	LocalIP string
	// ListenAddresses tells where to listen instead, for addresses that others reach in a
	// roundabout way.
	ListenAddresses map[string]string
	// UserTimeout is how long the other side may leave unanswered what its system should
	// answer at once, before a dialled connection counts as broken: a cut or a machine
	// without power says nothing. Zero leaves it to the system, which waits for minutes.
	// It does not hold for accepted connections, as some systems also count the time for
	// which a caller reads nothing.
	UserTimeout time.Duration
}

// keepAliveConfig has the system ask a silent other side whether it is still there.
func (network TCP) keepAliveConfig() net.KeepAliveConfig {
	if network.UserTimeout <= 0 {
		return net.KeepAliveConfig{}
	}
	return net.KeepAliveConfig{Enable: true, Idle: max(network.UserTimeout/2, time.Second), Interval: time.Second, Count: max(1, int(network.UserTimeout/time.Second))}
}

// setSocketOptions sets how long what was sent may stay unanswered. Like the options of
// keep-alive it is no reason not to connect, if the system lacks it.
func (network TCP) setSocketOptions(_, _ string, socket syscall.RawConn) error {
	if network.UserTimeout <= 0 {
		return nil
	}
	return socket.Control(func(descriptor uintptr) { setUserTimeout(int(descriptor), network.UserTimeout) })
}

// Dial connects by IP and port.
//
//	connection, err := link.TCP{}.Dial(ctx, "127.0.0.1:7000")
func (network TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{Control: network.setSocketOptions, KeepAliveConfig: network.keepAliveConfig()}
	if from := net.ParseIP(network.LocalIP); from != nil && !from.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: from}
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// Listen opens a port.
//
//	listener, err := link.TCP{}.Listen("127.0.0.1:7000")
func (network TCP) Listen(address string) (net.Listener, error) {
	if other, found := network.ListenAddresses[address]; found {
		address = other
	}
	return net.Listen("tcp", address)
}
