package wire

import (
	"fmt"
	"reflect"
	"testing"

	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire/schema"
)

// filler sets each exported field of a value to a nonzero value, as distinct as its kind allows.
type filler struct{ count uint64 }

func (filler *filler) fill(value reflect.Value) {
	filler.count++
	switch value.Kind() {
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		filler.fill(value.Elem())
	case reflect.Struct:
		for index := range value.NumField() {
			if value.Type().Field(index).IsExported() {
				filler.fill(value.Field(index))
			}
		}
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 2, 2))
		filler.fill(value.Index(0))
		filler.fill(value.Index(1))
	case reflect.String:
		value.SetString(fmt.Sprint("text-", filler.count))
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(1 + filler.count%255)
	case reflect.Float64:
		value.SetFloat(float64(filler.count) + 0.5)
	case reflect.Int64:
		value.SetInt(int64(filler.count))
	default:
		panic("unsupported field kind " + value.Kind().String())
	}
}

// unionFields returns the indexes of a message's union fields, in the order of Which.
func unionFields(message reflect.Type) []int {
	found := []int{}
	for index := range message.NumField() {
		if message.Field(index).Type.Kind() == reflect.Pointer {
			found = append(found, index)
		}
	}
	return found
}

// TestEveryQueryRoundTrips fills all fields of each kind of query: none may be lost or missing
// in the schema. TestRaftBatchRoundTripsAllMessages covers Raft batches, whose fields depend on
// the kind of message.
func TestEveryQueryRoundTrips(t *testing.T) {
	for which, index := range unionFields(reflect.TypeFor[Query]()) {
		query := &Query{Version: Version, Fleet: "fleet", To: "store-a", Which: schema.Query_Which(which)}
		if query.Which == schema.Query_Which_agreement {
			continue
		}
		(&filler{}).fill(reflect.ValueOf(query).Elem().Field(index))
		data, err := AppendQuery(nil, query)
		if err != nil {
			t.Errorf("%s: %v", query.Which, err)
			continue
		}
		if got, err := DecodeQuery(data); err != nil || !reflect.DeepEqual(got, query) {
			t.Errorf("%s: %v\n got %+v\nwant %+v", query.Which, err, got, query)
		}
	}
}

// TestEveryReplyRoundTrips fills all fields of each kind of reply. A read reply has only part
// of the session (encodeReadReply).
func TestEveryReplyRoundTrips(t *testing.T) {
	for position, index := range unionFields(reflect.TypeFor[Reply]()) {
		reply := &Reply{Which: schema.Reply_Which(position + 1)} // 0 is Reply_Which_nothing
		(&filler{}).fill(reflect.ValueOf(reply).Elem().Field(index))
		if reply.Read != nil {
			session := &reply.Read.Session
			*session = sessionlog.Session{Name: session.Name, Team: session.Team, Program: session.Program, WorkKind: session.WorkKind, CreatedAt: session.CreatedAt,
				Retention: session.Retention, UpdatedAt: session.UpdatedAt, Head: session.Head, ArchivedSeq: session.ArchivedSeq}
		}
		data, err := AppendReply(nil, reply)
		if err != nil {
			t.Errorf("%s: %v", reply.Which, err)
			continue
		}
		if got, err := DecodeReply(data); err != nil || !reflect.DeepEqual(got, reply) {
			t.Errorf("%s: %v\n got %+v\nwant %+v", reply.Which, err, got, reply)
		}
	}
}
