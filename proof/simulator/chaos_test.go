package simulator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/apierror"
	"yardrock.example/system/controlplane"
	"yardrock.example/system/forwarding"
	"yardrock.example/system/front"
)

// The parameters and bounds of a chaos run.
const (
	reconnectBound     = 3 * time.Second         // until a front has the current state after an outage
	drainBound         = 3 * time.Second         // until a draining runner gets no requests
	drainedDomainBound = 5 * time.Second         // until a drained domain gets no requests
	applyBound         = 2 * time.Second         // until fronts use an acknowledged routing
	answerSlack        = 250 * time.Millisecond  // from the first use of a routing until older ones are not used
	recoverBound       = 12 * time.Second        // until requests succeed after a total outage
	warmUpRate         = 6.0                     // requests per second in the routings' services
	warmUpMax          = int(warmUpRate*1.5) + 5 // requests to a runner in any second of its warm-up
	warmUpTime         = 3 * time.Second
	turnTokens         = 40 // maximum output tokens of a turn
	// warmUpNoticeBound is how long it may take until fronts know that a runner has restarted its
	// warm-up.
	warmUpNoticeBound = 1500 * time.Millisecond
)

// chaosRun runs programs on a cluster while faults are injected. It records the requests and
// answers of the callers and the runner processes; check compares them with what runners executed.
type chaosRun struct {
	t       *testing.T
	cluster *Cluster

	mutex          sync.Mutex
	sent           map[string]*sentRequest
	lastRequest    int
	fronts         []*frontProcess
	runners        []*runnerProcess
	lastHost       int
	routingChanges []*routingChange
	drainedSpans   []*drainedSpan
	outages        []*outageSpan
	budgets        map[string]uint64
	stopping       atomic.Bool // no new programs are started
	ended          atomic.Bool // no new turns are sent
	bootstrapping  atomic.Bool // control nodes that start may bootstrap a new cluster
	branches       sync.WaitGroup
}

// sentRequest is one attempt of a request and its outcome.
type sentRequest struct {
	request   forwarding.Request
	sentAt    time.Time
	endedAt   time.Time // zero while it is in flight
	front     *frontProcess
	answer    *ForwardedAnswer
	cancelled bool // by the caller before its deadline
	history   string
}

// frontProcess is one run of a front's process; a restart makes a new one.
type frontProcess struct {
	machine       *Machine
	node          *front.Node
	context       context.Context
	cancel        context.CancelFunc
	stopped       atomic.Bool
	draining      atomic.Bool
	drainingSince time.Time // zero if it does not drain
	inFlight      atomic.Int64
}

// runnerProcess is one run of a runner's process; a restart makes a new one.
type runnerProcess struct {
	machine       *EngineMachine
	engine        *standin.Engine
	group         string
	listed        bool
	listedAt      time.Time
	drainingSince time.Time
	stoppedAt     time.Time
	warmingUp     []warmUpSpan
}

// warmUpSpan is a warm-up. Its request rate is checked from checkedFrom on, when fronts must know
// of it.
type warmUpSpan struct{ from, checkedFrom, until time.Time }

// drainedSpan is a time in which a domain was drained.
type drainedSpan struct {
	domain            string
	drained, refilled time.Time
}

// outageSpan is an outage of a front, by host, or of control nodes or stores, as "core".
type outageSpan struct {
	where    string
	from, to time.Time // to is zero while it lasts
}

// chaosAnswer records an answer until its front is stopped.
type chaosAnswer struct {
	ForwardedAnswer
	process *frontProcess
}

var errFrontStopped = errors.New("the front has stopped")

func (answer *chaosAnswer) Begin(status int, header http.Header) error {
	if answer.process.stopped.Load() {
		return errFrontStopped
	}
	return answer.ForwardedAnswer.Begin(status, header)
}

func (answer *chaosAnswer) Write(data []byte) error {
	if answer.process.stopped.Load() {
		return errFrontStopped
	}
	return answer.ForwardedAnswer.Write(data)
}

// recordOutage records an outage that lasts until end is called.
func (chaos *chaosRun) recordOutage(where string) (end func()) {
	outage := &outageSpan{where: where, from: time.Now()}
	chaos.mutex.Lock()
	chaos.outages = append(chaos.outages, outage)
	chaos.mutex.Unlock()
	return func() {
		chaos.mutex.Lock()
		outage.to = time.Now()
		chaos.mutex.Unlock()
	}
}

func (chaos *chaosRun) startFront(machine *Machine) {
	if err := machine.Start(); err != nil {
		chaos.t.Errorf("starting a front: %v", err)
		return
	}
	chaos.trackFront(machine)
}

// trackFront adds the running front of a machine to those that callers use.
func (chaos *chaosRun) trackFront(machine *Machine) {
	process := &frontProcess{machine: machine, node: machine.Front}
	process.context, process.cancel = context.WithCancel(context.Background())
	chaos.mutex.Lock()
	chaos.fronts = append(chaos.fronts, process)
	chaos.mutex.Unlock()
}

// stopFront kills a front's process. What it answers afterwards reaches no caller.
func (chaos *chaosRun) stopFront(machine *Machine) {
	chaos.mutex.Lock()
	for _, process := range chaos.fronts {
		if process.machine == machine {
			process.stopped.Store(true)
		}
	}
	processes := chaos.fronts
	chaos.mutex.Unlock()
	machine.Kill()
	for _, process := range processes {
		if process.machine == machine {
			process.cancel()
		}
	}
}

// pickFront returns a random front that runs and does not drain, or nil.
func (chaos *chaosRun) pickFront(random *rand.Rand) *frontProcess {
	chaos.mutex.Lock()
	defer chaos.mutex.Unlock()
	serving := []*frontProcess{}
	for _, process := range chaos.fronts {
		if !process.stopped.Load() && !process.draining.Load() {
			serving = append(serving, process)
		}
	}
	if len(serving) == 0 {
		return nil
	}
	return serving[random.IntN(len(serving))]
}

// attempt sends a request once, with a new ID. If cancelAfter is not 0, the caller cancels it after
// that time. It returns nil if there is no front.
func (chaos *chaosRun) attempt(random *rand.Rand, request forwarding.Request, history string, timeout, cancelAfter time.Duration) *sentRequest {
	process := chaos.pickFront(random)
	if process == nil {
		return nil
	}
	chaos.mutex.Lock()
	chaos.lastRequest++
	request.ID = fmt.Sprintf("try-%d", chaos.lastRequest)
	request.Host, request.Target, request.ReceivedAt, request.Deadline = RoutedHost, request.Path, time.Now(), time.Now().Add(timeout)
	if request.Method == "" {
		request.Method = http.MethodPost
	}
	request.Header = http.Header{standin.HeaderNames.RequestID: {request.ID}, "X-Other": {"goes along"}}
	sent := &sentRequest{request: request, sentAt: time.Now(), front: process, history: history, cancelled: cancelAfter > 0}
	chaos.sent[request.ID] = sent
	chaos.mutex.Unlock()
	ctx, cancel := context.WithTimeout(process.context, timeout)
	if cancelAfter > 0 {
		ctx, cancel = context.WithTimeout(process.context, cancelAfter)
	}
	defer cancel()
	process.inFlight.Add(1)
	answer := &chaosAnswer{process: process}
	err := process.node.Forward(ctx, &request, answer)
	if process.stopped.Load() {
		err = errFrontStopped
	}
	process.inFlight.Add(-1)
	chaos.mutex.Lock()
	answer.Err = err
	sent.answer, sent.endedAt = &answer.ForwardedAnswer, time.Now()
	chaos.mutex.Unlock()
	return sent
}

// sendWithRetries sends a request and retries as callers do: after a guarantee that it did not run,
// and if it is idempotent, after any other failure except NotFound.
func (chaos *chaosRun) sendWithRetries(random *rand.Rand, request forwarding.Request, history string, repeatable bool, timeout time.Duration) *sentRequest {
	deadline := time.Now().Add(timeout)
	cancelAfter := time.Duration(0)
	if random.IntN(40) == 0 {
		cancelAfter = time.Duration(1+random.IntN(120)) * time.Millisecond
	}
	for attempts := 0; ; attempts++ {
		sent := chaos.attempt(random, request, history, time.Until(deadline), cancelAfter)
		if sent != nil {
			answer := sent.answer
			retry := answer.Rejected() || repeatable && !answer.Complete() && !apierror.Is(answer.Err, apierror.NotFound)
			if cancelAfter > 0 || !retry || attempts > 4 {
				return sent
			}
		}
		pause := time.Duration(100+random.IntN(200)) * time.Millisecond
		if time.Until(deadline) < 2*pause {
			return sent
		}
		<-time.After(pause)
	}
}

// probe sends requests for routes that were added or removed recently.
func (chaos *chaosRun) probe(random *rand.Rand) {
	for !chaos.ended.Load() {
		<-time.After(time.Duration(60+random.IntN(120)) * time.Millisecond)
		chaos.mutex.Lock()
		newest := chaos.routingChanges[len(chaos.routingChanges)-1].revision
		chaos.mutex.Unlock()
		revision := newest - min(newest-1, uint64(random.IntN(3)))
		chaos.attempt(random, forwarding.Request{Method: http.MethodGet, Path: fmt.Sprintf("/only-%d/x", revision)}, "", time.Second, 0)
	}
}

// chaosShape returns the shape of the cluster of a chaos run.
func chaosShape() Shape {
	shape := Shape{Controls: 3, Stores: 3, Fronts: 4, Models: 1, Applications: 1, Engines: 3, Tools: 3, AutoEnrol: true}
	shape.Adjust = func(_ *Cluster, settings *controlplane.Settings) { settings.MaxControls = 3 }
	return shape
}

// startChaos prepares a chaos run on a cluster of chaosShape and applies the first routing.
func startChaos(t *testing.T, cluster *Cluster) *chaosRun {
	chaos := &chaosRun{t: t, cluster: cluster, sent: map[string]*sentRequest{}, budgets: map[string]uint64{}, lastHost: 50}
	cluster.adjust = func(_ *Cluster, settings *controlplane.Settings) {
		settings.MaxControls, settings.JoinExisting = 3, !chaos.bootstrapping.Load()
	}
	chaos.setUp()
	return chaos
}

// TestChaosRunKeepsAllRules guards against lost, repeated, misrouted or mixed-up requests while
// machines, runners, domains and routes fail or change, and after a total outage.
func TestChaosRunKeepsAllRules(t *testing.T) {
	simulate(t, chaosShape(), func(t *testing.T, cluster *Cluster) {
		chaos := startChaos(t, cluster)
		var workers sync.WaitGroup
		duration := 45 * time.Second
		until := time.Now().Add(duration)
		for position, work := range []func(*rand.Rand, time.Time){chaos.machineFaults, chaos.runnerFaults, chaos.answerFaults, chaos.changeRoutings, chaos.runPrograms} {
			workers.Go(func() { work(cluster.Random(uint64(60+position)), until) })
		}
		workers.Go(func() { chaos.probe(cluster.Random(70)) })
		<-time.After(duration)
		chaos.stopping.Store(true)
		<-time.After(8 * time.Second)
		chaos.ended.Store(true)
		chaos.branches.Wait()
		workers.Wait()
		chaos.outage(cluster.Random(71))
		chaos.check()
	})
}

func pathOf(request forwarding.Request) string {
	path, _, _ := strings.Cut(request.Path, "?")
	return path
}
