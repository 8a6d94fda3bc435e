package replica

import (
	"iter"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/durablelog"
)

// diskRetryDelay is the delay before a failed write is retried.
const diskRetryDelay = 200 * time.Millisecond

// diskJob is a unit of work for the disk goroutine, made durable with one sync.
type diskJob struct {
	// snapshot, if not nil, contains the records of a new snapshot file, which replaces the log.
	snapshot iter.Seq[durablelog.Record]
	// records are appended to the log.
	records []durablelog.Record
	// callbacks are called on the loop once the job is durable.
	callbacks []func()
	started   time.Time
}

// diskLoop runs the disk goroutine. It ends when diskJobs is closed, or when stopping is closed
// while a write fails. finishedJobs is buffered so that the last job does not block after the
// loop has ended.
func (host *Host) diskLoop() {
	defer close(host.diskStopped)
	for job := range host.diskJobs {
		for {
			err := host.runJob(job)
			if err == nil {
				host.stats.completedJobs.Add(1)
				break
			}
			log.WithFields(log.Fields{"node": host.name, "error": err.Error()}).Error("write to the data directory failed; retrying")
			select {
			case <-time.After(diskRetryDelay):
			case <-host.stopping:
				return
			}
		}
		host.finishedJobs <- job
	}
}

// runJob makes a job durable. It may be called again after an error.
func (host *Host) runJob(job *diskJob) error {
	if job.snapshot != nil {
		return host.durableLog.WriteSnapshot(job.snapshot)
	}
	if len(job.records) > 0 {
		return host.durableLog.Append(job.records)
	}
	return nil // only callbacks, which waited for the previous job
}
