package wire

import (
	"errors"

	"yardrock.example/system/wire/schema"
)

func encodeChunk(target schema.ColdChunk, value *ArchiveChunk) error {
	target.SetGroup(value.Group)
	target.SetFirst(value.First)
	target.SetLast(value.Last)
	target.SetExpires(value.ExpiresAt)
	if err := target.SetLine(value.Session); err != nil {
		return err
	}
	return encodeList(target.NewEvents, value.Events, encodeEvent)
}

func decodeChunk(source schema.ColdChunk, value *ArchiveChunk) (err error) {
	*value = ArchiveChunk{Group: source.Group(), First: source.First(), Last: source.Last(), ExpiresAt: source.Expires()}
	if value.Session, err = source.Line(); err != nil {
		return err
	}
	value.Events, err = decodeList(source.Events, decodeEvent)
	return err
}

func encodeChunkBatch(target schema.ColdChunkBatch, value *ArchiveChunkBatch) error {
	return encodeList(target.NewChunks, value.Chunks, encodeChunk)
}

func decodeChunkBatch(source schema.ColdChunkBatch, value *ArchiveChunkBatch) (err error) {
	value.Chunks, err = decodeList(source.Chunks, decodeChunk)
	return err
}

func encodeChunkLocation(target schema.ColdPlace, value *ChunkLocation) error {
	target.SetGroup(value.Group)
	target.SetFirst(value.First)
	target.SetLast(value.Last)
	target.SetExpires(value.ExpiresAt)
	target.SetOffset(value.Offset)
	target.SetLength(value.Length)
	target.SetChecksum(value.Checksum)
	return errors.Join(target.SetLine(value.Session), target.SetDigest(value.Digest))
}

func decodeChunkLocation(source schema.ColdPlace, value *ChunkLocation) error {
	reader := &fieldReader{}
	*value = ChunkLocation{Group: source.Group(), First: source.First(), Last: source.Last(), ExpiresAt: source.Expires(), Offset: source.Offset(), Length: source.Length(),
		Checksum: source.Checksum(), Session: readField(reader, source.Line), Digest: readField(reader, source.Digest)}
	return reader.err
}

func encodeArchiveIndex(target schema.ColdIndex, value *ArchiveIndex) error {
	return encodeList(target.NewPlaces, value.Locations, encodeChunkLocation)
}

func decodeArchiveIndex(source schema.ColdIndex, value *ArchiveIndex) (err error) {
	value.Locations, err = decodeList(source.Places, decodeChunkLocation)
	return err
}
