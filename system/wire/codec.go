package wire

import (
	"encoding/binary"

	"capnproto.org/go/capnp/v3"
	"capnproto.org/go/capnp/v3/schemas"

	"yardrock.example/system/wire/schema"
)

// readLimit is the maximum number of bytes that reading one message may traverse; what a
// pointer refers to counts each time the pointer is followed.
const readLimit = 1 << 30

// The library's reflection looks up the schema in the default registry.
func init() { schema.RegisterSchema(schemas.DefaultRegistry) }

// AppendQuery appends a query, as a packed Cap'n Proto message, to target.
//
//	data, err := wire.AppendQuery(nil, query)
func AppendQuery(target []byte, query *Query) ([]byte, error) {
	return appendPacked(target, rootOf(schema.NewRootQuery), func(root capnp.Struct) error { return encodeQuery(schema.Query(root), query) })
}

// AppendReply appends a reply, as a packed Cap'n Proto message, to target.
//
//	data, err := wire.AppendReply(nil, reply)
func AppendReply(target []byte, reply *Reply) ([]byte, error) {
	return appendPacked(target, rootOf(schema.NewRootReply), func(root capnp.Struct) error { return encodeReply(schema.Reply(root), reply) })
}

// DecodeQuery decodes a query, packed or not. Its byte fields may alias the data, which must
// not be modified afterwards.
//
//	query, err := wire.DecodeQuery(data)
func DecodeQuery(data []byte) (*Query, error) {
	root, err := readPackedRoot(data)
	if err != nil {
		return nil, err
	}
	return decodeQuery(schema.Query(root))
}

// DecodeReply decodes a reply, packed or not. Its byte fields may alias the data, which must
// not be modified afterwards.
//
//	reply, err := wire.DecodeReply(data)
func DecodeReply(data []byte) (*Reply, error) {
	root, err := readPackedRoot(data)
	if err != nil {
		return nil, err
	}
	return decodeReply(schema.Reply(root))
}

// rootConstructor allocates the root struct of a message.
type rootConstructor func(*capnp.Segment) (capnp.Struct, error)

// rootOf adapts the generated constructor of a root struct.
func rootOf[Struct ~capnp.StructKind](newRoot func(*capnp.Segment) (Struct, error)) rootConstructor {
	return func(segment *capnp.Segment) (capnp.Struct, error) {
		root, err := newRoot(segment)
		return capnp.Struct(root), err
	}
}

// appendPacked is appendMessage followed by packMessage.
func appendPacked(target []byte, newRoot rootConstructor, encode func(capnp.Struct) error) ([]byte, error) {
	start := len(target)
	target, err := appendMessage(target, newRoot, encode)
	if err != nil {
		return nil, err
	}
	return packMessage(target, start), nil
}

// appendMessage appends a single-segment message to target; encode fills its root. The
// library's buffer for the message is released, so nothing may refer to it afterwards.
func appendMessage(target []byte, newRoot rootConstructor, encode func(capnp.Struct) error) ([]byte, error) {
	message, segment, err := capnp.NewMessage(capnp.SingleSegment(nil))
	if err != nil {
		return nil, err
	}
	defer message.Release()
	root, err := newRoot(segment)
	if err != nil {
		return nil, err
	}
	if err := encode(root); err != nil {
		return nil, err
	}
	data := segment.Data()
	// The segment table: the number of segments minus one, and the segment's length in words.
	target = binary.LittleEndian.AppendUint32(target, 0)
	target = binary.LittleEndian.AppendUint32(target, uint32(len(data)/wordSize))
	return append(target, data...), nil
}

// readRoot returns the root of an unpacked message. It aliases the data.
func readRoot(data []byte) (capnp.Struct, error) {
	message, err := capnp.Unmarshal(data)
	if err != nil {
		return capnp.Struct{}, err
	}
	message.ResetReadLimit(readLimit)
	root, err := message.Root()
	return root.Struct(), err
}

// readPackedRoot is readRoot for a message that may be packed.
func readPackedRoot(data []byte) (capnp.Struct, error) {
	data, err := unpackMessage(data)
	if err != nil {
		return capnp.Struct{}, err
	}
	return readRoot(data)
}
