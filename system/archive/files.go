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

// writeBufferBytes is how much of a file is encoded before it is written.
const writeBufferBytes = 256 << 10

// writeFile writes a new file with some chunks, syncs it and returns where each chunk is in it.
// The chunks are synced before the index is written: a file with an index has all that it names,
// whenever the power was lost, and no node says that it has chunks which never reached its disk.
// No more than writeBufferBytes and one chunk are encoded at a time. An error of the disk is of
// kind apierror.DiskUnavailable.
func (store *Store) writeFile(number uint64, chunks []wire.ArchiveChunk) ([]wire.ChunkLocation, error) {
	name, index := fileName(number), emptyIndex(chunks)
	// The length of the index does not depend on what is not known yet: those fields have a
	// fixed size.
	offset := headerLength + len(wire.MustEncode(schema.ColdIndex_TypeID, &index))
	var buffer []byte
	for position, chunk := range chunks {
		body, err := wire.Encode(schema.ColdChunkBatch_TypeID, &wire.ArchiveChunkBatch{Chunks: []wire.ArchiveChunk{chunk}})
		if err != nil {
			return nil, fmt.Errorf("encode events %d to %d of %s for the archive: %w", chunk.First, chunk.Last, chunk.Session, err)
		}
		digest := sha256.Sum256(body)
		location := &index.Locations[position]
		location.Offset, location.Length = uint64(offset+len(buffer)), uint32(len(body))
		location.Checksum, location.Digest = crc32.Checksum(body, checksums), digest[:]
		buffer = append(buffer, body...)
		if len(buffer) < writeBufferBytes && position < len(chunks)-1 {
			continue
		}
		if err := store.folder.WriteAt(name, int64(offset), buffer); err != nil {
			return nil, unwritable(err)
		}
		offset, buffer = offset+len(buffer), buffer[:0]
	}
	if err := store.folder.Sync(name); err != nil {
		return nil, unwritable(err)
	}
	if err := store.folder.WriteAt(name, 0, encodeHead(index)); err != nil {
		return nil, unwritable(err)
	}
	if err := store.folder.Sync(name); err != nil {
		return nil, unwritable(err)
	}
	return index.Locations, nil
}

// emptyIndex returns the index of a file that is not written yet.
func emptyIndex(chunks []wire.ArchiveChunk) wire.ArchiveIndex {
	index := wire.ArchiveIndex{}
	for _, chunk := range chunks {
		index.Locations = append(index.Locations, wire.ChunkLocation{
			Group: chunk.Group, Session: chunk.Session, First: chunk.First, Last: chunk.Last, ExpiresAt: chunk.ExpiresAt,
			Digest: make([]byte, sha256.Size),
		})
	}
	return index
}

// encodeHead returns the header and the index of a file.
func encodeHead(index wire.ArchiveIndex) []byte {
	encoded := wire.MustEncode(schema.ColdIndex_TypeID, &index)
	head := make([]byte, 0, headerLength+len(encoded))
	head = binary.LittleEndian.AppendUint32(head, uint32(len(encoded)))
	head = binary.LittleEndian.AppendUint32(head, crc32.Checksum(encoded, checksums))
	return append(head, encoded...)
}

// unwritable is the error of a file that could not be written or synced.
func unwritable(cause error) error {
	return apierror.Wrap(cause, apierror.DiskUnavailable, "the archive could not be written: "+cause.Error(), "free space on the disk or replace it")
}

// readIndex returns the index of a file, or nothing if it is torn or damaged.
func (store *Store) readIndex(name string) []wire.ChunkLocation {
	size, err := store.folder.Size(name)
	if err != nil {
		return nil
	}
	header, err := store.folder.ReadRange(name, 0, headerLength)
	if err != nil {
		return nil
	}
	length := int64(binary.LittleEndian.Uint32(header))
	if length > size-headerLength {
		return nil // a damaged length must not be allocated
	}
	body, err := store.folder.ReadRange(name, headerLength, int(length))
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
