package durablelog

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"slices"
)

// snapshotFiles are the names of the snapshot files, which are written alternately.
var snapshotFiles = []string{snapshotPrefix + "0", snapshotPrefix + "1"}

// snapshotEndBytes is the body size of the last frame of a snapshot: the number of records
// (uint64) and the CRC-32C of their frame checksums (uint32).
const snapshotEndBytes = 12

// snapshot is the newest complete snapshot of a directory.
type snapshot struct {
	// found is false if there is no complete snapshot.
	found      bool
	fileName   string
	generation uint64
	size       int64
	records    []Record
	// streamed is true if the snapshot has one frame per record (format 2 and later). Its log was
	// then created before it.
	streamed bool
	// otherTorn is true if another snapshot file exists but is unreadable.
	otherTorn bool
}

// newestCompleteSnapshot compares the headers of both snapshot files and reads the newer one. It
// reads the other only if the newer is damaged.
func (log *Log) newestCompleteSnapshot(names []string) (snapshot, error) {
	type candidate struct {
		file       string
		generation uint64
	}
	candidates, torn := []candidate{}, false
	for _, file := range snapshotFiles {
		if !slices.Contains(names, file) {
			continue
		}
		header, err := log.directory.ReadRange(file, 0, frameHeaderBytes)
		if err != nil || !isSnapshotHeader(header) {
			torn = true
			continue
		}
		candidates = append(candidates, candidate{file, binary.LittleEndian.Uint64(header[8:])})
	}
	slices.SortFunc(candidates, func(left, right candidate) int { return cmp.Compare(right.generation, left.generation) })
	for _, c := range candidates {
		result, err := log.readSnapshot(c.file)
		if err != nil {
			return snapshot{}, fmt.Errorf("read a snapshot file in the data directory: %w", err)
		}
		if result.found {
			result.fileName, result.otherTorn = c.file, torn
			return result, nil
		}
		torn = true
	}
	return snapshot{otherTorn: torn}, nil
}

func isSnapshotHeader(header []byte) bool {
	magic := binary.LittleEndian.Uint32(header)
	return magic == frameMagic || magic == snapshotRecordMagic || magic == snapshotEndMagic
}

// readSnapshot reads a snapshot file of any format. found is false if it is incomplete.
func (log *Log) readSnapshot(name string) (snapshot, error) {
	reader, err := openFrameReader(log.directory, name)
	if errors.Is(err, fs.ErrNotExist) {
		return snapshot{}, nil
	}
	if err != nil {
		return snapshot{}, err
	}
	single, complete, err := reader.peek(frameMagic)
	if err != nil {
		return snapshot{}, err
	}
	if records, recordsComplete := decodeRecords(single.body); complete && recordsComplete {
		reader.skip(single)
		return snapshot{found: true, generation: single.number, records: cloneRecords(records), size: reader.offset}, nil
	}
	return readStreamedSnapshot(reader)
}

// readStreamedSnapshot reads a snapshot with one frame per record. It is complete only if the
// last frame matches the number of records and their checksums and ends the file: parts of an
// older snapshot may remain in a file that was not completely rewritten.
func readStreamedSnapshot(reader *frameReader) (snapshot, error) {
	result := snapshot{size: reader.size, streamed: true}
	recordsChecksum := uint32(0)
	for {
		end, isEnd, err := reader.peek(snapshotEndMagic)
		if err != nil {
			return snapshot{}, err
		}
		if isEnd {
			sameGeneration := len(result.records) == 0 || end.number == result.generation
			complete := sameGeneration && len(end.body) == snapshotEndBytes && reader.remaining() == frameHeaderBytes+snapshotEndBytes
			complete = complete && binary.LittleEndian.Uint64(end.body) == uint64(len(result.records)) && binary.LittleEndian.Uint32(end.body[8:]) == recordsChecksum
			result.generation, result.found = end.number, complete
			return result, nil
		}
		next, isRecord, err := reader.peek(snapshotRecordMagic)
		if err != nil {
			return snapshot{}, err
		}
		records, complete := decodeRecords(next.body)
		if !isRecord || !complete || len(records) != 1 || len(result.records) > 0 && next.number != result.generation {
			return snapshot{}, nil
		}
		result.generation = next.number
		result.records = append(result.records, cloneRecords(records)...)
		recordsChecksum = crc32.Update(recordsChecksum, castagnoli, binary.LittleEndian.AppendUint32(nil, next.checksum))
		reader.skip(next)
	}
}
