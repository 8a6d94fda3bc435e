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

// fingerprint is a hash long enough that collisions within one search are negligible.
type fingerprint [16]byte

// hashedBytes is the length of the prefix of a command or snapshot that is hashed. It must
// distinguish all values of equal length.
const hashedBytes = 64

// excludedTypes are types that are not part of a replica's state: the settings, the random
// generator for election timeouts and the output of the last step.
var excludedTypes = map[reflect.Type]bool{
	reflect.TypeFor[raft.Settings](): true,
	reflect.TypeFor[*rand.Rand]():    true,
	reflect.TypeFor[raft.Output]():   true,
}

// encode appends a canonical encoding of a value, including unexported fields: equal values
// have equal encodings, and nil slices and maps are encoded as empty ones. It uses
// reflection so that fields added to the core become part of the state automatically.
//
//revive:disable-next-line:cyclomatic one case for each kind of value
func encode(buffer []byte, value reflect.Value) []byte {
	kind := value.Kind()
	if (kind == reflect.Struct || kind == reflect.Pointer) && excludedTypes[value.Type()] {
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
			return append(buffer, value.Bytes()[:min(value.Len(), hashedBytes)]...)
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
	panic(fmt.Sprintf("type %s has no canonical encoding", value.Type()))
}

func encodeMap(buffer []byte, value reflect.Value) []byte {
	pairs := make([][]byte, 0, value.Len())
	for entries := value.MapRange(); entries.Next(); {
		pairs = append(pairs, encode(encode(nil, entries.Key()), entries.Value()))
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

// fingerprint hashes the parts of a replica that determine its future behavior.
func (r *replica) fingerprint() fingerprint {
	if r.fingerprintCached {
		return r.cachedFingerprint
	}
	buffer := make([]byte, 0, 1024)
	buffer = append(buffer, r.name...)
	buffer = encode(buffer, reflect.ValueOf(r.wiped))
	buffer = encode(buffer, reflect.ValueOf(&r.disk).Elem())
	if !r.wiped {
		buffer = encode(buffer, reflect.ValueOf(r.core).Elem())
		buffer = encode(buffer, reflect.ValueOf(r.pending))
	}
	r.cachedFingerprint = hash(buffer)
	r.fingerprintCached = true
	return r.cachedFingerprint
}

// fingerprint hashes the complete state, including the history and the action counts.
func (world *World) fingerprint() fingerprint {
	buffer := make([]byte, 0, 1024)
	for _, r := range world.replicas {
		sum := r.fingerprint()
		buffer = append(buffer, sum[:]...)
	}
	for _, p := range world.inFlight {
		buffer = binary.BigEndian.AppendUint64(buffer, uint64(p.key))
	}
	buffer = encode(buffer, reflect.ValueOf(&world.history).Elem())
	for _, count := range world.performed {
		buffer = binary.AppendUvarint(buffer, uint64(count))
	}
	return hash(buffer)
}
