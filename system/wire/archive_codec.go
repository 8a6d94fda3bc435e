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
	events, err := target.NewEvents(int32(len(value.Events)))
	return encodeList(events, err, value.Events, encodeEvent)
}

func decodeChunk(source schema.ColdChunk, value *ArchiveChunk) (err error) {
	*value = ArchiveChunk{Group: source.Group(), First: source.First(), Last: source.Last(), ExpiresAt: source.Expires()}
	if value.Session, err = source.Line(); err != nil {
		return err
	}
	events, err := source.Events()
	value.Events, err = decodeList(events, err, decodeEvent)
	return err
}

func encodeChunkBatch(target schema.ColdChunkBatch, value *ArchiveChunkBatch) error {
	chunks, err := target.NewChunks(int32(len(value.Chunks)))
	return encodeList(chunks, err, value.Chunks, encodeChunk)
}

func decodeChunkBatch(source schema.ColdChunkBatch, value *ArchiveChunkBatch) error {
	list, err := source.Chunks()
	value.Chunks, err = decodeList(list, err, decodeChunk)
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
	reading := &fieldReader{}
	*value = ChunkLocation{Group: source.Group(), First: source.First(), Last: source.Last(), ExpiresAt: source.Expires(), Offset: source.Offset(), Length: source.Length(),
		Checksum: source.Checksum(), Session: field(reading, source.Line), Digest: field(reading, source.Digest)}
	return reading.err
}
