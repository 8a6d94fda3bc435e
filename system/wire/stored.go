package wire

import (
	"fmt"

	"capnproto.org/go/capnp/v3"
	"capnproto.org/go/capnp/v3/pogs"

	"yardrock.example/system/wire/schema"
)

// storedType is how a type of the schema is allocated, written and read as the root of a
// message of its own.
type storedType struct {
	newRoot rootConstructor
	encode  func(capnp.Struct, any) error
	decode  func(capnp.Struct, any) error
}

// storedTypes are the types that are stored by themselves, by the schema's identifiers.
var storedTypes = map[uint64]storedType{
	schema.Command_TypeID:        handCoded(schema.NewRootCommand, encodeCommand, decodeCommand),
	schema.StoredWrite_TypeID:    handCoded(schema.NewRootStoredWrite, encodeStoredWrite, decodeStoredWrite),
	schema.LineImage_TypeID:      handCoded(schema.NewRootLineImage, encodeSessionSnapshot, decodeSessionSnapshot),
	schema.ColdChunkBatch_TypeID: handCoded(schema.NewRootColdChunkBatch, encodeChunkBatch, decodeChunkBatch),
	schema.ColdIndex_TypeID:      handCoded(schema.NewRootColdIndex, encodeArchiveIndex, decodeArchiveIndex),
	schema.ControlImage_TypeID:   reflected(schema.ControlImage_TypeID, schema.NewRootControlImage),
	schema.View_TypeID:           reflected(schema.View_TypeID, schema.NewRootView),
	schema.Change_TypeID:         reflected(schema.Change_TypeID, schema.NewRootChange),
}

// handCoded is a type with functions of its own.
func handCoded[Struct ~capnp.StructKind, Value any](newRoot func(*capnp.Segment) (Struct, error), encode, decode func(Struct, *Value) error) storedType {
	checkingType := func(code func(Struct, *Value) error) func(capnp.Struct, any) error {
		return func(content capnp.Struct, value any) error {
			typed, fits := value.(*Value)
			if !fits {
				return fmt.Errorf("the value is a %T, and this schema type belongs to %T", value, typed)
			}
			return code(Struct(content), typed)
		}
	}
	return storedType{newRoot: rootOf(newRoot), encode: checkingType(encode), decode: checkingType(decode)}
}

// reflected is a type that the library maps to Go by reflection.
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
		return storedType{}, fmt.Errorf("schema type %x is never stored by itself; add it to wire.storedTypes", typeID)
	}
	return stored, nil
}

// Encode gives the stored form of a value: an unpacked message whose root has the schema's
// type of that identifier. The value is a pointer to the Go type that belongs to it.
//
//	data, err := wire.Encode(schema.Command_TypeID, &command)
func Encode(typeID uint64, value any) ([]byte, error) {
	stored, err := storedTypeOf(typeID)
	if err != nil {
		return nil, err
	}
	return appendMessage(nil, stored.newRoot, func(target capnp.Struct) error { return stored.encode(target, value) })
}

// Decode reads a stored form into the value pointed to. Its byte fields may alias the data.
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

// MustEncode is Encode for a value of a type in storedTypes that this process made. It
// panics on an error, which only a field without its place in the schema, a value of
// another type or a message beyond 4 GiB can cause: faults of the program, which tests of
// this package find for every field.
//
//	data := wire.MustEncode(schema.View_TypeID, &view)
func MustEncode(typeID uint64, value any) []byte {
	data, err := Encode(typeID, value)
	if err != nil {
		panic(fmt.Sprintf("encode schema type %x: %v", typeID, err))
	}
	return data
}
