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

// snapshotFiles are the snapshot files, which are written in turn.
var snapshotFiles = []string{snapshotPrefix + "0", snapshotPrefix + "1"}

// snapshotEndBytes is the size of the body of a snapshot's last frame: the number of records
// (uint64) and the checksum of all their checksums (uint32).
const snapshotEndBytes = 12

// snapshot is the newest complete snapshot of a folder.
type snapshot struct {
	// found is false if there is none.
	found      bool
	fileName   string
	generation uint64
	size       int64
	records    []Record
	// streamed says that the snapshot has a frame for each record, as since format 2, and that
	// its log was created before it.
	streamed bool
	// otherTorn says that another snapshot file is there but cannot be read.
	otherTorn bool
}

// newestCompleteSnapshot looks at the headers of both snapshot files, and reads the newer one,
// and the other only if that one is damaged.
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
	for _, one := range candidates {
		read, err := log.readSnapshot(one.file)
		if err != nil {
			return snapshot{}, fmt.Errorf("read a snapshot file of the data folder: %w", err)
		}
		if read.found {
			read.fileName, read.otherTorn = one.file, torn
			return read, nil
		}
		torn = true
	}
	return snapshot{otherTorn: torn}, nil
}

func isSnapshotHeader(header []byte) bool {
	magic := binary.LittleEndian.Uint32(header)
	return magic == frameMagic || magic == snapshotRecordMagic || magic == snapshotEndMagic
}

// readSnapshot reads a snapshot file of any format; found is false if it is not complete.
func (log *Log) readSnapshot(name string) (snapshot, error) {
	reader, err := openFrames(log.directory, name)
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

// readStreamedSnapshot reads a snapshot with a frame for each record. It is complete only
// if its last frame has the number of records and the checksum of all their checksums, and
// nothing follows: part of an older snapshot may be left in the file.
func readStreamedSnapshot(reader *frameReader) (snapshot, error) {
	read := snapshot{size: reader.size, streamed: true}
	chain := uint32(0)
	for {
		end, isEnd, err := reader.peek(snapshotEndMagic)
		if err != nil {
			return snapshot{}, err
		}
		if isEnd {
			same := len(read.records) == 0 || end.number == read.generation
			complete := same && len(end.body) == snapshotEndBytes && reader.left() == frameHeaderBytes+snapshotEndBytes
			complete = complete && binary.LittleEndian.Uint64(end.body) == uint64(len(read.records)) && binary.LittleEndian.Uint32(end.body[8:]) == chain
			read.generation, read.found = end.number, complete
			return read, nil
		}
		next, isRecord, err := reader.peek(snapshotRecordMagic)
		if err != nil {
			return snapshot{}, err
		}
		records, complete := decodeRecords(next.body)
		if !isRecord || !complete || len(records) != 1 || len(read.records) > 0 && next.number != read.generation {
			return snapshot{}, nil
		}
		read.generation = next.number
		read.records = append(read.records, cloneRecords(records)...)
		chain = crc32.Update(chain, castagnoli, binary.LittleEndian.AppendUint32(nil, next.checksum))
		reader.skip(next)
	}
}
