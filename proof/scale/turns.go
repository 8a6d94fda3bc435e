package scale

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/procfs"

	"yardrock.example/proof/fleet"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/storeclient"
)

const (
	// turnBytes is the size of the input and of the output of each turn.
	turnBytes       = 2048
	programCreators = 16
	turnTimeout     = 10 * time.Second
)

// program is a session whose first turn, stored before the measurement, is the history that all
// measured turns continue.
type program struct {
	sessionName, firstTurn string
	busy                   atomic.Bool
}

// randomWords returns text from a vocabulary of 700 words, which compresses about as well as model
// output.
func randomWords(size int, random *rand.Rand) []byte {
	var buffer bytes.Buffer
	for buffer.Len() < size {
		fmt.Fprintf(&buffer, "word%03d ", random.IntN(700))
	}
	return buffer.Bytes()[:size]
}

// runTurn begins and ends a turn that follows another one of its session. It returns the latency of
// both calls and the size of the history that the first one returned.
func runTurn(ctx context.Context, stores *storeclient.Client, program, name, follows string, input, output []byte) (beginLatency, endLatency time.Duration, historyBytes int, err error) {
	ctx, cancel := context.WithTimeout(ctx, turnTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := stores.BeginTurn(ctx, storeclient.Turn{SessionName: program, Name: name, Follows: follows, Input: input, KeepHistory: true, Retention: time.Hour, DispatchID: "scale/" + name, Lifetime: time.Minute, HasTokenQuota: true, MaxOutputTokens: 100, TokenQuota: 1 << 40})
	if err != nil {
		return 0, 0, 0, err
	}
	beginLatency = time.Since(sent)
	sent = time.Now()
	err = stores.EndTurn(ctx, storeclient.TurnEnd{SessionName: program, Name: name, Seq: reply.Seq, Output: output, Tokens: 80, Outcome: sessionlog.OutcomeComplete, KeepHistory: true})
	return beginLatency, time.Since(sent), len(reply.History), err
}

// createPrograms stores the histories of all programs and measures the usage of the stores.
func (run *stepRun) createPrograms(ctx context.Context) error {
	stores := storeclient.New(run.caller, run.hollow.Nodes()[0].View)
	queue := make(chan *program, run.step.Programs)
	for position := range run.step.Programs {
		created := &program{sessionName: fmt.Sprintf("program/%06d", position), firstTurn: fmt.Sprintf("first-%06d", position)}
		run.programs = append(run.programs, created)
		queue <- created
	}
	close(queue)
	before, err := run.sampleStores()
	if err != nil {
		return err
	}
	var workers sync.WaitGroup
	failures := make(chan error, programCreators)
	for worker := range programCreators {
		workers.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(worker)))
			for created := range queue {
				history := randomWords(run.step.History<<10, random)
				if _, _, _, err := runTurn(ctx, stores, created.sessionName, created.firstTurn, "", history[:len(history)/2], history[len(history)/2:]); err != nil {
					failures <- fmt.Errorf("%s: %w", created.sessionName, err)
					return
				}
			}
		})
	}
	workers.Wait()
	select {
	case err := <-failures:
		return err
	default:
	}
	after, err := run.sampleStores()
	if err != nil {
		return err
	}
	run.measurement.Figures["programs.store_memory_mib"] = after.memory - before.memory
	run.measurement.Figures["programs.store_processor_s"] = after.seconds - before.seconds
	run.measurement.Figures["programs.store_written_mib"] = after.written - before.written
	return nil
}

// storeUsage is the cumulative usage of all stores: CPU seconds, resident MiB and MiB written to disk.
type storeUsage struct{ seconds, memory, written float64 }

func (run *stepRun) sampleStores() (storeUsage, error) {
	sum := storeUsage{}
	for _, store := range run.fleet.ProcessesOf("store") {
		usage, err := UsageOf(store.PID())
		if err != nil {
			return sum, err
		}
		process, err := procfs.NewProc(store.PID())
		if err != nil {
			return sum, err
		}
		disk, err := process.IO()
		if err != nil {
			return sum, err
		}
		sum.seconds += usage.CPUSeconds
		sum.memory += usage.Memory
		sum.written += float64(disk.WriteBytes) / (1 << 20)
	}
	return sum, nil
}

// turnResults has the latencies and counts of the turns of a measurement.
type turnResults struct {
	beginLatencies, endLatencies []time.Duration
	historyBytes                 int
	failed, skipped              int
	lastErr                      error // of the last failed turn
	seconds                      float64
}

// measureTurns runs turns at a constant rate, each following the history of a program, and measures
// their latency and the usage of the stores per turn.
func (run *stepRun) measureTurns(ctx context.Context) error {
	before, err := run.sampleUsage(ctx)
	if err != nil {
		return err
	}
	storesBefore, err := run.sampleStores()
	if err != nil {
		return err
	}
	results := run.driveTurns(ctx)
	after, err := run.sampleUsage(ctx)
	if err != nil {
		return err
	}
	storesAfter, err := run.sampleStores()
	if err != nil {
		return err
	}
	if len(results.beginLatencies) == 0 {
		return fmt.Errorf("no turn succeeded: %w", results.lastErr)
	}
	run.reportTurns(results)
	run.reportStoreLoad(results, before, after, storesBefore, storesAfter)
	return nil
}

// driveTurns runs the step's turns for the duration of the idle period. A turn whose program is
// still busy with the previous one is skipped and counted.
func (run *stepRun) driveTurns(ctx context.Context) *turnResults {
	stores := storeclient.New(run.caller, run.hollow.Nodes()[0].View)
	results := &turnResults{}
	var mutex sync.Mutex
	var workers sync.WaitGroup
	random := rand.New(rand.NewPCG(2, 2))
	input, output := randomWords(turnBytes, random), randomWords(turnBytes, random)
	ticker := time.NewTicker(time.Second / time.Duration(run.step.Turns))
	defer ticker.Stop()
	began := time.Now()
	for number := 0; time.Since(began) < run.settings.IdlePeriod && ctx.Err() == nil; number++ {
		<-ticker.C
		chosen := run.programs[number%len(run.programs)]
		if !chosen.busy.CompareAndSwap(false, true) {
			results.skipped++
			continue
		}
		workers.Go(func() {
			defer chosen.busy.Store(false)
			beginLatency, endLatency, historyBytes, err := runTurn(ctx, stores, chosen.sessionName, fmt.Sprintf("turn-%06d", number), chosen.firstTurn, input, output)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				results.failed, results.lastErr = results.failed+1, err
				return
			}
			results.beginLatencies, results.endLatencies, results.historyBytes = append(results.beginLatencies, beginLatency), append(results.endLatencies, endLatency), results.historyBytes+historyBytes
		})
	}
	workers.Wait()
	results.seconds = time.Since(began).Seconds()
	slices.Sort(results.beginLatencies)
	slices.Sort(results.endLatencies)
	return results
}

// reportTurns adds the figures measured by the clients.
func (run *stepRun) reportTurns(results *turnResults) {
	figures, count := run.measurement.Figures, float64(len(results.beginLatencies))
	figures["turns.per_s"] = count / results.seconds
	figures["turns.failed_share"] = float64(results.failed) / (count + float64(results.failed))
	figures["turns.late_share"] = float64(results.skipped) / (count + float64(results.skipped))
	figures["turn.history_kib"] = float64(results.historyBytes) / count / 1024
	figures["turn.begin_median_s"], figures["turn.begin_most_s"] = results.beginLatencies[len(results.beginLatencies)/2].Seconds(), results.beginLatencies[len(results.beginLatencies)-1].Seconds()
	figures["turn.end_median_s"], figures["turn.end_most_s"] = results.endLatencies[len(results.endLatencies)/2].Seconds(), results.endLatencies[len(results.endLatencies)-1].Seconds()
}

// reportStoreLoad adds the usage of the stores between two samples around the load. Figures per turn
// exclude the idle usage, except for the bytes written to disk.
func (run *stepRun) reportStoreLoad(results *turnResults, before, after usageSample, storesBefore, storesAfter storeUsage) {
	sent, received, messages := 0.0, 0.0, 0.0
	for _, store := range run.fleet.ProcessesOf("store") {
		rate := RateOf(before.processes[store.Name], after.processes[store.Name])
		seconds := after.processes[store.Name].At.Sub(before.processes[store.Name].At).Seconds()
		sent, received, messages = sent+rate.BytesOut*seconds, received+rate.BytesIn*seconds, messages+rate.Messages*seconds
	}
	figures, count, stores := run.measurement.Figures, float64(len(results.beginLatencies)), float64(len(run.fleet.ProcessesOf("store")))
	idle := figures["store.cores"] * stores * results.seconds
	figures["turns.stores_cores"] = (storesAfter.seconds - storesBefore.seconds) / results.seconds
	figures["turn.stores_processor_ms"] = (storesAfter.seconds - storesBefore.seconds - idle) / count * 1000
	figures["turn.stores_written_kib"] = (storesAfter.written - storesBefore.written) * 1024 / count
	figures["turn.stores_sent_kib"] = (sent - figures["store.bytes_out_per_s"]*stores*results.seconds) / count / 1024
	figures["turn.stores_received_kib"] = (received - figures["store.bytes_in_per_s"]*stores*results.seconds) / count / 1024
	figures["turn.stores_messages"] = (messages - figures["store.messages_per_s"]*stores*results.seconds) / count
}

// restartStore kills and restarts a store, and measures the time until it is ready.
func (run *stepRun) restartStore(ctx context.Context) error {
	store := run.fleet.ProcessesOf("store")[0]
	store.Kill()
	began := time.Now()
	if err := store.Start(); err != nil {
		return err
	}
	if err := fleet.AwaitReady(ctx, store.PublicAddress); err != nil {
		return err
	}
	run.measurement.Figures["restart.store_s"] = time.Since(began).Seconds()
	usage, err := UsageOf(store.PID())
	run.measurement.Figures["restart.store_processor_s"] = usage.CPUSeconds
	return err
}
