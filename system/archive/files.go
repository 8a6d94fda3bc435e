package archive

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

const (
	filePrefix  = "cold-"
	frameHeader = 8
)

func fileName(number uint64) string { return fmt.Sprintf("%s%020d", filePrefix, number) }

func (store *Store) readIndex(name string) []wire.ChunkLocation {
	header, err := store.folder.ReadRange(name, 0, frameHeader)
	if err != nil {
		return nil
	}
	body, err := store.folder.ReadRange(name, frameHeader, int(binary.LittleEndian.Uint32(header)))
	if err != nil || crc32.Checksum(body, checksums) != binary.LittleEndian.Uint32(header[4:]) {
		return nil
	}
	var index wire.ArchiveIndex
	if err := wire.Decode(schema.ColdIndex_TypeID, body, &index); err != nil {
		return nil
	}
	return index.Locations
}

// readChunk reads a chunk's events; a damaged or missing one is a gap.
func (store *Store) readChunk(location chunkLocation) (wire.ArchiveChunk, bool) {
	body, err := store.folder.ReadRange(fileName(location.file), location.offset, location.length)
	if err != nil || crc32.Checksum(body, checksums) != location.sum {
		return wire.ArchiveChunk{}, false
	}
	var batch wire.ArchiveChunkBatch
	if err := wire.Decode(schema.ColdChunkBatch_TypeID, body, &batch); err != nil || len(batch.Chunks) != 1 {
		return wire.ArchiveChunk{}, false
	}
	return batch.Chunks[0], true
}
