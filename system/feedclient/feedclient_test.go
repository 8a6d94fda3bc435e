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

// scriptedControl is a control node that sends the given replies in order and repeats the last
// one.
type scriptedControl struct {
	mutex          sync.Mutex
	replies        []func(query *wire.FollowQuery) *wire.FollowReply
	requestedAfter []uint64
}

func (control *scriptedControl) handle(_ context.Context, query *wire.Query) *wire.Reply {
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

// startClient starts a client of a scripted control node, waits until it adopts the view with the
// given number, and returns that view.
func startClient(t *testing.T, stored *feed.View, number uint64, replies ...func(*wire.FollowQuery) *wire.FollowReply) (*Client, *scriptedControl, *feed.View) {
	t.Helper()
	control := &scriptedControl{replies: replies}
	listener, err := link.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := link.Serve(listener, control.handle)
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
		t.Fatalf("view %d was not reached", number)
		return nil, nil, nil
	}
}

func fullViewReply(view *feed.View) func(*wire.FollowQuery) *wire.FollowReply {
	return func(*wire.FollowQuery) *wire.FollowReply {
		return &wire.FollowReply{Newest: view.Number, Reset: true, PackedView: wire.PackView(view)}
	}
}

func consecutiveViews(count int) []feed.View {
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

// TestConfigMismatchIsRepairedByFullView sends a delta whose base has the number of the client's
// config but other content. The client must request a full view.
func TestConfigMismatchIsRepairedByFullView(t *testing.T) {
	views := consecutiveViews(3)
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
		t.Errorf("view %d with a config of %d bytes", view.Number, len(view.Compiled))
	}
	control.mutex.Lock()
	defer control.mutex.Unlock()
	if control.requestedAfter[1] != 1 || control.requestedAfter[2] != 0 {
		t.Errorf("changes were requested after %v", control.requestedAfter)
	}
}

// TestChangesAreAppliedInOrder sends many deltas in one reply.
func TestChangesAreAppliedInOrder(t *testing.T) {
	views := consecutiveViews(300)
	changes := []feed.Change{}
	for at := 2; at < len(views); at++ {
		changes = append(changes, changeBetween(&views[at-1], &views[at]))
	}
	_, _, view := startClient(t, nil, 300, fullViewReply(&views[1]), func(query *wire.FollowQuery) *wire.FollowReply {
		return &wire.FollowReply{Newest: 300, Changes: changes[min(int(query.After-1), len(changes)):]}
	})
	if !bytes.Equal(view.Compiled, views[300].Compiled) {
		t.Errorf("config has %d bytes, want %d", len(view.Compiled), len(views[300].Compiled))
	}
}

// TestClientAheadOfControlNodeKeepsItsView checks that the confirmation of a lagging control node
// confirms the client's newer view and does not replace it.
func TestClientAheadOfControlNodeKeepsItsView(t *testing.T) {
	views := consecutiveViews(5)
	client, _, _ := startClient(t, &views[5], 5, func(*wire.FollowQuery) *wire.FollowReply {
		return &wire.FollowReply{Newest: 3, Reset: true, View: feed.View{Fleet: "fleet", Number: 3}}
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	view, err := client.AwaitFresh(ctx, testTimeout)
	if err != nil || view.Number != 5 || !bytes.Equal(view.Compiled, views[5].Compiled) {
		t.Errorf("error %v, view %+v", err, view)
	}
}

// TestDamagedViewIsNotAdopted sends a packed view that cannot be decoded.
func TestDamagedViewIsNotAdopted(t *testing.T) {
	views := consecutiveViews(2)
	damaged := wire.PackView(&views[1])
	damaged = damaged[:len(damaged)/2]
	_, _, view := startClient(t, nil, 2, func(*wire.FollowQuery) *wire.FollowReply {
		return &wire.FollowReply{Newest: 1, Reset: true, PackedView: damaged}
	}, fullViewReply(&views[2]))
	if view.Number != 2 {
		t.Errorf("adopted view %d, want 2", view.Number)
	}
}

// scriptedStores are stores that replicate views. The reply to each request is the view that
// newest returns for the number of requests before it.
type scriptedStores struct {
	mutex        sync.Mutex
	requestCount int
	newest       func(requestCount int) *feed.View
}

func (stores *scriptedStores) handle(_ context.Context, query *wire.Query) *wire.Reply {
	if query.NewestView == nil {
		return &wire.Reply{Which: schema.Reply_Which_status, Status: &wire.StatusReply{Role: feed.RoleStore}}
	}
	stores.mutex.Lock()
	defer stores.mutex.Unlock()
	view := stores.newest(stores.requestCount)
	stores.requestCount++
	return &wire.Reply{Which: schema.Reply_Which_newest, NewestView: &wire.NewestViewReply{Number: view.Number, PackedView: wire.PackView(view)}}
}

// start serves count stores on the loopback interface and returns their members.
func (stores *scriptedStores) start(t *testing.T, count int) []feed.Member {
	t.Helper()
	members := []feed.Member{}
	for number := range count {
		listener, err := link.TCP{}.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := link.Serve(listener, stores.handle)
		t.Cleanup(server.Close)
		members = append(members, feed.Member{Name: fmt.Sprintf("store-%d", number), Role: feed.RoleStore, Address: listener.Addr().String()})
	}
	return members
}

// startWithStoresOnly starts a client with a view but without any control node.
func startWithStoresOnly(t *testing.T, stored *feed.View) *Client {
	t.Helper()
	rpc := link.NewClient(link.TCP{})
	t.Cleanup(rpc.Close)
	client := Start(rpc, feed.Member{Name: "front"}, nil, stored, func(*feed.View) error { return nil })
	t.Cleanup(client.Stop)
	return client
}

// TestStoresConfirmContinuouslyChangingView has every poll of the stores return a newer view, as
// may happen during a leader change. The client must count each as confirmed; otherwise it would
// not be fresh until the changes stop.
func TestStoresConfirmContinuouslyChangingView(t *testing.T) {
	stores := &scriptedStores{}
	members := stores.start(t, 3)
	stores.newest = func(requestCount int) *feed.View {
		return &feed.View{Fleet: "fleet", Number: uint64(2 + requestCount), ConfigNumber: 1, Stores: members}
	}
	client := startWithStoresOnly(t, &feed.View{Fleet: "fleet", Number: 1, ConfigNumber: 1, Stores: members})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if view, err := client.AwaitFresh(ctx, testTimeout); err != nil || view.Number < 2 {
		t.Errorf("view %+v, %v", view, err)
	}
}

// TestStoresOfSupersededListDoNotConfirm has the stores report a view with another store list,
// whose stores do not reply. The old stores may lack changes that the new ones acknowledged, so
// the view must not count as confirmed.
func TestStoresOfSupersededListDoNotConfirm(t *testing.T) {
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
		t.Errorf("view %d is fresh, but the stores that it lists did not confirm it", view.Number)
	}
	if number := client.View().Number; number != 2 {
		t.Errorf("view number is %d, want 2 as reported by the stores", number)
	}
}

// TestLongPollDependsOnTheRunnerList checks the long poll for various ages of the runner list and
// times since the client connected.
func TestLongPollDependsOnTheRunnerList(t *testing.T) {
	for name, test := range map[string]struct {
		role         string
		listAge      time.Duration // 0: unknown
		connectedFor time.Duration
		want         time.Duration
	}{
		"store":                           {feed.RoleStore, 0, time.Second, 300 * time.Millisecond},
		"no list after the start":         {feed.RoleFront, 0, time.Second, 0},
		"no list for a long time":         {feed.RoleFront, 0, reconnectPeriod + time.Second, defaultLongPoll},
		"new list":                        {feed.RoleFront, 100 * time.Millisecond, time.Second, defaultLongPoll},
		"aging list":                      {feed.RoleFront, 700 * time.Millisecond, time.Minute, runnerListLongPoll - 700*time.Millisecond},
		"list about to expire":            {feed.RoleFront, 1050 * time.Millisecond, time.Minute, minLongPoll},
		"expired list after reconnecting": {feed.RoleFront, 3 * time.Second, time.Second, 0},
		"expired list for a long time":    {feed.RoleFront, 8 * time.Second, reconnectPeriod + time.Second, minLongPoll},
	} {
		now := time.Now()
		client := &Client{self: feed.Member{Role: test.role}, startedAt: now.Add(-time.Hour), connectedAt: now.Add(-test.connectedFor)}
		if test.listAge > 0 {
			client.runnerListReadAt.Store(new(now.Add(-test.listAge)))
		}
		if got := client.longPoll(); got < test.want-20*time.Millisecond || got > test.want {
			t.Errorf("%s: long poll is %s, want %s", name, got, test.want)
		}
	}
}

// TestUnresponsiveControlNodesDoNotDelayPoll polls candidates of which only the last one replies.
// The client must poll it as soon as another one fails, not after the unresponsive ones time out.
func TestUnresponsiveControlNodesDoNotDelayPoll(t *testing.T) {
	silent, err := link.TCP{}.Listen("127.0.0.1:0") // accepts no connection
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	control := &scriptedControl{replies: []func(*wire.FollowQuery) *wire.FollowReply{fullViewReply(&feed.View{Fleet: "fleet", Number: 1})}}
	listener, err := link.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := link.Serve(listener, control.handle)
	defer server.Close()
	rpc := link.NewClient(link.TCP{})
	defer rpc.Close()
	client := &Client{rpc: rpc, startedAt: time.Now(), onView: func(*feed.View) error { return nil }, foreignFleet: make(chan error, 1), adoptToken: make(chan struct{}, 1), ctx: t.Context()}
	client.view.Store(&feed.View{})
	client.members.Store(&memberList{})
	client.freshnessExtended.Store(new(make(chan struct{})))
	client.adoptToken <- struct{}{}
	start := time.Now()
	address := listener.Addr().String()
	client.candidates = []string{silent.Addr().String(), "127.0.0.1:1", silent.Addr().String(), address}
	if !client.poll() || client.control != address {
		t.Fatalf("poll ended with control node %q", client.control)
	}
	if elapsed := time.Since(start); elapsed >= requestTimeout {
		t.Errorf("poll took %s, as long as the timeout of the unresponsive control nodes", elapsed)
	}
}
