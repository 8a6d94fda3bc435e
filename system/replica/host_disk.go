package replica

import (
	"iter"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/durablelog"
)

type diskJob struct {
	// slot, if set, gives the records of a whole slot; records are those for the log.
	snapshot  iter.Seq[durablelog.Record]
	records   []durablelog.Record
	callbacks []func()
	started   time.Time
}

const diskRetryDelay = 200 * time.Millisecond

func (host *Host) diskLoop() {
	for job := range host.diskJobs {
		for {
			var err error
			if job.snapshot != nil {
				err = host.durableLog.WriteSnapshot(job.snapshot)
			} else if len(job.records) > 0 {
				err = host.durableLog.Append(job.records)
			}
			if err == nil {
				break
			}
			log.WithFields(log.Fields{"node": host.name, "error": err.Error()}).Error("disk_write_failed")
			select {
			case <-time.After(diskRetryDelay):
			case <-host.stopping:
				return
			}
		}
		host.finishedJobs <- job
	}
}
