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

// The bounds that a chaos run is checked against, most of them from the users' brief.
const (
	inTouch            = 3 * time.Second
	drainBound         = 3 * time.Second
	drainedDomainBound = 5 * time.Second
	applyBound         = 2 * time.Second
	answerSlack        = 250 * time.Millisecond
	recoverBound       = 12 * time.Second
	warmUpRate         = 6.0
	warmUpMax          = int(warmUpRate*1.5) + 5
	warmUpTime         = 3 * time.Second
	turnTokens         = 40 // the most of one turn
	// warmUpNoticeBound is how long it may take until a runner that became cold by itself is
	// known as such.
	warmUpNoticeBound = 1500 * time.Millisecond
)

// chaosRun is a run in which callers run programs on a cluster while faults are injected. It
// records what callers sent, what they got and what runners executed; check compares them.
type chaosRun struct {
	t       *testing.T
	cluster *Cluster

	mutex    sync.Mutex
	sent     map[string]*sentRequest
	names    int
	fronts   []*frontLife
	runners  []*runnerLife
	hosts    int
	orders   []*routingChange
	drained  []*drainedSpan
	outages  []*outageSpan
	budgets  map[string]uint64
	stopping atomic.Bool // no new programs
	ended    atomic.Bool // no new turns
	founds   atomic.Bool // the control nodes that start found the fleet anew
	working  sync.WaitGroup
}

// sentRequest is one attempt of a caller and its outcome.
type sentRequest struct {
	request forwarding.Request
	at      time.Time
	back    time.Time // zero while it is open
	front   *frontLife
	answer  *ForwardedAnswer
	left    bool // the caller left early
	chain   string
}

// frontLife is one life of a front's process.
type frontLife struct {
	machine *Machine
	node    *front.Node
	context context.Context
	cancel  context.CancelFunc
	dead    atomic.Bool
	leaving atomic.Bool
	left    time.Time // when it began to leave in order
	open    atomic.Int64
}

// runnerLife is one life of a runner.
type runnerLife struct {
	machine   *EngineMachine
	engine    *standin.Engine
	group     string
	listed    bool
	listedAt  time.Time
	leavingAt time.Time
	endedAt   time.Time
	warmingUp []warmUpSpan
}

type warmUpSpan struct{ from, judged, until time.Time }

type drainedSpan struct {
	domain            string
	drained, refilled time.Time
}

// outageSpan is a time in which a front, or the control nodes and stores ("core"), are out of
// contact.
type outageSpan struct {
	where    string
	from, to time.Time // to is zero while it lasts
}

// chaosAnswer records an answer as long as its front lives.
type chaosAnswer struct {
	ForwardedAnswer
	life *frontLife
}

var errDead = errors.New("the front is dead")

func (answer *chaosAnswer) Begin(status int, header http.Header) error {
	if answer.life.dead.Load() {
		return errDead
	}
	return answer.ForwardedAnswer.Begin(status, header)
}

func (answer *chaosAnswer) Write(data []byte) error {
	if answer.life.dead.Load() {
		return errDead
	}
	return answer.ForwardedAnswer.Write(data)
}

func (chaos *chaosRun) note(where string) (end func()) {
	one := &outageSpan{where: where, from: time.Now()}
	chaos.mutex.Lock()
	chaos.outages = append(chaos.outages, one)
	chaos.mutex.Unlock()
	return func() {
		chaos.mutex.Lock()
		one.to = time.Now()
		chaos.mutex.Unlock()
	}
}

func (chaos *chaosRun) startFront(machine *Machine) {
	if err := machine.Start(); err != nil {
		chaos.t.Errorf("a front does not start: %v", err)
		return
	}
	chaos.adopt(machine)
}

func (chaos *chaosRun) adopt(machine *Machine) {
	life := &frontLife{machine: machine, node: machine.Front}
	life.context, life.cancel = context.WithCancel(context.Background())
	chaos.mutex.Lock()
	chaos.fronts = append(chaos.fronts, life)
	chaos.mutex.Unlock()
}

// endFront ends a front's life: what it answers afterwards reaches no caller.
func (chaos *chaosRun) endFront(machine *Machine) {
	chaos.mutex.Lock()
	for _, life := range chaos.fronts {
		if life.machine == machine {
			life.dead.Store(true)
		}
	}
	lives := chaos.fronts
	chaos.mutex.Unlock()
	machine.Kill()
	for _, life := range lives {
		if life.machine == machine {
			life.cancel()
		}
	}
}

// pick returns a front to which callers are sent, nil if there is none.
func (chaos *chaosRun) pick(random *rand.Rand) *frontLife {
	chaos.mutex.Lock()
	defer chaos.mutex.Unlock()
	open := []*frontLife{}
	for _, life := range chaos.fronts {
		if !life.dead.Load() && !life.leaving.Load() {
			open = append(open, life)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return open[random.IntN(len(open))]
}

// attempt sends a request once, under a new ID.
func (chaos *chaosRun) attempt(random *rand.Rand, request forwarding.Request, chain string, timeout, leaves time.Duration) *sentRequest {
	life := chaos.pick(random)
	if life == nil {
		return nil
	}
	chaos.mutex.Lock()
	chaos.names++
	request.Name = fmt.Sprintf("try-%d", chaos.names)
	request.Host, request.Target, request.ReceivedAt, request.Deadline = RoutedHost, request.Path, time.Now(), time.Now().Add(timeout)
	if request.Method == "" {
		request.Method = http.MethodPost
	}
	request.Header = http.Header{standin.HeaderNames.RequestID: {request.Name}, "X-Other": {"goes along"}}
	sent := &sentRequest{request: request, at: time.Now(), front: life, chain: chain, left: leaves > 0}
	chaos.sent[request.Name] = sent
	chaos.mutex.Unlock()
	ctx, cancel := context.WithTimeout(life.context, timeout)
	if leaves > 0 {
		ctx, cancel = context.WithTimeout(life.context, leaves)
	}
	defer cancel()
	life.open.Add(1)
	answer := &chaosAnswer{life: life}
	err := life.node.Forward(ctx, &request, answer)
	if life.dead.Load() {
		err = errDead
	}
	life.open.Add(-1)
	chaos.mutex.Lock()
	answer.Err = err
	sent.answer, sent.back = &answer.ForwardedAnswer, time.Now()
	chaos.mutex.Unlock()
	return sent
}

// ask retries as callers do: after a guarantee that a request did not run, and idempotent requests
// after any failure.
func (chaos *chaosRun) ask(random *rand.Rand, request forwarding.Request, chain string, repeatable bool, timeout time.Duration) *sentRequest {
	until := time.Now().Add(timeout)
	leaves := time.Duration(0)
	if random.IntN(40) == 0 {
		leaves = time.Duration(1+random.IntN(120)) * time.Millisecond
	}
	for attempts := 0; ; attempts++ {
		sent := chaos.attempt(random, request, chain, time.Until(until), leaves)
		if sent != nil {
			answer := sent.answer
			again := answer.Rejected() || repeatable && !answer.Complete() && !apierror.Is(answer.Err, apierror.NotFound)
			if leaves > 0 || !again || attempts > 4 {
				return sent
			}
		}
		pause := time.Duration(100+random.IntN(200)) * time.Millisecond
		if time.Until(until) < 2*pause {
			return sent
		}
		<-time.After(pause)
	}
}

// probe sends requests to fronts on routes that were just added or removed.
func (chaos *chaosRun) probe(random *rand.Rand) {
	for !chaos.ended.Load() {
		<-time.After(time.Duration(60+random.IntN(120)) * time.Millisecond)
		chaos.mutex.Lock()
		newest := chaos.orders[len(chaos.orders)-1].revision
		chaos.mutex.Unlock()
		revision := newest - min(newest-1, uint64(random.IntN(3)))
		chaos.attempt(random, forwarding.Request{Method: http.MethodGet, Path: fmt.Sprintf("/only-%d/x", revision)}, "", time.Second, 0)
	}
}

// chaosShape is the fleet of a chaos run.
func chaosShape() Shape {
	shape := Shape{Controls: 3, Stores: 3, Fronts: 4, Models: 1, Applications: 1, Engines: 3, Tools: 3, AutoEnrol: true}
	shape.Adjust = func(_ *Cluster, settings *controlplane.Settings) { settings.MaxControls = 3 }
	return shape
}

// startChaos puts the first routing in force on a cluster of chaosShape.
func startChaos(t *testing.T, cluster *Cluster) *chaosRun {
	chaos := &chaosRun{t: t, cluster: cluster, sent: map[string]*sentRequest{}, budgets: map[string]uint64{}, hosts: 50}
	cluster.adjust = func(_ *Cluster, settings *controlplane.Settings) {
		settings.MaxControls, settings.JoinExisting = 3, !chaos.founds.Load()
	}
	chaos.begin()
	return chaos
}

// TestChaosRunKeepsAllRules runs programs over four fronts while machines,
// runners, domains and routes fail or change, ends with a total outage, and checks what ran at the
// runners and what the callers got.
func TestChaosRunKeepsAllRules(t *testing.T) {
	simulate(t, chaosShape(), func(t *testing.T, cluster *Cluster) {
		chaos := startChaos(t, cluster)
		var day sync.WaitGroup
		length := 45 * time.Second
		until := time.Now().Add(length)
		for position, work := range []func(*rand.Rand, time.Time){chaos.machineFaults, chaos.runnerFaults, chaos.answerFaults, chaos.operate, chaos.runPrograms} {
			day.Go(func() { work(cluster.Random(uint64(60+position)), until) })
		}
		day.Go(func() { chaos.probe(cluster.Random(70)) })
		<-time.After(length)
		chaos.stopping.Store(true)
		<-time.After(8 * time.Second)
		chaos.ended.Store(true)
		chaos.working.Wait()
		day.Wait()
		chaos.outage(cluster.Random(71))
		chaos.check()
	})
}

func pathOf(request forwarding.Request) string {
	path, _, _ := strings.Cut(request.Path, "?")
	return path
}
