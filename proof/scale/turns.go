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
	// turnBytes is the size of each turn's input, and of its output.
	turnBytes    = 2048
	makingAtOnce = 16
	turnTimeout  = 10 * time.Second
)

// program is a program whose first turn, stored before the measurement, is the history.
type program struct {
	line, first string
	busy        atomic.Bool
}

// text returns words drawn from a few hundred, which compress about as well as answers of a model.
func text(size int, random *rand.Rand) []byte {
	var made bytes.Buffer
	for made.Len() < size {
		fmt.Fprintf(&made, "word%03d ", random.IntN(700))
	}
	return made.Bytes()[:size]
}

// turn begins and ends a turn that follows another one of its session.
func turn(ctx context.Context, stores *storeclient.Client, program, name, follows string, input, output []byte) (begun, ended time.Duration, history int, err error) {
	ctx, cancel := context.WithTimeout(ctx, turnTimeout)
	defer cancel()
	sent := time.Now()
	began, err := stores.BeginTurn(ctx, storeclient.Turn{SessionName: program, Name: name, Follows: follows, Input: input, KeepHistory: true, Retention: time.Hour, DispatchID: "scale/" + name, Lifetime: time.Minute, HasTokenQuota: true, MaxOutputTokens: 100, TokenQuota: 1 << 40})
	if err != nil {
		return 0, 0, 0, err
	}
	begun = time.Since(sent)
	sent = time.Now()
	err = stores.EndTurn(ctx, storeclient.TurnEnd{SessionName: program, Name: name, Seq: began.Seq, Output: output, Tokens: 80, Outcome: sessionlog.OutcomeComplete, KeepHistory: true})
	return begun, time.Since(sent), len(began.History), err
}

// makePrograms stores the histories of all programs.
func (trial *stepRun) makePrograms(ctx context.Context) error {
	stores := storeclient.New(trial.caller, trial.hollow.Nodes()[0].View)
	waiting := make(chan *program, trial.step.Programs)
	for position := range trial.step.Programs {
		made := &program{line: fmt.Sprintf("program/%06d", position), first: fmt.Sprintf("first-%06d", position)}
		trial.programs = append(trial.programs, made)
		waiting <- made
	}
	close(waiting)
	before, err := trial.stores()
	if err != nil {
		return err
	}
	var making sync.WaitGroup
	failed := make(chan error, makingAtOnce)
	for worker := range makingAtOnce {
		making.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(worker)))
			for made := range waiting {
				history := text(trial.step.History<<10, random)
				if _, _, _, err := turn(ctx, stores, made.line, made.first, "", history[:len(history)/2], history[len(history)/2:]); err != nil {
					failed <- fmt.Errorf("%s: %w", made.line, err)
					return
				}
			}
		})
	}
	making.Wait()
	select {
	case err := <-failed:
		return err
	default:
	}
	after, err := trial.stores()
	if err != nil {
		return err
	}
	trial.measurement.Figures["programs.store_memory_mib"] = after.memory - before.memory
	trial.measurement.Figures["programs.store_processor_s"] = after.seconds - before.seconds
	trial.measurement.Figures["programs.store_written_mib"] = after.written - before.written
	return nil
}

// storeUsage is what all stores have used up to a time; memory and disk in MiB.
type storeUsage struct{ seconds, memory, written float64 }

func (trial *stepRun) stores() (storeUsage, error) {
	sum := storeUsage{}
	for _, store := range trial.fleet.ProcessesOf("store") {
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
		sum.seconds += usage.Seconds
		sum.memory += usage.Memory
		sum.written += float64(disk.WriteBytes) / (1 << 20)
	}
	return sum, nil
}

// turnLoad is what turns under load took, and how many did not succeed.
type turnLoad struct {
	begins, ends []time.Duration
	historyBytes int
	failed, late int
	failure      error // of the last one that failed
	seconds      float64
}

// turns begins and ends turns at an even rate, each following the history of a program, and
// measures the cost of one beyond that of idle stores.
func (trial *stepRun) turns(ctx context.Context) error {
	before, err := trial.sample(ctx)
	if err != nil {
		return err
	}
	used, err := trial.stores()
	if err != nil {
		return err
	}
	load := trial.driveTurns(ctx)
	after, err := trial.sample(ctx)
	if err != nil {
		return err
	}
	usedAfter, err := trial.stores()
	if err != nil {
		return err
	}
	if len(load.begins) == 0 {
		return fmt.Errorf("no turn ended: %w", load.failure)
	}
	trial.reportTurns(load)
	trial.reportStoreLoad(load, before, after, used, usedAfter)
	return nil
}

// driveTurns runs the step's turns for the idle period's length. A turn whose program is still
// busy with the one before it counts as late and is left out.
func (trial *stepRun) driveTurns(ctx context.Context) *turnLoad {
	stores := storeclient.New(trial.caller, trial.hollow.Nodes()[0].View)
	load := &turnLoad{}
	var mutex sync.Mutex
	var running sync.WaitGroup
	random := rand.New(rand.NewPCG(2, 2))
	input, output := text(turnBytes, random), text(turnBytes, random)
	ticker := time.NewTicker(time.Second / time.Duration(trial.step.Turns))
	defer ticker.Stop()
	began := time.Now()
	for number := 0; time.Since(began) < trial.settings.IdlePeriod && ctx.Err() == nil; number++ {
		<-ticker.C
		chosen := trial.programs[number%len(trial.programs)]
		if !chosen.busy.CompareAndSwap(false, true) {
			load.late++
			continue
		}
		running.Go(func() {
			defer chosen.busy.Store(false)
			begun, ended, history, err := turn(ctx, stores, chosen.line, fmt.Sprintf("turn-%06d", number), chosen.first, input, output)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				load.failed, load.failure = load.failed+1, err
				return
			}
			load.begins, load.ends, load.historyBytes = append(load.begins, begun), append(load.ends, ended), load.historyBytes+history
		})
	}
	running.Wait()
	load.seconds = time.Since(began).Seconds()
	slices.Sort(load.begins)
	slices.Sort(load.ends)
	return load
}

// reportTurns adds the figures that the callers measured.
func (trial *stepRun) reportTurns(load *turnLoad) {
	figures, count := trial.measurement.Figures, float64(len(load.begins))
	figures["turns.per_s"] = count / load.seconds
	figures["turns.failed_share"] = float64(load.failed) / (count + float64(load.failed))
	figures["turns.late_share"] = float64(load.late) / (count + float64(load.late))
	figures["turn.history_kib"] = float64(load.historyBytes) / count / 1024
	figures["turn.begin_median_s"], figures["turn.begin_most_s"] = load.begins[len(load.begins)/2].Seconds(), load.begins[len(load.begins)-1].Seconds()
	figures["turn.end_median_s"], figures["turn.end_most_s"] = load.ends[len(load.ends)/2].Seconds(), load.ends[len(load.ends)-1].Seconds()
}

// reportStoreLoad adds the figures of the stores, from two samples around the load.
func (trial *stepRun) reportStoreLoad(load *turnLoad, before, after usageSample, used, usedAfter storeUsage) {
	sent, received, messages := 0.0, 0.0, 0.0
	for _, store := range trial.fleet.ProcessesOf("store") {
		rate := RateOf(before.processes[store.Name], after.processes[store.Name])
		seconds := after.processes[store.Name].At.Sub(before.processes[store.Name].At).Seconds()
		sent, received, messages = sent+rate.BytesOut*seconds, received+rate.BytesIn*seconds, messages+rate.Messages*seconds
	}
	figures, count, stores := trial.measurement.Figures, float64(len(load.begins)), float64(len(trial.fleet.ProcessesOf("store")))
	idle := figures["store.cores"] * stores * load.seconds
	figures["turns.stores_cores"] = (usedAfter.seconds - used.seconds) / load.seconds
	figures["turn.stores_processor_ms"] = (usedAfter.seconds - used.seconds - idle) / count * 1000
	figures["turn.stores_written_kib"] = (usedAfter.written - used.written) * 1024 / count
	figures["turn.stores_sent_kib"] = (sent - figures["store.bytes_out_per_s"]*stores*load.seconds) / count / 1024
	figures["turn.stores_received_kib"] = (received - figures["store.bytes_in_per_s"]*stores*load.seconds) / count / 1024
	figures["turn.stores_messages"] = (messages - figures["store.messages_per_s"]*stores*load.seconds) / count
}

// restartStore kills a store, starts it again and measures the time until it is ready.
func (trial *stepRun) restartStore(ctx context.Context) error {
	store := trial.fleet.ProcessesOf("store")[0]
	store.Kill()
	began := time.Now()
	if err := store.Start(); err != nil {
		return err
	}
	if err := fleet.AwaitReady(ctx, store.PublicAddress); err != nil {
		return err
	}
	trial.measurement.Figures["restart.store_s"] = time.Since(began).Seconds()
	usage, err := UsageOf(store.PID())
	trial.measurement.Figures["restart.store_processor_s"] = usage.Seconds
	return err
}
