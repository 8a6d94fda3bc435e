package durablelog

import (
	"errors"
	"io/fs"
	"slices"
	"strconv"
	"strings"
)

// replay gives the records of the newest whole slot and of all logs from it on.
func (log *Log) replay(names []string) ([]Record, error) {
	snapshot, err := log.newestCompleteSnapshot(names)
	if err != nil {
		return nil, err
	}
	logs, err := logGenerations(names)
	if err != nil {
		return nil, err
	}
	if err := log.checkLogs(snapshot, logs); err != nil {
		return nil, err
	}
	log.snapshotGeneration, log.snapshotFile, log.snapshotBytes = snapshot.generation, snapshot.fileName, snapshot.size
	log.generation, log.oldestLogGeneration = snapshot.generation, snapshot.generation
	if len(logs) > 0 {
		log.generation = max(snapshot.generation, logs[len(logs)-1])
		log.oldestLogGeneration = min(snapshot.generation, logs[0])
	}
	records := snapshot.records
	for generation := snapshot.generation; generation <= log.generation; generation++ {
		more, err := log.replayLog(generation, generation == log.generation)
		if err != nil {
			return nil, err
		}
		records = append(records, more...)
	}
	return records, nil
}

// logGenerations gives the generations of the logs, in order. A file that is named like
// state, but is none, shows that the folder was meddled with.
func logGenerations(names []string) ([]uint64, error) {
	logs := []uint64{}
	for _, name := range names {
		number, isLog := strings.CutPrefix(name, logPrefix)
		if strings.HasPrefix(name, snapshotPrefix) && !slices.Contains(snapshotFiles, name) {
			return nil, damagedError("the data folder has a file %s, which is no slot", name)
		}
		if !isLog {
			continue
		}
		generation, err := strconv.ParseUint(number, 10, 64)
		if err != nil || logName(generation) != name {
			return nil, damagedError("the data folder has a file %s, which is no log", name)
		}
		logs = append(logs, generation)
	}
	slices.Sort(logs)
	return logs, nil
}

// checkLogs refuses a folder that lacks a log that must be there. A log is made before
// the slot that it follows, so its absence is a loss; only folders of format 1 and their
// slots leave it open whether the newest log was ever made.
func (log *Log) checkLogs(snapshot snapshot, logs []uint64) error {
	first := snapshot.generation
	strict := snapshot.streamed || !snapshot.found && log.identity.Format >= logFirstFormat
	later := len(logs) > 0 && (logs[len(logs)-1] > first || !snapshot.found)
	if !slices.Contains(logs, first) && (strict || later) {
		return damagedError("no readable slot precedes the logs that are left (log %d is missing)", first)
	}
	if strict && snapshot.otherTorn && !slices.Contains(logs, first+1) {
		return damagedError("a slot cannot be read, and the log that was made before it (log %d) is missing", first+1)
	}
	return nil
}

func (log *Log) replayLog(generation uint64, newest bool) ([]Record, error) {
	data, err := log.directory.ReadFile(logName(generation))
	if errors.Is(err, fs.ErrNotExist) && newest {
		log.offset, log.sequence = 0, 0
		return nil, nil
	}
	if errors.Is(err, fs.ErrNotExist) {
		return nil, damagedError("%s is missing although a later log exists", logName(generation))
	}
	if err != nil {
		return nil, err
	}
	var records []Record
	offset, next := 0, uint64(1)
	for offset < len(data) {
		sequence, content, size := decodeFrame(data[offset:])
		if size == 0 || sequence != next {
			break
		}
		records = append(records, content...)
		offset += size
		next++
	}
	if offset < len(data) {
		for at := offset; at+frameHeaderBytes <= len(data); at++ {
			if sequence, _, size := decodeFrame(data[at:]); size > 0 && sequence > next {
				return nil, damagedError("%s is damaged at byte %d, before later records that are whole", logName(generation), offset)
			}
		}
		if !newest {
			return nil, damagedError("%s is cut at byte %d although a later log exists", logName(generation), offset)
		}
		if err := log.directory.Truncate(logName(generation), int64(offset)); err != nil {
			return nil, err
		}
		if err := log.directory.Sync(logName(generation)); err != nil {
			return nil, err
		}
	}
	log.offset, log.sequence = int64(offset), next-1
	return records, nil
}
