package modelcheck

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"

	"yardrock.example/system/raft"
)

// fingerprint is a hash that is long enough that no two states of one search share it.
type fingerprint [16]byte

// distinctBytes is how much of a command or image tells it from all others of its length.
const distinctBytes = 64

// encodingSkips are types that are no part of a replica's state: its settings, the
// generator of its election timeouts, and what the last step returned.
var encodingSkips = map[reflect.Type]bool{
	reflect.TypeFor[raft.Settings](): true,
	reflect.TypeFor[*rand.Rand]():    true,
	reflect.TypeFor[raft.Output]():   true,
}

// encode adds a canonical form of any value, unexported fields included: equal values
// give equal bytes, and nil is as good as empty. It follows the types, so a field that
// the core gains later is part of the state without a change here.
//
//revive:disable-next-line:cyclomatic one case for each kind of value
func encode(buffer []byte, value reflect.Value) []byte {
	kind := value.Kind()
	if (kind == reflect.Struct || kind == reflect.Pointer) && encodingSkips[value.Type()] {
		return buffer
	}
	switch kind {
	case reflect.Bool:
		if value.Bool() {
			return append(buffer, 1)
		}
		return append(buffer, 0)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return binary.AppendVarint(buffer, value.Int())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return binary.AppendUvarint(buffer, value.Uint())
	case reflect.String:
		buffer = binary.AppendUvarint(buffer, uint64(value.Len()))
		return append(buffer, value.String()...)
	case reflect.Slice, reflect.Array:
		buffer = binary.AppendUvarint(buffer, uint64(value.Len()))
		if kind == reflect.Slice && value.Type().Elem().Kind() == reflect.Uint8 {
			return append(buffer, value.Bytes()[:min(value.Len(), distinctBytes)]...)
		}
		for position := range value.Len() {
			buffer = encode(buffer, value.Index(position))
		}
		return buffer
	case reflect.Map:
		return encodeMap(buffer, value)
	case reflect.Pointer, reflect.Interface:
		if value.IsNil() {
			return append(buffer, 0)
		}
		return encode(append(buffer, 1), value.Elem())
	case reflect.Struct:
		for position := range value.NumField() {
			buffer = encode(buffer, value.Field(position))
		}
		return buffer
	case reflect.Func:
		return buffer
	}
	panic(fmt.Sprintf("a state holds a %s, which has no canonical form", value.Type()))
}

func encodeMap(buffer []byte, value reflect.Value) []byte {
	pairs := make([][]byte, 0, value.Len())
	for each := value.MapRange(); each.Next(); {
		pairs = append(pairs, encode(encode(nil, each.Key()), each.Value()))
	}
	slices.SortFunc(pairs, bytes.Compare)
	buffer = binary.AppendUvarint(buffer, uint64(len(pairs)))
	for _, pair := range pairs {
		buffer = append(buffer, pair...)
	}
	return buffer
}

func hash(encoded []byte) fingerprint {
	sum := sha256.Sum256(encoded)
	return fingerprint(sum[:16])
}

func keyOf(message *raft.Message) messageKey {
	sum := hash(encode(make([]byte, 0, 256), reflect.ValueOf(message).Elem()))
	return messageKey(binary.BigEndian.Uint64(sum[:]))
}

// fingerprint hashes all that the future of a replica depends on.
func (replica *replica) fingerprint() fingerprint {
	if replica.hashed {
		return replica.hash
	}
	buffer := make([]byte, 0, 1024)
	buffer = append(buffer, replica.name...)
	buffer = encode(buffer, reflect.ValueOf(replica.wiped))
	buffer = encode(buffer, reflect.ValueOf(&replica.disk).Elem())
	if !replica.wiped {
		buffer = encode(buffer, reflect.ValueOf(replica.core).Elem())
		buffer = encode(buffer, reflect.ValueOf(replica.pending))
	}
	replica.hash = hash(buffer)
	replica.hashed = true
	return replica.hash
}

// fingerprint hashes a whole world, with its history and what it has spent of its limits.
func (world *World) fingerprint() fingerprint {
	buffer := make([]byte, 0, 1024)
	for _, replica := range world.replicas {
		sum := replica.fingerprint()
		buffer = append(buffer, sum[:]...)
	}
	for _, packet := range world.inFlight {
		buffer = binary.BigEndian.AppendUint64(buffer, uint64(packet.key))
	}
	buffer = encode(buffer, reflect.ValueOf(&world.history).Elem())
	for _, spent := range world.spent {
		buffer = binary.AppendUvarint(buffer, uint64(spent))
	}
	return hash(buffer)
}
