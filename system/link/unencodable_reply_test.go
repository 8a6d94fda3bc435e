//go:build unix

package link

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// TestReplyThatCannotBeEncodedIsLogged checks that the server logs the dropped reply, as the client
// only sees its context end.
func TestReplyThatCannotBeEncodedIsLogged(t *testing.T) {
	// Longer than Cap'n Proto allows, and therefore never read: the pages are not accessible.
	tooLong, err := syscall.Mmap(-1, 0, 1<<29, syscall.PROT_NONE, syscall.MAP_ANON|syscall.MAP_PRIVATE)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Munmap(tooLong) }()
	logged := make(chan *log.Entry, 1)
	previous := log.Log.(*log.Logger).Handler
	log.SetHandler(log.HandlerFunc(func(entry *log.Entry) error { logged <- entry; return nil }))
	defer log.SetHandler(previous)
	listener, err := TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := Serve(listener, func(context.Context, *wire.Query) *wire.Reply {
		return &wire.Reply{Which: schema.Reply_Which_outcomes, Command: &wire.CommandReply{History: tooLong}}
	})
	client := NewClient(TCP{})
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	if reply, err := client.Call(ctx, listener.Addr().String(), statusQuery("here")); !apierror.Is(err, apierror.Unavailable) || ctx.Err() == nil {
		t.Errorf("the call returned %+v, %v, want Unavailable once its context ended", reply, err)
	}
	server.Close()
	select {
	case entry := <-logged:
		checkUnencodable(t, entry)
	case <-time.After(10 * time.Second):
		t.Error("the dropped reply was not logged")
	}
}

func checkUnencodable(t *testing.T, entry *log.Entry) {
	t.Helper()
	if entry.Level != log.ErrorLevel || entry.Message != "a reply cannot be encoded and is dropped" || entry.Fields.Get("query") != "status" || entry.Fields.Get("error") == "" {
		t.Errorf("logged %v %q %v", entry.Level, entry.Message, entry.Fields)
	}
}
