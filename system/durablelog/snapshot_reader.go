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
		data, err := log.directory.ReadFile(one.file)
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return snapshot{}, fmt.Errorf("read a snapshot file of the data folder: %w", err)
		}
		if read := decodeSnapshot(data); read.found {
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

// decodeSnapshot decodes a snapshot file of any format.
func decodeSnapshot(data []byte) snapshot {
	if generation, records, size := decodeFrame(data); size > 0 {
		return snapshot{found: true, generation: generation, records: records, size: int64(size)}
	}
	return decodeStreamedSnapshot(data)
}

// decodeStreamedSnapshot decodes a snapshot with a frame for each record. It is complete only
// if its last frame has the number of records and the checksum of all their checksums, and
// nothing follows: part of an older snapshot may be left in the file.
func decodeStreamedSnapshot(data []byte) snapshot {
	read := snapshot{size: int64(len(data)), streamed: true}
	chain := uint32(0)
	for rest := data; ; {
		if generation, end, isEnd := frameBody(rest, snapshotEndMagic); isEnd {
			same := len(read.records) == 0 || generation == read.generation
			complete := same && len(end) == snapshotEndBytes && len(rest) == frameHeaderBytes+snapshotEndBytes
			complete = complete && binary.LittleEndian.Uint64(end) == uint64(len(read.records)) && binary.LittleEndian.Uint32(end[8:]) == chain
			read.generation, read.found = generation, complete
			return read
		}
		generation, body, isRecord := frameBody(rest, snapshotRecordMagic)
		records, complete := decodeRecords(body)
		if !isRecord || !complete || len(records) != 1 || len(read.records) > 0 && generation != read.generation {
			return snapshot{}
		}
		read.generation = generation
		read.records = append(read.records, records[0])
		chain = crc32.Update(chain, castagnoli, rest[16:frameHeaderBytes])
		rest = rest[frameHeaderBytes+len(body):]
	}
}
