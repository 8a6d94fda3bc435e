package simulator

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/feed"
	"yardrock.example/system/forwarding"
)

// wildKinds are the routes of the routed config, with how often one query may run.
var wildKinds = []struct {
	path   string
	runs   int
	stream bool
}{
	{"/lookup/", 3, false},
	{"/order/", 1, false},
	{"/talk/kept/", 1, true},
	{"/talk/chat/", 2, true},
}

// sentQuery is one query with what came of it.
type sentQuery struct {
	name, path, body string
	runs             int
	stream           bool
	answer           *ForwardedAnswer
}

// TestAnswerReachesOnlyItsRequest, by its name, while runners answer late, twice,
// under other names and in parts, connections are reset, and runners freeze and are cut
// off. What may run once runs once at most, and what was refused never runs.
func TestAnswerReachesOnlyItsRequest(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		runners := []*wildRunner{}
		for position := range 6 {
			runners = append(runners, startWild(t, cluster, position, []string{"tools", "engines"}[position%2]))
		}
		listWild(cluster, runners)
		done := make(chan struct{})
		var harming sync.WaitGroup
		harming.Go(func() { faultWild(cluster, runners, done) })
		all := requestWild(cluster)
		close(done)
		harming.Wait()
		cluster.Sleep(6 * time.Second) // what is still on its way arrives
		checkWild(t, all, runners)
	})
}

// listWild has the platform's list name these runners alone, and waits until they are known.
func listWild(cluster *Cluster, runners []*wildRunner) {
	cluster.RunnerList.Put(nil)
	listed := cluster.RunnerList.runners
	for position, runner := range runners {
		listed = append(listed, runner.listed(position))
	}
	cluster.RunnerList.Put(listed)
	cluster.Sleep(3 * time.Second)
}

// requestWild sends queries of all routes through all fronts, some at the same time.
func requestWild(cluster *Cluster) []*sentQuery {
	const callers, rounds = 8, 40
	all := []*sentQuery{}
	var mutex sync.Mutex
	var asking sync.WaitGroup
	for caller := range callers {
		random := cluster.Random(uint64(800 + caller))
		asking.Go(func() {
			for round := range rounds {
				kind := wildKinds[random.IntN(len(wildKinds))]
				name := fmt.Sprintf("wild-%d-%d", caller, round)
				one := &sentQuery{name: name, path: kind.path + name, body: "prompt of " + name, runs: kind.runs, stream: kind.stream}
				one.answer = cluster.Forward(cluster.Fronts[random.IntN(len(cluster.Fronts))], forwarding.Request{
					Name: name, Path: one.path, Body: []byte(one.body), Program: name, HasOutputBudget: true, OutputBudget: 1000, MaxOutputTokens: 40,
				})
				mutex.Lock()
				all = append(all, one)
				mutex.Unlock()
				cluster.Sleep(time.Duration(random.IntN(150)) * time.Millisecond)
			}
		})
	}
	asking.Wait()
	return all
}

// faultWild resets, freezes and cuts off runners, one after the other.
func faultWild(cluster *Cluster, runners []*wildRunner, done <-chan struct{}) {
	random := cluster.Random(900)
	for {
		runner := runners[random.IntN(len(runners))]
		front := cluster.Fronts[random.IntN(len(cluster.Fronts))]
		lasts := time.Duration(50+random.IntN(800)) * time.Millisecond
		switch random.IntN(4) {
		case 0:
			runner.reset()
		case 1:
			cluster.Network.Freeze(runner.host)
			cluster.Sleep(lasts)
			cluster.Network.Thaw(runner.host)
		case 2: // queries arrive, their answers don't
			cluster.Network.CutOneWay(runner.host, front.Host)
			cluster.Sleep(lasts)
			cluster.Network.Heal(runner.host, front.Host)
		case 3:
			cluster.Network.Freeze(front.Host)
			cluster.Sleep(lasts)
			cluster.Network.Thaw(front.Host)
		}
		select {
		case <-done:
			return
		case <-time.After(time.Duration(random.IntN(400)) * time.Millisecond):
		}
	}
}

func checkWild(t *testing.T, all []*sentQuery, runners []*wildRunner) {
	t.Helper()
	complete, refused := map[string]int{}, 0
	for _, one := range all {
		runs := 0
		for _, runner := range runners {
			runs += runner.ran[one.name]
		}
		if runs > one.runs {
			t.Errorf("%s ran %d times", one.path, runs)
		}
		if one.answer.Rejected() {
			refused++
			if runs > 0 && one.runs == 1 {
				t.Errorf("%s was refused as not run, and ran", one.path)
			}
		}
		checkWildBody(t, one)
		if one.answer.Complete() {
			complete[strings.TrimSuffix(one.path, one.name)]++
			if runs == 0 {
				t.Errorf("%s is complete, and ran nowhere", one.path)
			}
		}
	}
	t.Logf("%d queries, complete %v, %d refused", len(all), complete, refused)
	for _, kind := range wildKinds {
		if complete[kind.path] < 10 {
			t.Errorf("only %d of %s are complete", complete[kind.path], kind.path)
		}
	}
}

// checkWildBody checks what a caller was passed on, also of an answer that was broken off.
func checkWildBody(t *testing.T, one *sentQuery) {
	t.Helper()
	answer := one.answer
	if answer.Status == 0 {
		return
	}
	if answer.Status == http.StatusOK && !strings.HasSuffix(answer.Header.Get("Seal"), "/"+one.name) {
		t.Errorf("%s got the answer that is sealed as %q", one.path, answer.Header.Get("Seal"))
	}
	if named := answer.Header.Get(standin.HeaderNames.RequestID); named != "" && named != one.name {
		t.Errorf("%s got an answer to %q", one.path, named)
	}
	want := "done " + one.name
	if one.stream {
		want = ""
		for number := 1; number <= wildEvents; number++ {
			want += fmt.Sprintf("id: %d\ndata: %s\n\n", number, standin.EventData(one.body, number))
		}
	}
	if got := string(answer.Body); !strings.HasPrefix(want, got) || answer.Complete() && got != want {
		t.Errorf("%s got %d %q, complete is %t", one.path, answer.Status, got, answer.Complete())
	}
}

// TestNoRequestWaitsPastItsRoutesTimeout though its caller has more time: not by runners that
// say nothing, not by stores or control nodes that can't be reached.
func TestNoRequestWaitsPastItsRoutesTimeout(t *testing.T) {
	const slack = 250 * time.Millisecond
	timeouts := map[string]time.Duration{"/lookup/": 2 * time.Second, "/order/": 3 * time.Second, "/talk/kept/": 4 * time.Second, "/talk/chat/": 4 * time.Second}
	troubles := map[string]func(cluster *Cluster){
		"silent runners": func(cluster *Cluster) { setFault(cluster, standin.FaultHang) },
		"no stores": func(cluster *Cluster) {
			for _, store := range cluster.Stores {
				cluster.Network.Isolate(store.Host)
			}
		},
		"no controls": func(cluster *Cluster) {
			for _, control := range cluster.Controls {
				cluster.Network.Isolate(control.Host)
			}
		},
		"cut off": func(cluster *Cluster) { cluster.Network.Isolate(cluster.Fronts[0].Host) },
	}
	for name, fault := range troubles {
		t.Run(name, func(t *testing.T) {
			simulateRouted(t, func(t *testing.T, cluster *Cluster) {
				fault(cluster)
				var asking sync.WaitGroup
				for path, timeout := range timeouts {
					for number := range 6 {
						asking.Go(func() {
							cluster.Sleep(time.Duration(number) * 400 * time.Millisecond)
							name, began := fmt.Sprintf("held-%d", number), time.Now()
							answer := cluster.Forward(cluster.Fronts[0], forwarding.Request{
								Name: path + name, Path: path + name, Program: path + name, HasOutputBudget: true, OutputBudget: 1000, MaxOutputTokens: 40, Deadline: began.Add(20 * time.Second),
							})
							if took := time.Since(began); took > timeout+slack {
								t.Errorf("%s was held for %s, the route's timeout is %s: %d %v", path, took, timeout, answer.Status, answer.Err)
							}
						})
					}
				}
				asking.Wait()
			})
		})
	}
}

// TestPlannedWorkCutsNoAnswer: configs that change, seeds that are read again, runners that
// are listed as leaving and domains that are emptied cut nothing that is under way.
func TestPlannedWorkCutsNoAnswer(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		for _, machine := range cluster.Engines {
			machine.Engine.Latencies = standin.Latencies{FirstPiece: 300 * time.Millisecond, NextPiece: 400 * time.Millisecond, PlainAnswer: 800 * time.Millisecond}
		}
		var asking sync.WaitGroup
		var complete atomic.Int64
		for number := range 40 {
			kind := wildKinds[number%len(wildKinds)]
			asking.Go(func() {
				cluster.Sleep(time.Duration(number) * 20 * time.Millisecond)
				name := fmt.Sprintf("planned-%d", number)
				answer := cluster.Forward(cluster.Fronts[number/4%2], forwarding.Request{Name: name, Path: kind.path + name, Body: []byte(name), Program: name, HasOutputBudget: true, OutputBudget: 1000, MaxOutputTokens: 40})
				switch {
				case answer.Complete():
					complete.Add(1)
				case !answer.Rejected():
					t.Errorf("%s: %d %v", kind.path+name, answer.Status, answer.Err)
				}
			})
		}
		cluster.Sleep(500 * time.Millisecond)
		for revision := 2; revision <= 5; revision++ {
			changed := strings.Replace(RoutedConfig, "revision: 1", fmt.Sprintf("revision: %d", revision), 1)
			changed = strings.ReplaceAll(changed, `patience: "3s"`, fmt.Sprintf(`patience: "%ds"`, revision+1))
			if err := cluster.PutConfig(changed); err != nil {
				t.Error(err)
			}
			for _, machine := range cluster.Fronts {
				machine.Front.SetSeeds(cluster.seeds)
			}
		}
		if answer, err := cluster.Administer(http.MethodPost, "/v1/domains/middle", map[string]any{"state": feed.StateDrained}); err != nil || answer.Status != http.StatusOK {
			t.Errorf("%s, %v", answer, err)
		}
		leaving := []feed.Runner{}
		for position, machine := range cluster.Engines {
			listed := machine.Runner()
			if position%3 == 0 {
				listed.State = feed.StateDraining
			}
			leaving = append(leaving, listed)
		}
		cluster.RunnerList.Put(leaving)
		asking.Wait()
		if complete.Load() < 35 {
			t.Errorf("only %d of 40 are complete", complete.Load())
		}
		for _, machine := range cluster.Engines {
			if broken := machine.Engine.Cancelled(); len(broken) > 0 {
				t.Errorf("%s: %v were broken off", machine.Host, broken)
			}
		}
	})
}
