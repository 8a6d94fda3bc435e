package front

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"yardrock.example/system/apierror"
	"yardrock.example/system/conversation"
	"yardrock.example/system/wire"
)

// fingerprint hashes parts to a name: the first 16 bytes of SHA-256 in hex.
func fingerprint(parts ...string) string {
	sum := sha256.Sum256([]byte(strings.Join(parts, "\x00")))
	return hex.EncodeToString(sum[:16])
}

// digest identifies the request's content: a repeat has the same digest, other work under
// the same key has another.
func (request *request) digest() string {
	return fingerprint(request.kind, request.input, request.idempotencyKey)
}

// sessionName is the conversation's name with its team, so that no team can name another
// team's sessions.
func (request *request) sessionName() string { return request.team + "/" + request.conversation }

// nameSession names a new conversation by its idempotency key, if it has one, so that a
// repeat on any front finds the same session.
func nameSession(_ context.Context, _ *Node, request *request) (any, error) {
	switch {
	case request.conversation != "":
	case request.idempotencyKey != "":
		request.conversation = "c-" + fingerprint(request.team, request.program, request.parent, request.idempotencyKey)
	default:
		request.conversation = "c-" + uuid.NewString()
		request.newlyNamed = true
	}
	return nil, nil
}

// nameOnceSession names the session that records work which must run at most once.
func nameOnceSession(_ context.Context, _ *Node, request *request) (any, error) {
	if request.idempotencyKey == "" {
		return nil, apierror.New(apierror.Invalid, "query_key is empty", "give each piece of work a key of its own")
	}
	request.conversation = "q-" + fingerprint(request.team, request.program, request.idempotencyKey)
	return nil, nil
}

// readSession reads all events of the session by a quorum read, unless it was named at
// random just now.
func readSession(ctx context.Context, node *Node, request *request) (any, error) {
	if request.newlyNamed {
		request.history, request.newlyNamed = conversation.Fold(nil), false
		return nil, nil
	}
	readCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	events, last, err := node.stores.ReadAll(readCtx, request.sessionName())
	if apierror.Is(err, apierror.NotFound) {
		request.history = conversation.Fold(nil)
		if request.follows > 0 {
			return nil, request.unknownConversationError()
		}
		return nil, nil
	}
	if err != nil {
		return nil, asNotRun(err)
	}
	request.history, request.sessionExists = conversation.Fold(events), true
	request.history.Clock = last.Clock
	if request.program == "" {
		request.program = last.Session.Program
	}
	return nil, nil
}

// asNotRun makes the error for a rejection that came before anything was begun.
func asNotRun(err error) error {
	failure := apierror.Of(err)
	return &apierror.Error{Kind: apierror.NotRun, Message: failure.Message, Remedy: failure.Remedy, RetryAfter: max(failure.RetryAfter, time.Second), Cause: err}
}

// unknownConversationError is for a conversation that no session records, or no longer.
func (request *request) unknownConversationError() error {
	return apierror.New(apierror.NotFound, "no conversation is named "+strconv.Quote(request.conversation), "start a conversation; one is forgotten when its keeping time is over")
}

// requireSession rejects a session that does not exist; readSession has read its program.
func requireSession(_ context.Context, _ *Node, request *request) (any, error) {
	if !request.sessionExists {
		return nil, request.unknownConversationError()
	}
	return nil, nil
}

// readAfter reads one page of a session; a cursor beyond its end is Invalid.
func (node *Node) readAfter(ctx context.Context, request *request, after, limit uint64) (*wire.ReadReply, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	reply, err := node.stores.Read(ctx, wire.ReadQuery{Session: request.sessionName(), After: after, Limit: limit})
	if err != nil {
		return nil, err
	}
	if after > reply.Session.Head {
		return nil, apierror.New(apierror.Invalid, "the cursor is beyond the last event "+strconv.FormatUint(reply.Session.Head, 10), "read from a seq that was given out")
	}
	return reply, nil
}
