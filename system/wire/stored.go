package wire

import (
	"fmt"

	"capnproto.org/go/capnp/v3"
	"capnproto.org/go/capnp/v3/pogs"

	"yardrock.example/system/wire/schema"
)

// storedType allocates, encodes and decodes a schema type as the root of a message.
type storedType struct {
	newRoot rootConstructor
	encode  func(capnp.Struct, any) error
	decode  func(capnp.Struct, any) error
}

// storedTypes has the types that are stored as separate records, by schema type ID.
var storedTypes = map[uint64]storedType{
	schema.Command_TypeID:        handCoded(schema.NewRootCommand, encodeCommand, decodeCommand),
	schema.StoredWrite_TypeID:    handCoded(schema.NewRootStoredWrite, encodeStoredWrite, decodeStoredWrite),
	schema.LineImage_TypeID:      handCoded(schema.NewRootLineImage, encodeSessionSnapshot, decodeSessionSnapshot),
	schema.ColdChunkBatch_TypeID: handCoded(schema.NewRootColdChunkBatch, encodeChunkBatch, decodeChunkBatch),
	schema.ColdIndex_TypeID:      handCoded(schema.NewRootColdIndex, encodeArchiveIndex, decodeArchiveIndex),
	schema.ControlImage_TypeID:   reflected(schema.ControlImage_TypeID, schema.NewRootControlImage),
	schema.View_TypeID:           handCoded(schema.NewRootView, encodeView, decodeView),
	schema.Change_TypeID:         handCoded(schema.NewRootChange, encodeChange, decodeChange),
}

// handCoded returns a storedType with a hand-written codec.
func handCoded[Struct ~capnp.StructKind, Value any](newRoot func(*capnp.Segment) (Struct, error), encode, decode func(Struct, *Value) error) storedType {
	withTypeCheck := func(convert func(Struct, *Value) error) func(capnp.Struct, any) error {
		return func(content capnp.Struct, value any) error {
			typed, ok := value.(*Value)
			if !ok {
				return fmt.Errorf("value has type %T, but the schema type requires %T", value, typed)
			}
			return convert(Struct(content), typed)
		}
	}
	return storedType{newRoot: rootOf(newRoot), encode: withTypeCheck(encode), decode: withTypeCheck(decode)}
}

// reflected returns a storedType that the library converts by reflection.
func reflected[Struct ~capnp.StructKind](typeID uint64, newRoot func(*capnp.Segment) (Struct, error)) storedType {
	return storedType{
		newRoot: rootOf(newRoot),
		encode:  func(target capnp.Struct, value any) error { return pogs.Insert(typeID, target, value) },
		decode:  func(source capnp.Struct, value any) error { return pogs.Extract(value, typeID, source) },
	}
}

func storedTypeOf(typeID uint64) (storedType, error) {
	stored, known := storedTypes[typeID]
	if !known {
		return storedType{}, fmt.Errorf("schema type %x is not a stored record type; add it to wire.storedTypes", typeID)
	}
	return stored, nil
}

// Encode returns the stored form of a value: an unpacked message whose root has the schema type
// with the given ID. The value is a pointer to the corresponding Go type.
//
//	data, err := wire.Encode(schema.Command_TypeID, &command)
func Encode(typeID uint64, value any) ([]byte, error) {
	stored, err := storedTypeOf(typeID)
	if err != nil {
		return nil, err
	}
	return appendMessage(nil, stored.newRoot, func(target capnp.Struct) error { return stored.encode(target, value) })
}

// Decode decodes a stored form into the value, a pointer as for Encode. The byte fields of the
// result may alias the data.
//
//	err := wire.Decode(schema.Command_TypeID, data, &command)
func Decode(typeID uint64, data []byte, value any) error {
	stored, err := storedTypeOf(typeID)
	if err != nil {
		return err
	}
	root, err := readRoot(data)
	if err != nil {
		return err
	}
	return stored.decode(root, value)
}

// MustEncode is Encode for a value created by this process, of a type in storedTypes. It panics
// on an error, which is always a programming error: a field that the schema lacks, a value of
// the wrong type or a message larger than 4 GiB. Tests of this package cover every field.
//
//	data := wire.MustEncode(schema.View_TypeID, &view)
func MustEncode(typeID uint64, value any) []byte {
	data, err := Encode(typeID, value)
	if err != nil {
		panic(fmt.Sprintf("encode schema type %x: %v", typeID, err))
	}
	return data
}
