package fleet

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// LinkProxy forwards the connections between a fleet's daemons, so that links can be cut or slowed
// down. Every daemon is reached through one of its listeners and connects from an IP address of
// its own, which identifies it. Data sent over a cut link waits until the link is healed or the
// connection ends. It is safe for concurrent use.
type LinkProxy struct {
	mutex   sync.Mutex
	states  map[[2]string]linkState
	changed chan struct{}
}

// linkState is the state of the link from one IP address to another; the zero value is healthy.
type linkState struct {
	cut  bool
	slow time.Duration
}

// NewLinkProxy returns a proxy with healthy links.
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

// Serve accepts connections at a daemon's address and forwards them to where it listens, until
// the program ends.
//
//	err := links.Serve("127.22.1.1:7000", "127.22.1.1:7001")
func (links *LinkProxy) Serve(address, listen string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go links.connect(near, listen, ipOf(near.RemoteAddr().String()), ipOf(address))
		}
	}()
	return nil
}

func (links *LinkProxy) connect(near net.Conn, listen, from, to string) {
	defer near.Close()
	far, err := net.Dial("tcp", listen)
	if err != nil {
		return
	}
	defer far.Close()
	var copying sync.WaitGroup
	copying.Go(func() { links.forward(far, near, [2]string{from, to}) })
	copying.Go(func() { links.forward(near, far, [2]string{to, from}) })
	copying.Wait()
}

// forward copies one direction, as the link allows, until either side ends.
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
				links.awaitOpen(direction) // the end of the stream takes as long as data
			}
			return
		}
	}
}

// awaitOpen waits until the link is open, and as long as its delay.
func (links *LinkProxy) awaitOpen(direction [2]string) {
	for {
		links.mutex.Lock()
		now, changed := links.states[direction], links.changed
		links.mutex.Unlock()
		if !now.cut {
			time.Sleep(now.slow)
			return
		}
		<-changed
	}
}

func (links *LinkProxy) set(from, to string, change func(linkState) linkState) {
	links.mutex.Lock()
	defer links.mutex.Unlock()
	direction := [2]string{ipOf(from), ipOf(to)}
	links.states[direction] = change(links.states[direction])
	close(links.changed)
	links.changed = make(chan struct{})
}

// CutOneWay cuts the link from one daemon's address to another's.
//
//	links.CutOneWay(front.Address, store.Address)
func (links *LinkProxy) CutOneWay(from, to string) {
	links.set(from, to, func(now linkState) linkState { now.cut = true; return now })
}

// Slow adds a delay to the link from one daemon's address to another's.
//
//	links.Slow(front.Address, store.Address, 100*time.Millisecond)
func (links *LinkProxy) Slow(from, to string, delay time.Duration) {
	links.set(from, to, func(now linkState) linkState { now.slow = delay; return now })
}

// Heal makes the links between two addresses healthy in both directions.
//
//	links.Heal(front.Address, store.Address)
func (links *LinkProxy) Heal(one, other string) {
	for _, direction := range [][2]string{{one, other}, {other, one}} {
		links.set(direction[0], direction[1], func(linkState) linkState { return linkState{} })
	}
}
