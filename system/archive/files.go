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

// A file consists of a header, the encoded index and the encoded chunks. The header is the length
// of the index and its checksum, as little-endian uint32. All checksums are CRC-32C.
const (
	// filePrefix is followed by the file's number in 20 decimal digits. It must not change, so
	// that files of earlier versions are found.
	filePrefix  = "cold-"
	headerBytes = 8
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func fileName(number uint64) string { return fmt.Sprintf("%s%020d", filePrefix, number) }

// writeBufferBytes is the amount of encoded data after which a part of a file is written.
const writeBufferBytes = 256 << 10

// writeFile writes and syncs a new file and returns the locations of its chunks. The chunks are
// synced before the index is written, so that after a crash at any point an intact index lists
// only chunks that are on disk. It buffers at most writeBufferBytes and one chunk of encoded data.
// A disk error is of kind apierror.DiskUnavailable.
func (store *Store) writeFile(number uint64, chunks []wire.ArchiveChunk) ([]wire.ChunkLocation, error) {
	name, index := fileName(number), newIndex(chunks)
	// The fields of the index that are not set yet have a fixed size, so its length is final.
	offset := headerBytes + len(wire.MustEncode(schema.ColdIndex_TypeID, &index))
	var buffer []byte
	for position, chunk := range chunks {
		body, err := wire.Encode(schema.ColdChunkBatch_TypeID, &wire.ArchiveChunkBatch{Chunks: []wire.ArchiveChunk{chunk}})
		if err != nil {
			return nil, fmt.Errorf("encode events %d to %d of %s for the archive: %w", chunk.First, chunk.Last, chunk.Session, err)
		}
		digest := sha256.Sum256(body)
		location := &index.Locations[position]
		location.Offset, location.Length = uint64(offset+len(buffer)), uint32(len(body))
		location.Checksum, location.Digest = crc32.Checksum(body, castagnoli), digest[:]
		buffer = append(buffer, body...)
		if len(buffer) < writeBufferBytes && position < len(chunks)-1 {
			continue
		}
		if err := store.dir.WriteAt(name, int64(offset), buffer); err != nil {
			return nil, diskError(err)
		}
		offset, buffer = offset+len(buffer), buffer[:0]
	}
	if err := store.dir.Sync(name); err != nil {
		return nil, diskError(err)
	}
	if err := store.dir.WriteAt(name, 0, encodeHeaderAndIndex(index)); err != nil {
		return nil, diskError(err)
	}
	if err := store.dir.Sync(name); err != nil {
		return nil, diskError(err)
	}
	return index.Locations, nil
}

// newIndex returns an index of chunks without their offsets, lengths, checksums and
// digests.
func newIndex(chunks []wire.ArchiveChunk) wire.ArchiveIndex {
	index := wire.ArchiveIndex{}
	for _, chunk := range chunks {
		index.Locations = append(index.Locations, wire.ChunkLocation{
			Group: chunk.Group, Session: chunk.Session, First: chunk.First, Last: chunk.Last, ExpiresAt: chunk.ExpiresAt,
			Digest: make([]byte, sha256.Size),
		})
	}
	return index
}

// encodeHeaderAndIndex returns the encoded header and index of a file.
func encodeHeaderAndIndex(index wire.ArchiveIndex) []byte {
	encoded := wire.MustEncode(schema.ColdIndex_TypeID, &index)
	head := make([]byte, 0, headerBytes+len(encoded))
	head = binary.LittleEndian.AppendUint32(head, uint32(len(encoded)))
	head = binary.LittleEndian.AppendUint32(head, crc32.Checksum(encoded, castagnoli))
	return append(head, encoded...)
}

// diskError is the error for a file that could not be written or synced.
func diskError(cause error) error {
	return apierror.Wrap(cause, apierror.DiskUnavailable, "cannot write to the archive: "+cause.Error(), "free disk space or replace the disk")
}

// readIndex returns the index of a file, or nil if it is torn or damaged.
func (store *Store) readIndex(name string) []wire.ChunkLocation {
	size, err := store.dir.Size(name)
	if err != nil {
		return nil
	}
	header, err := store.dir.ReadRange(name, 0, headerBytes)
	if err != nil {
		return nil
	}
	length := int64(binary.LittleEndian.Uint32(header))
	if length > size-headerBytes {
		return nil // do not allocate a buffer of a damaged length
	}
	body, err := store.dir.ReadRange(name, headerBytes, int(length))
	if err != nil || crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(header[4:]) {
		return nil
	}
	var index wire.ArchiveIndex
	if err := wire.Decode(schema.ColdIndex_TypeID, body, &index); err != nil {
		return nil
	}
	return index.Locations
}

// readChunk reads and verifies a chunk. intact is false if the chunk is damaged or missing.
func (store *Store) readChunk(location chunkLocation) (chunk wire.ArchiveChunk, intact bool) {
	body, err := store.dir.ReadRange(fileName(location.file), location.offset, location.length)
	if err != nil || crc32.Checksum(body, castagnoli) != location.checksum {
		return wire.ArchiveChunk{}, false
	}
	var batch wire.ArchiveChunkBatch
	if err := wire.Decode(schema.ColdChunkBatch_TypeID, body, &batch); err != nil || len(batch.Chunks) != 1 {
		return wire.ArchiveChunk{}, false
	}
	return batch.Chunks[0], true
}

// sortedBySeq returns events in the order of their sequence numbers.
func sortedBySeq(bySeq map[uint64]sessionlog.Event) []sessionlog.Event {
	return slices.SortedFunc(maps.Values(bySeq), func(left, right sessionlog.Event) int { return cmp.Compare(left.Seq, right.Seq) })
}
