package durablelog

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strconv"
	"strings"
)

// replay returns the records of the newest complete snapshot and of all logs from its
// generation on.
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

// logGenerations returns the generations of the logs, in order. A file that is named nearly
// like a log or a snapshot file was renamed by hand; the state in it would be missed.
func logGenerations(names []string) ([]uint64, error) {
	logs := []uint64{}
	for _, name := range names {
		number, isLog := strings.CutPrefix(name, logPrefix)
		if strings.HasPrefix(name, snapshotPrefix) && !slices.Contains(snapshotFiles, name) {
			return nil, damagedError("the data folder has a file %s, which is no snapshot file", name)
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

// checkLogs rejects a folder that lacks a log that must be there. Since format 2 a log is
// created before the snapshot that it follows, so its absence is a loss. In format 1 it is
// unknown whether the newest log was ever created.
func (log *Log) checkLogs(snapshot snapshot, logs []uint64) error {
	first := snapshot.generation
	strict := snapshot.streamed || !snapshot.found && log.identity.Format >= logFirstFormat
	later := len(logs) > 0 && (logs[len(logs)-1] > first || !snapshot.found)
	if !slices.Contains(logs, first) && (strict || later) {
		return damagedError("no readable snapshot file precedes the logs that are left (log %d is missing)", first)
	}
	if strict && snapshot.otherTorn && !slices.Contains(logs, first+1) {
		return damagedError("a snapshot file cannot be read, and the log that was made before it (log %d) is missing", first+1)
	}
	return nil
}

// replayLog returns the records of one log, and notes its end as that of the log. The newest
// one may end in a torn frame, of an append that was interrupted: it is cut off.
func (log *Log) replayLog(generation uint64, newest bool) ([]Record, error) {
	name := logName(generation)
	reader, err := openFrames(log.directory, name)
	if errors.Is(err, fs.ErrNotExist) && newest {
		log.offset, log.sequence = 0, 0
		return nil, nil
	}
	if errors.Is(err, fs.ErrNotExist) {
		return nil, damagedError("%s is missing although a later log exists", name)
	}
	if err != nil {
		return nil, fmt.Errorf("read a log of the data folder: %w", err)
	}
	records, frames, err := readLog(reader)
	if err == nil && reader.left() > 0 {
		err = log.cutTornEnd(reader, frames, newest)
	}
	if err != nil {
		return nil, err
	}
	log.offset, log.sequence = reader.offset, frames
	return records, nil
}

// readLog reads the frames of a log up to the first that is torn or out of order, where it
// leaves the reader, and returns how many there are before it.
func readLog(reader *frameReader) (records []Record, frames uint64, err error) {
	for reader.left() > 0 {
		found, complete, err := reader.peek(frameMagic)
		if err != nil {
			return nil, 0, fmt.Errorf("read a log of the data folder: %w", err)
		}
		content, contentComplete := decodeRecords(found.body)
		if !complete || !contentComplete || found.number != frames+1 {
			break
		}
		records = append(records, cloneRecords(content)...)
		reader.skip(found)
		frames++
	}
	return records, frames, nil
}

// cutTornEnd cuts off what follows the last complete frame of the newest log. It is an error
// if that is more than an append that was interrupted.
func (log *Log) cutTornEnd(reader *frameReader, frames uint64, newest bool) error {
	rest, err := reader.rest()
	if err != nil {
		return fmt.Errorf("read a log of the data folder: %w", err)
	}
	if hasFrameAfter(rest, frames+1) {
		return damagedError("%s is damaged at byte %d, before later records that are complete", reader.name, reader.offset)
	}
	if !newest {
		return damagedError("%s is cut at byte %d although a later log exists", reader.name, reader.offset)
	}
	if err := log.truncateSynced(reader.name, reader.offset); err != nil {
		return fmt.Errorf("cut off the torn end of a log of the data folder: %w", err)
	}
	return nil
}

// hasFrameAfter reports whether a complete frame with a higher number than one that is torn
// stands anywhere in data. Then the torn one was durable: a later append was synced after it.
func hasFrameAfter(data []byte, torn uint64) bool {
	for at := 0; at+frameHeaderBytes <= len(data); at++ {
		if sequence, _, size := decodeFrame(data[at:]); size > 0 && sequence > torn {
			return true
		}
	}
	return false
}

func (log *Log) truncateSynced(name string, size int64) error {
	if err := log.directory.Truncate(name, size); err != nil {
		return err
	}
	return log.directory.Sync(name)
}
