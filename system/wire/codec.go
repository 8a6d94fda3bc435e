package wire

import (
	"encoding/binary"

	"capnproto.org/go/capnp/v3"
	"capnproto.org/go/capnp/v3/schemas"

	"yardrock.example/system/wire/schema"
)

// The types of the ordinary path are put and taken by hand through the generated
// accessors; the library's reflection reads the schema anew at each call, which
// cost more than all else together (docs/measurements.md). All other types go
// through the library.

// AppendQuery appends a query, as a packed Cap'n Proto message, to bytes.
//
//	data, err := wire.AppendQuery(nil, query)
func AppendQuery(target []byte, query *Query) ([]byte, error) {
	start := len(target)
	target, err := appendMessage(target, newRoot(schema.NewRootQuery), func(made capnp.Struct) error { return encodeQuery(schema.Query(made), query) })
	if err != nil {
		return nil, err
	}
	return packMessage(target, start), nil
}

// AppendReply appends a reply, as a packed Cap'n Proto message, to bytes.
//
//	data, err := wire.AppendReply(nil, reply)
func AppendReply(target []byte, reply *Reply) ([]byte, error) {
	start := len(target)
	target, err := appendMessage(target, newRoot(schema.NewRootReply), func(made capnp.Struct) error { return encodeReply(schema.Reply(made), reply) })
	if err != nil {
		return nil, err
	}
	return packMessage(target, start), nil
}

// DecodeQuery reads a query. Its byte fields may point into the data.
//
//	query, err := wire.DecodeQuery(data)
func DecodeQuery(data []byte) (*Query, error) {
	data, err := unpackMessage(data)
	if err != nil {
		return nil, err
	}
	root, err := readRoot(data)
	if err != nil {
		return nil, err
	}
	return decodeQuery(schema.Query(root))
}

// DecodeReply reads a reply. Its byte fields may point into the data.
//
//	reply, err := wire.DecodeReply(data)
func DecodeReply(data []byte) (*Reply, error) {
	data, err := unpackMessage(data)
	if err != nil {
		return nil, err
	}
	root, err := readRoot(data)
	if err != nil {
		return nil, err
	}
	return decodeReply(schema.Reply(root))
}

const readLimit = 1 << 30

func init() { schema.RegisterSchema(schemas.DefaultRegistry) }

// appendMessage appends a message of one segment, whose root a function fills, to
// bytes. The message's own memory is used again.
func appendMessage(target []byte, root func(*capnp.Segment) (capnp.Struct, error), encode func(capnp.Struct) error) ([]byte, error) {
	message, segment, err := capnp.NewMessage(capnp.SingleSegment(nil))
	if err != nil {
		return nil, err
	}
	defer message.Release()
	made, err := root(segment)
	if err != nil {
		return nil, err
	}
	if err := encode(made); err != nil {
		return nil, err
	}
	data := segment.Data()
	target = binary.LittleEndian.AppendUint32(target, 0) // one segment
	target = binary.LittleEndian.AppendUint32(target, uint32(len(data)/8))
	return append(target, data...), nil
}

// newRoot adapts a generated constructor of a root struct.
func newRoot[Struct ~capnp.StructKind](make func(*capnp.Segment) (Struct, error)) func(*capnp.Segment) (capnp.Struct, error) {
	return func(segment *capnp.Segment) (capnp.Struct, error) {
		made, err := make(segment)
		return capnp.Struct(made), err
	}
}

// readRoot gives the root of a message; it points into the data.
func readRoot(data []byte) (capnp.Struct, error) {
	message, err := capnp.Unmarshal(data)
	if err != nil {
		return capnp.Struct{}, err
	}
	message.ResetReadLimit(readLimit)
	root, err := message.Root()
	return root.Struct(), err
}
