package fleet

import (
	"io"
	"net"
	"sync"
	"time"
)

// Links are the ways between a fleet's daemons: each is reached through a listener
// of ours, and tells who it is by the IP that its connections come from. What crosses
// a cut way waits, as TCP keeps it, until the way is mended or the connection ends.
type Links struct {
	mutex   sync.Mutex
	ways    map[[2]string]way
	changed chan struct{}
}

type way struct {
	cut  bool
	slow time.Duration
}

// NewLinks makes links that are all whole.
//
//	links := fleet.NewLinks()
func NewLinks() *Links { return &Links{ways: map[[2]string]way{}, changed: make(chan struct{})} }

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
func (links *Links) Serve(address, listen string) error {
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
			go links.join(near, listen, ipOf(near.RemoteAddr().String()), ipOf(address))
		}
	}()
	return nil
}

func (links *Links) join(near net.Conn, listen, from, to string) {
	defer near.Close()
	far, err := net.Dial("tcp", listen)
	if err != nil {
		return
	}
	defer far.Close()
	var copying sync.WaitGroup
	copying.Go(func() { links.carry(far, near, [2]string{from, to}) })
	copying.Go(func() { links.carry(near, far, [2]string{to, from}) })
	copying.Wait()
}

// carry copies one direction, as the way allows, until either side ends.
func (links *Links) carry(target, source net.Conn, direction [2]string) {
	defer target.Close()
	defer source.Close()
	buffer := make([]byte, 64<<10)
	for {
		count, err := source.Read(buffer)
		if count > 0 {
			links.await(direction)
			if _, err := target.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				links.await(direction) // the end travels no faster than the data
			}
			return
		}
	}
}

// await returns once something sent now would arrive.
func (links *Links) await(direction [2]string) {
	for {
		links.mutex.Lock()
		now, changed := links.ways[direction], links.changed
		links.mutex.Unlock()
		if !now.cut {
			time.Sleep(now.slow)
			return
		}
		<-changed
	}
}

func (links *Links) set(from, to string, change func(way) way) {
	links.mutex.Lock()
	defer links.mutex.Unlock()
	direction := [2]string{ipOf(from), ipOf(to)}
	links.ways[direction] = change(links.ways[direction])
	close(links.changed)
	links.changed = make(chan struct{})
}

// CutOneWay loses the way from one daemon's address to another's.
//
//	links.CutOneWay(front.Address, store.Address)
func (links *Links) CutOneWay(from, to string) {
	links.set(from, to, func(now way) way { now.cut = true; return now })
}

// Slow makes the way from one daemon's address to another's slower.
//
//	links.Slow(front.Address, store.Address, 100*time.Millisecond)
func (links *Links) Slow(from, to string, later time.Duration) {
	links.set(from, to, func(now way) way { now.slow = later; return now })
}

// Mend makes the ways between two addresses whole and fast again.
//
//	links.Mend(front.Address, store.Address)
func (links *Links) Mend(one, other string) {
	for _, direction := range [][2]string{{one, other}, {other, one}} {
		links.set(direction[0], direction[1], func(way) way { return way{} })
	}
}
