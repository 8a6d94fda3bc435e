package durablelog

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strconv"
	"strings"
)

// replay returns the records of the newest complete snapshot and of the logs that follow it.
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

// logGenerations returns the generations of the logs in ascending order. It rejects files with
// the prefix of a log or snapshot but an invalid name, such as files renamed by hand: ignoring
// them would lose state.
func logGenerations(names []string) ([]uint64, error) {
	logs := []uint64{}
	for _, name := range names {
		number, isLog := strings.CutPrefix(name, logPrefix)
		if strings.HasPrefix(name, snapshotPrefix) && !slices.Contains(snapshotFiles, name) {
			return nil, damagedError("the data directory contains %s, which is not a valid snapshot file name", name)
		}
		if !isLog {
			continue
		}
		generation, err := strconv.ParseUint(number, 10, 64)
		if err != nil || logName(generation) != name {
			return nil, damagedError("the data directory contains %s, which is not a valid log file name", name)
		}
		logs = append(logs, generation)
	}
	slices.Sort(logs)
	return logs, nil
}

// checkLogs rejects a directory that lacks a required log. Since format 2 each log is created
// before the snapshot that it continues, so a missing log means data loss. In format 1 the
// newest log may never have been created.
func (log *Log) checkLogs(snapshot snapshot, logs []uint64) error {
	first := snapshot.generation
	logRequired := snapshot.streamed || !snapshot.found && log.identity.Format >= logCreatedFirstFormat
	hasLaterLog := len(logs) > 0 && (logs[len(logs)-1] > first || !snapshot.found)
	if !slices.Contains(logs, first) && (logRequired || hasLaterLog) {
		return damagedError("log %d is missing, and no readable snapshot file covers it", first)
	}
	if logRequired && snapshot.otherTorn && !slices.Contains(logs, first+1) {
		return damagedError("a snapshot file is unreadable, and the log created before it (log %d) is missing", first+1)
	}
	return nil
}

// replayLog returns the records of one log and sets offset and sequence to its end. A torn frame
// at the end of the newest log, left by an interrupted append, is truncated.
func (log *Log) replayLog(generation uint64, newest bool) ([]Record, error) {
	name := logName(generation)
	reader, err := openFrameReader(log.directory, name)
	if errors.Is(err, fs.ErrNotExist) && newest {
		log.offset, log.sequence = 0, 0
		return nil, nil
	}
	if errors.Is(err, fs.ErrNotExist) {
		return nil, damagedError("%s is missing, but a later log exists", name)
	}
	if err != nil {
		return nil, fmt.Errorf("read a log in the data directory: %w", err)
	}
	records, frames, err := readLog(reader)
	if err == nil && reader.remaining() > 0 {
		err = log.truncateTornTail(reader, frames, newest)
	}
	if err != nil {
		return nil, err
	}
	log.offset, log.sequence = reader.offset, frames
	return records, nil
}

// readLog reads the frames of a log up to the first that is torn or out of sequence, and leaves
// the reader there. frames is the number of frames read.
func readLog(reader *frameReader) (records []Record, frames uint64, err error) {
	for reader.remaining() > 0 {
		found, complete, err := reader.peek(frameMagic)
		if err != nil {
			return nil, 0, fmt.Errorf("read a log in the data directory: %w", err)
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

// truncateTornTail truncates the newest log after its last complete frame. It returns an error
// if what follows cannot result from an interrupted append.
func (log *Log) truncateTornTail(reader *frameReader, frames uint64, newest bool) error {
	tail, err := reader.tail()
	if err != nil {
		return fmt.Errorf("read a log in the data directory: %w", err)
	}
	if hasFrameAfter(tail, frames+1) {
		return damagedError("%s is corrupt at byte %d, with complete records after it", reader.name, reader.offset)
	}
	if !newest {
		return damagedError("%s is truncated at byte %d, but a later log exists", reader.name, reader.offset)
	}
	if err := log.truncateSynced(reader.name, reader.offset); err != nil {
		return fmt.Errorf("truncate the torn tail of a log in the data directory: %w", err)
	}
	return nil
}

// hasFrameAfter reports whether data contains a complete frame with a number above torn, at any
// offset. If so, the torn frame had been durable, since appends are synced in order.
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
