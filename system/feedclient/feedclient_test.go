package feedclient

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"yardrock.example/system/feed"
	"yardrock.example/system/link"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

const testTimeout = 10 * time.Second

// scriptedControl is a control node that gives its replies one after the other; the last one
// is repeated.
type scriptedControl struct {
	mutex          sync.Mutex
	replies        []func(query *wire.FollowQuery) *wire.FollowReply
	requestedAfter []uint64
}

func (control *scriptedControl) answer(_ context.Context, query *wire.Query) *wire.Reply {
	if query.Follow == nil {
		return &wire.Reply{Which: schema.Reply_Which_status, Status: &wire.StatusReply{Role: feed.RoleControl}}
	}
	control.mutex.Lock()
	defer control.mutex.Unlock()
	control.requestedAfter = append(control.requestedAfter, query.Follow.After)
	next := control.replies[0]
	if len(control.replies) > 1 {
		control.replies = control.replies[1:]
	}
	return &wire.Reply{Which: schema.Reply_Which_follow, Follow: next(query.Follow)}
}

// startClient runs a client of a scripted control node until it adopts a view of a number, and
// gives that view.
func startClient(t *testing.T, stored *feed.View, number uint64, replies ...func(*wire.FollowQuery) *wire.FollowReply) (*Client, *scriptedControl, *feed.View) {
	t.Helper()
	control := &scriptedControl{replies: replies}
	listener, err := link.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := link.Serve(listener, control.answer)
	t.Cleanup(server.Close)
	rpc := link.NewClient(link.TCP{})
	t.Cleanup(rpc.Close)
	reached := make(chan *feed.View, 1)
	client := Start(rpc, feed.Member{Name: "front"}, []string{listener.Addr().String()}, stored, func(view *feed.View) error {
		if view.Number == number {
			reached <- view
		}
		return nil
	})
	t.Cleanup(client.Stop)
	if stored != nil && stored.Number >= number {
		return client, control, stored
	}
	select {
	case view := <-reached:
		return client, control, view
	case <-time.After(testTimeout):
		t.Fatalf("number %d was not reached", number)
		return nil, nil, nil
	}
}

func fullViewReply(view *feed.View) func(*wire.FollowQuery) *wire.FollowReply {
	return func(*wire.FollowQuery) *wire.FollowReply {
		return &wire.FollowReply{Newest: view.Number, Reset: true, PackedView: wire.PackView(view)}
	}
}

func configs(count int) []feed.View {
	views := []feed.View{{}}
	for number := range count {
		view := feed.View{Fleet: "fleet", Number: uint64(number + 1), ConfigNumber: uint64(number + 1)}
		for route := range 50 {
			attempts := route
			if route == number%50 {
				attempts += number
			}
			view.Compiled = fmt.Appendf(view.Compiled, `{"name":"route-%d","host":"host-%d.example","tries":%d}`, route, route, attempts)
		}
		views = append(views, view)
	}
	return views
}

func changeBetween(before, after *feed.View) feed.Change {
	return feed.Change{Number: after.Number, Kind: feed.ChangeConfig, Compiled: after.Compiled}.Compact(before)
}

// TestConfigMismatchIsRepairedByAFullView gives a client a delta that was made on another config
// of the number that it has: it asks for a full view, and has what the leader has.
func TestConfigMismatchIsRepairedByAFullView(t *testing.T) {
	views := configs(3)
	other := views[1]
	other.Compiled = append([]byte("other"), other.Compiled...)
	wrong := changeBetween(&other, &views[2])
	_, control, view := startClient(t, nil, 3, fullViewReply(&views[1]),
		func(*wire.FollowQuery) *wire.FollowReply {
			return &wire.FollowReply{Newest: 2, Changes: []feed.Change{wrong}}
		},
		func(query *wire.FollowQuery) *wire.FollowReply {
			if query.After == 0 {
				return fullViewReply(&views[3])(query)
			}
			return &wire.FollowReply{Newest: 2, Changes: []feed.Change{wrong}}
		})
	if view.Number != 3 || !bytes.Equal(view.Compiled, views[3].Compiled) {
		t.Errorf("number %d, %d bytes", view.Number, len(view.Compiled))
	}
	control.mutex.Lock()
	defer control.mutex.Unlock()
	if control.requestedAfter[1] != 1 || control.requestedAfter[2] != 0 {
		t.Errorf("asked after %v", control.requestedAfter)
	}
}

// TestChangesAreAppliedInOrder gives a client many deltas at once.
func TestChangesAreAppliedInOrder(t *testing.T) {
	views := configs(300)
	changes := []feed.Change{}
	for at := 2; at < len(views); at++ {
		changes = append(changes, changeBetween(&views[at-1], &views[at]))
	}
	_, _, view := startClient(t, nil, 300, fullViewReply(&views[1]), func(query *wire.FollowQuery) *wire.FollowReply {
		return &wire.FollowReply{Newest: 300, Changes: changes[min(int(query.After-1), len(changes)):]}
	})
	if !bytes.Equal(view.Compiled, views[300].Compiled) {
		t.Errorf("%d bytes, not %d", len(view.Compiled), len(views[300].Compiled))
	}
}

// TestClientAheadOfItsControlNodeKeepsItsView lets a control node that lags behind
// confirm: the client's own view is newer, and is confirmed with it.
func TestClientAheadOfItsControlNodeKeepsItsView(t *testing.T) {
	views := configs(5)
	client, _, _ := startClient(t, &views[5], 5, func(*wire.FollowQuery) *wire.FollowReply {
		return &wire.FollowReply{Newest: 3, Reset: true, View: feed.View{Fleet: "fleet", Number: 3}}
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	view, err := client.AwaitFresh(ctx, testTimeout)
	if err != nil || view.Number != 5 || !bytes.Equal(view.Compiled, views[5].Compiled) {
		t.Errorf("%v, %+v", err, view)
	}
}

// TestDamagedViewIsNotAdopted gives a client a packed view that cannot be read.
func TestDamagedViewIsNotAdopted(t *testing.T) {
	views := configs(2)
	damaged := wire.PackView(&views[1])
	damaged = damaged[:len(damaged)/2]
	_, _, view := startClient(t, nil, 2, func(*wire.FollowQuery) *wire.FollowReply {
		return &wire.FollowReply{Newest: 1, Reset: true, PackedView: damaged}
	}, fullViewReply(&views[2]))
	if view.Number != 2 {
		t.Errorf("number %d", view.Number)
	}
}

// scriptedStores are stores that replicate views. Each request gets newest, the
// view that they have then, by how many requests came before.
type scriptedStores struct {
	mutex     sync.Mutex
	requested int
	newest    func(requested int) *feed.View
}

func (stores *scriptedStores) answer(_ context.Context, query *wire.Query) *wire.Reply {
	if query.NewestView == nil {
		return &wire.Reply{Which: schema.Reply_Which_status, Status: &wire.StatusReply{Role: feed.RoleStore}}
	}
	stores.mutex.Lock()
	defer stores.mutex.Unlock()
	view := stores.newest(stores.requested)
	stores.requested++
	return &wire.Reply{Which: schema.Reply_Which_newest, NewestView: &wire.NewestViewReply{Number: view.Number, PackedView: wire.PackView(view)}}
}

// start serves so many stores on loopback and returns them as members.
func (stores *scriptedStores) start(t *testing.T, count int) []feed.Member {
	t.Helper()
	members := []feed.Member{}
	for number := range count {
		listener, err := link.TCP{}.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := link.Serve(listener, stores.answer)
		t.Cleanup(server.Close)
		members = append(members, feed.Member{Name: fmt.Sprintf("store-%d", number), Role: feed.RoleStore, Address: listener.Addr().String()})
	}
	return members
}

// startWithStoresOnly runs a client that has a view and reaches no control node.
func startWithStoresOnly(t *testing.T, stored *feed.View) *Client {
	t.Helper()
	rpc := link.NewClient(link.TCP{})
	t.Cleanup(rpc.Close)
	client := Start(rpc, feed.Member{Name: "front"}, nil, stored, func(*feed.View) error { return nil })
	t.Cleanup(client.Stop)
	return client
}

// TestStoresConfirmAViewThatChangesAllTheTime has every round at the stores bring a newer view,
// as it is while the control plane changes leaders. Each round confirms what it brings: a
// client that waited for one without news would not be fresh as long as that lasts.
func TestStoresConfirmAViewThatChangesAllTheTime(t *testing.T) {
	stores := &scriptedStores{}
	members := stores.start(t, 3)
	stores.newest = func(requested int) *feed.View {
		return &feed.View{Fleet: "fleet", Number: uint64(2 + requested), ConfigNumber: 1, Stores: members}
	}
	client := startWithStoresOnly(t, &feed.View{Fleet: "fleet", Number: 1, ConfigNumber: 1, Stores: members})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if view, err := client.AwaitFresh(ctx, testTimeout); err != nil || view.Number < 2 {
		t.Errorf("view %+v, %v", view, err)
	}
}

// TestStoresOfAnotherListDoNotConfirm has the stores tell of a view with another store list,
// whose stores do not answer: what these acknowledged since, the old ones cannot know.
func TestStoresOfAnotherListDoNotConfirm(t *testing.T) {
	stores := &scriptedStores{}
	members := stores.start(t, 3)
	moved := []feed.Member{}
	for number := range members {
		moved = append(moved, feed.Member{Name: fmt.Sprintf("moved-%d", number), Role: feed.RoleStore, Address: "127.0.0.1:1"})
	}
	stores.newest = func(int) *feed.View {
		return &feed.View{Fleet: "fleet", Number: 2, ConfigNumber: 1, Stores: moved}
	}
	client := startWithStoresOnly(t, &feed.View{Fleet: "fleet", Number: 1, ConfigNumber: 1, Stores: members})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if view, err := client.AwaitFresh(ctx, testTimeout); err == nil {
		t.Errorf("view %d with stores that got no request counts as in force", view.Number)
	}
	if number := client.View().Number; number != 2 {
		t.Errorf("the view has number %d, not the newer one that the stores told of", number)
	}
}

// TestLongPollDependsOnTheRunnerList checks how long a control node may delay its reply, by the
// age of the reading of the runner list that a front knows and by how long it has had contact.
func TestLongPollDependsOnTheRunnerList(t *testing.T) {
	for name, test := range map[string]struct {
		role       string
		readingAge time.Duration // 0: none is known
		contact    time.Duration
		want       time.Duration
	}{
		"a store":                              {feed.RoleStore, 0, time.Second, 300 * time.Millisecond},
		"no reading after the start":           {feed.RoleFront, 0, time.Second, 0},
		"no reading for long":                  {feed.RoleFront, 0, reconnectPeriod + time.Second, defaultLongPoll},
		"a new reading":                        {feed.RoleFront, 100 * time.Millisecond, time.Second, defaultLongPoll},
		"a reading that grows old":             {feed.RoleFront, 700 * time.Millisecond, time.Minute, runnerListLongPoll - 700*time.Millisecond},
		"a reading that is too old soon":       {feed.RoleFront, 1050 * time.Millisecond, time.Minute, minLongPoll},
		"an old reading after contact is back": {feed.RoleFront, 3 * time.Second, time.Second, 0},
		"an old reading for long":              {feed.RoleFront, 8 * time.Second, reconnectPeriod + time.Second, minLongPoll},
	} {
		now := time.Now()
		client := &Client{self: feed.Member{Role: test.role}, startedAt: now.Add(-time.Hour), connectedAt: now.Add(-test.contact)}
		if test.readingAge > 0 {
			client.runnerListReadAt.Store(new(now.Add(-test.readingAge)))
		}
		if got := client.longPoll(); got < test.want-20*time.Millisecond || got > test.want {
			t.Errorf("%s: %s instead of %s", name, got, test.want)
		}
	}
}

// TestSilentControlNodesDoNotHoldUpAPoll has a client whose candidates are silent, but for the
// last: it gets a poll as soon as one has failed, not when the silent ones have timed out.
func TestSilentControlNodesDoNotHoldUpAPoll(t *testing.T) {
	silent, err := link.TCP{}.Listen("127.0.0.1:0") // nobody accepts
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	control := &scriptedControl{replies: []func(*wire.FollowQuery) *wire.FollowReply{fullViewReply(&feed.View{Fleet: "fleet", Number: 1})}}
	listener, err := link.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := link.Serve(listener, control.answer)
	defer server.Close()
	rpc := link.NewClient(link.TCP{})
	defer rpc.Close()
	client := &Client{rpc: rpc, startedAt: time.Now(), onView: func(*feed.View) error { return nil }, foreignFleet: make(chan error, 1), adoptToken: make(chan struct{}, 1), ctx: t.Context()}
	client.view.Store(&feed.View{})
	client.members.Store(&memberList{})
	client.freshnessExtended.Store(new(make(chan struct{})))
	client.adoptToken <- struct{}{}
	began := time.Now()
	address := listener.Addr().String()
	client.candidates = []string{silent.Addr().String(), "127.0.0.1:1", silent.Addr().String(), address}
	if !client.poll() || client.control != address {
		t.Fatalf("the poll ended with control node %q", client.control)
	}
	if took := time.Since(began); took >= requestTimeout {
		t.Errorf("it took %s, as long as the silent control nodes", took)
	}
}
