package fleet

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// LinkProxy are the ways between a fleet's daemons: each is reached through a listener
// of ours, and returns who it is by the IP that its connections come from. What crosses
// a cut way waits, as TCP keeps it, until the link is healed or the connection ends.
type LinkProxy struct {
	mutex   sync.Mutex
	states  map[[2]string]linkState
	changed chan struct{}
}

type linkState struct {
	cut  bool
	slow time.Duration
}

// NewLinkProxy makes links that are all whole.
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

// Serve leads what comes for an address on to where its daemon listens.
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

// forward copies one direction, as the way allows, until either side ends.
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
				links.awaitOpen(direction) // the end travels no faster than the data
			}
			return
		}
	}
}

// awaitOpen returns once something sent now would arrive.
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

// CutOneWay loses the way from one daemon's address to another's.
//
//	links.CutOneWay(front.Address, store.Address)
func (links *LinkProxy) CutOneWay(from, to string) {
	links.set(from, to, func(now linkState) linkState { now.cut = true; return now })
}

// Slow makes the way from one daemon's address to another's slower.
//
//	links.Slow(front.Address, store.Address, 100*time.Millisecond)
func (links *LinkProxy) Slow(from, to string, delay time.Duration) {
	links.set(from, to, func(now linkState) linkState { now.slow = delay; return now })
}

// Heal makes the ways between two addresses whole and fast again.
//
//	links.Heal(front.Address, store.Address)
func (links *LinkProxy) Heal(one, other string) {
	for _, direction := range [][2]string{{one, other}, {other, one}} {
		links.set(direction[0], direction[1], func(linkState) linkState { return linkState{} })
	}
}
