package archive

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"maps"
	"slices"

	"yardrock.example/system/apierror"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// A file is an encoded index behind a header, then the encoded chunks. The header is the
// index's length and its checksum, 4 bytes each, little endian.
const (
	// filePrefix is followed by the file's number, in 20 decimal digits. The word is that of
	// earlier versions, whose files must still be found.
	filePrefix   = "cold-"
	headerLength = 8
)

// checksums is the polynomial of all checksums in files.
var checksums = crc32.MakeTable(crc32.Castagnoli)

func fileName(number uint64) string { return fmt.Sprintf("%s%020d", filePrefix, number) }

// encodeFile returns the content of a file with some chunks, and where each is in it.
func encodeFile(chunks []wire.ArchiveChunk) (data []byte, locations []wire.ChunkLocation, err error) {
	var bodies []byte
	index := wire.ArchiveIndex{}
	for _, chunk := range chunks {
		body, err := wire.Encode(schema.ColdChunkBatch_TypeID, &wire.ArchiveChunkBatch{Chunks: []wire.ArchiveChunk{chunk}})
		if err != nil {
			return nil, nil, fmt.Errorf("encode events %d to %d of %s for the archive: %w", chunk.First, chunk.Last, chunk.Session, err)
		}
		digest := sha256.Sum256(body)
		index.Locations = append(index.Locations, wire.ChunkLocation{
			Group: chunk.Group, Session: chunk.Session, First: chunk.First, Last: chunk.Last, ExpiresAt: chunk.ExpiresAt,
			Offset: uint64(len(bodies)), Length: uint32(len(body)), Checksum: crc32.Checksum(body, checksums), Digest: digest[:],
		})
		bodies = append(bodies, body...)
	}
	// Offsets count from the file's beginning, so they depend on the length of the index. That
	// is the same whatever the offsets are, as these have a fixed size.
	bodiesAt := uint64(headerLength + len(wire.MustEncode(schema.ColdIndex_TypeID, &index)))
	for position := range index.Locations {
		index.Locations[position].Offset += bodiesAt
	}
	encodedIndex := wire.MustEncode(schema.ColdIndex_TypeID, &index)
	data = binary.LittleEndian.AppendUint32(nil, uint32(len(encodedIndex)))
	data = binary.LittleEndian.AppendUint32(data, crc32.Checksum(encodedIndex, checksums))
	return append(append(data, encodedIndex...), bodies...), index.Locations, nil
}

// writeFile writes a new file and syncs it.
func (store *Store) writeFile(number uint64, data []byte) error {
	if err := store.folder.WriteAt(fileName(number), 0, data); err != nil {
		return apierror.Wrap(err, apierror.DiskUnavailable, "the archive could not be written: "+err.Error(), "free space on the disk or replace it")
	}
	if err := store.folder.Sync(fileName(number)); err != nil {
		return apierror.Wrap(err, apierror.DiskUnavailable, "the archive could not be synced: "+err.Error(), "free space on the disk or replace it")
	}
	return nil
}

// readIndex returns the index of a file, or nothing if it is torn or damaged.
func (store *Store) readIndex(name string) []wire.ChunkLocation {
	header, err := store.folder.ReadRange(name, 0, headerLength)
	if err != nil {
		return nil
	}
	body, err := store.folder.ReadRange(name, headerLength, int(binary.LittleEndian.Uint32(header)))
	if err != nil || crc32.Checksum(body, checksums) != binary.LittleEndian.Uint32(header[4:]) {
		return nil
	}
	var index wire.ArchiveIndex
	if err := wire.Decode(schema.ColdIndex_TypeID, body, &index); err != nil {
		return nil
	}
	return index.Locations
}

// readChunk reads and verifies a chunk. It reports false if the chunk is damaged or missing.
func (store *Store) readChunk(location chunkLocation) (chunk wire.ArchiveChunk, intact bool) {
	body, err := store.folder.ReadRange(fileName(location.file), location.offset, location.length)
	if err != nil || crc32.Checksum(body, checksums) != location.checksum {
		return wire.ArchiveChunk{}, false
	}
	var batch wire.ArchiveChunkBatch
	if err := wire.Decode(schema.ColdChunkBatch_TypeID, body, &batch); err != nil || len(batch.Chunks) != 1 {
		return wire.ArchiveChunk{}, false
	}
	return batch.Chunks[0], true
}

// inOrder returns events by their sequence numbers.
func inOrder(bySeq map[uint64]sessionlog.Event) []sessionlog.Event {
	return slices.SortedFunc(maps.Values(bySeq), func(left, right sessionlog.Event) int { return cmp.Compare(left.Seq, right.Seq) })
}
