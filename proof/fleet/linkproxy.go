package fleet

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// LinkProxy forwards the connections between a fleet's daemons, so that links can be cut or slowed
// down. Each daemon is reached through a listener of the proxy and is identified by its IP address.
// Data sent over a cut link is delayed until the link is healed or the connection ends. Its methods
// are safe for concurrent use.
type LinkProxy struct {
	mutex   sync.Mutex
	states  map[[2]string]linkState
	changed chan struct{}
}

// linkState is the state of the link from one IP address to another; the zero value is healthy.
type linkState struct {
	cut   bool
	delay time.Duration
}

// NewLinkProxy returns a proxy whose links are healthy.
//
//	links := fleet.NewLinkProxy()
func NewLinkProxy() *LinkProxy {
	return &LinkProxy{states: map[[2]string]linkState{}, changed: make(chan struct{})}
}

func ipOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// Serve accepts connections at a daemon's advertised address and forwards them to backend, the
// address that it listens on, until the program ends.
//
//	err := links.Serve("127.22.1.1:7000", "127.22.1.1:7001")
func (links *LinkProxy) Serve(address, backend string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		for {
			inbound, err := listener.Accept()
			if err != nil {
				return
			}
			go links.connect(inbound, backend, ipOf(inbound.RemoteAddr().String()), ipOf(address))
		}
	}()
	return nil
}

func (links *LinkProxy) connect(inbound net.Conn, backend, from, to string) {
	defer inbound.Close()
	outbound, err := net.Dial("tcp", backend)
	if err != nil {
		return
	}
	defer outbound.Close()
	var copying sync.WaitGroup
	copying.Go(func() { links.forward(outbound, inbound, [2]string{from, to}) })
	copying.Go(func() { links.forward(inbound, outbound, [2]string{to, from}) })
	copying.Wait()
}

// forward copies one direction of a connection, as the state of the link permits, until either end
// is closed.
func (links *LinkProxy) forward(target, source net.Conn, direction [2]string) {
	defer target.Close()
	defer source.Close()
	buffer := make([]byte, 64<<10)
	for {
		count, err := source.Read(buffer)
		if count > 0 {
			links.awaitOpen(direction)
			if _, err := target.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				links.awaitOpen(direction) // the end of the stream is delayed like data
			}
			return
		}
	}
}

// awaitOpen waits while the link is cut, and then for its delay.
func (links *LinkProxy) awaitOpen(direction [2]string) {
	for {
		links.mutex.Lock()
		state, changed := links.states[direction], links.changed
		links.mutex.Unlock()
		if !state.cut {
			time.Sleep(state.delay)
			return
		}
		<-changed
	}
}

func (links *LinkProxy) updateState(from, to string, change func(linkState) linkState) {
	links.mutex.Lock()
	defer links.mutex.Unlock()
	direction := [2]string{ipOf(from), ipOf(to)}
	links.states[direction] = change(links.states[direction])
	close(links.changed)
	links.changed = make(chan struct{})
}

// CutOneWay cuts the link from one daemon's address to another's, in this direction only.
//
//	links.CutOneWay(front.Address, store.Address)
func (links *LinkProxy) CutOneWay(from, to string) {
	links.updateState(from, to, func(state linkState) linkState { state.cut = true; return state })
}

// Slow delays data from one daemon's address to another's, in this direction only.
//
//	links.Slow(front.Address, store.Address, 100*time.Millisecond)
func (links *LinkProxy) Slow(from, to string, delay time.Duration) {
	links.updateState(from, to, func(state linkState) linkState { state.delay = delay; return state })
}

// Heal makes the links between two addresses healthy in both directions.
//
//	links.Heal(front.Address, store.Address)
func (links *LinkProxy) Heal(one, other string) {
	for _, direction := range [][2]string{{one, other}, {other, one}} {
		links.updateState(direction[0], direction[1], func(linkState) linkState { return linkState{} })
	}
}
