package wire

import (
	"fmt"

	"capnproto.org/go/capnp/v3"
	"capnproto.org/go/capnp/v3/pogs"

	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire/schema"
)

// Encode turns a value into Cap'n Proto bytes under one of the schema's types.
//
//	data, err := wire.Encode(schema.Command_TypeID, &command)
func Encode(typeID uint64, value any) ([]byte, error) {
	root, known := rootConstructors[typeID]
	if !known {
		return nil, fmt.Errorf("type %x is never stored by itself", typeID)
	}
	encode, isHot := storedEncoders[typeID]
	if !isHot {
		encode = func(target capnp.Struct, value any) error { return pogs.Insert(typeID, target, value) }
	}
	return appendMessage(nil, root, func(made capnp.Struct) error { return encode(made, value) })
}

// Decode fills value from Cap'n Proto bytes.
//
//	err := wire.Decode(schema.Command_TypeID, data, &command)
func Decode(typeID uint64, data []byte, value any) error {
	root, err := readRoot(data)
	if err != nil {
		return err
	}
	if decode, isHot := storedDecoders[typeID]; isHot {
		return decode(root, value)
	}
	return pogs.Extract(value, typeID, root)
}

// MustEncode is Encode for values that this program itself made.
//
//	data := wire.MustEncode(schema.View_TypeID, &view)
func MustEncode(typeID uint64, value any) []byte {
	data, err := Encode(typeID, value)
	if err != nil {
		panic(fmt.Sprintf("encode %x: %v", typeID, err))
	}
	return data
}

var rootConstructors = map[uint64]func(*capnp.Segment) (capnp.Struct, error){
	schema.Command_TypeID:        newRoot(schema.NewRootCommand),
	schema.StoredWrite_TypeID:    newRoot(schema.NewRootStoredWrite),
	schema.LineImage_TypeID:      newRoot(schema.NewRootLineImage),
	schema.ControlImage_TypeID:   newRoot(schema.NewRootControlImage),
	schema.View_TypeID:           newRoot(schema.NewRootView),
	schema.Change_TypeID:         newRoot(schema.NewRootChange),
	schema.ColdChunkBatch_TypeID: newRoot(schema.NewRootColdChunkBatch),
	schema.ColdIndex_TypeID:      newRoot(schema.NewRootColdIndex),
}

// storedEncoders and storedDecoders are the stored types of the ordinary path.
var storedEncoders = map[uint64]func(capnp.Struct, any) error{
	schema.ColdChunkBatch_TypeID: func(target capnp.Struct, value any) error {
		return encodeChunkBatch(schema.ColdChunkBatch(target), value.(*ArchiveChunkBatch))
	},
	schema.ColdIndex_TypeID: func(target capnp.Struct, value any) error {
		index := value.(*ArchiveIndex)
		places, err := schema.ColdIndex(target).NewPlaces(int32(len(index.Locations)))
		return encodeList(places, err, index.Locations, encodeChunkLocation)
	},
	schema.Command_TypeID: func(target capnp.Struct, value any) error {
		return encodeCommand(schema.Command(target), value.(*sessionlog.Command))
	},
	schema.LineImage_TypeID: func(target capnp.Struct, value any) error {
		return encodeSessionSnapshot(schema.LineImage(target), value.(*sessionlog.Snapshot))
	},
	schema.StoredWrite_TypeID: func(target capnp.Struct, value any) error {
		return encodeStoredWrite(schema.StoredWrite(target), value.(*StoredWrite))
	},
}

var storedDecoders = map[uint64]func(capnp.Struct, any) error{
	schema.ColdChunkBatch_TypeID: func(source capnp.Struct, value any) error {
		return decodeChunkBatch(schema.ColdChunkBatch(source), value.(*ArchiveChunkBatch))
	},
	schema.ColdIndex_TypeID: func(source capnp.Struct, value any) (err error) {
		list, err := schema.ColdIndex(source).Places()
		value.(*ArchiveIndex).Locations, err = decodeList(list, err, decodeChunkLocation)
		return err
	},
	schema.Command_TypeID: func(source capnp.Struct, value any) error {
		return decodeCommand(schema.Command(source), value.(*sessionlog.Command))
	},
	schema.LineImage_TypeID: func(source capnp.Struct, value any) error {
		return decodeSessionSnapshot(schema.LineImage(source), value.(*sessionlog.Snapshot))
	},
	schema.StoredWrite_TypeID: func(source capnp.Struct, value any) error {
		return decodeStoredWrite(schema.StoredWrite(source), value.(*StoredWrite))
	},
}
