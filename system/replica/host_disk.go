package replica

import (
	"iter"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/durablelog"
)

// diskRetryDelay is the wait after a failed write before it is tried again.
const diskRetryDelay = 200 * time.Millisecond

// diskJob is what the disk goroutine makes durable with one sync.
type diskJob struct {
	// snapshot, if set, has the records of a new snapshot file, which replaces the log.
	snapshot iter.Seq[durablelog.Record]
	// records are appended to the log.
	records []durablelog.Record
	// callbacks are called on the loop once the job is durable.
	callbacks []func()
	started   time.Time
}

// diskLoop is the disk goroutine. It ends when diskJobs is closed, or stopping while a write
// fails. finishedJobs has room for the last job, so that it does not wait for a loop that has
// ended.
func (host *Host) diskLoop() {
	defer close(host.diskStopped)
	for job := range host.diskJobs {
		for {
			err := host.runJob(job)
			if err == nil {
				host.figures.syncs.Add(1)
				break
			}
			log.WithFields(log.Fields{"node": host.name, "error": err.Error()}).Error("writing to the data folder failed; it is tried again")
			select {
			case <-time.After(diskRetryDelay):
			case <-host.stopping:
				return
			}
		}
		host.finishedJobs <- job
	}
}

// runJob makes a job durable. After an error it may be called again.
func (host *Host) runJob(job *diskJob) error {
	if job.snapshot != nil {
		return host.durableLog.WriteSnapshot(job.snapshot)
	}
	if len(job.records) > 0 {
		return host.durableLog.Append(job.records)
	}
	return nil // only callbacks, which waited for the job before
}
