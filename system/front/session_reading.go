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

// fingerprint returns the first 16 bytes of the SHA-256 of parts, in hex.
func fingerprint(parts ...string) string {
	sum := sha256.Sum256([]byte(strings.Join(parts, "\x00")))
	return hex.EncodeToString(sum[:16])
}

// digest identifies the content of the request: a repeated request has the same digest, and
// other work with the same idempotency key has another.
func (request *request) digest() string {
	return fingerprint(request.kind, request.input, request.idempotencyKey)
}

// sessionName returns the conversation's name prefixed with the team, so that no team can access
// another team's sessions.
func (request *request) sessionName() string { return request.team + "/" + request.conversation }

// nameSession derives the name of a new conversation from the idempotency key, if there is one,
// so that a repeated request finds the same session on any front.
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

// nameOnceSession names the session that records work that must run at most once.
func nameOnceSession(_ context.Context, _ *Node, request *request) (any, error) {
	if request.idempotencyKey == "" {
		return nil, apierror.New(apierror.Invalid, "query_key is empty", "set a unique query_key for each piece of work")
	}
	request.conversation = "q-" + fingerprint(request.team, request.program, request.idempotencyKey)
	return nil, nil
}

// readSession reads all events of the session by a quorum read. There is nothing to read if this
// request has just generated the session's name.
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

// asNotRun converts an error into a NotRun error, for a failure before any work was started.
func asNotRun(err error) error {
	failure := apierror.Of(err)
	return &apierror.Error{Kind: apierror.NotRun, Message: failure.Message, Remedy: failure.Remedy, RetryAfter: max(failure.RetryAfter, time.Second), Cause: err}
}

// unknownConversationError is the error for a conversation without a session, or whose session
// has expired.
func (request *request) unknownConversationError() error {
	return apierror.New(apierror.NotFound, "no conversation is named "+strconv.Quote(request.conversation), "start a conversation; sessions are deleted after the retention period")
}

// requireSession rejects a request whose session does not exist.
func requireSession(_ context.Context, _ *Node, request *request) (any, error) {
	if !request.sessionExists {
		return nil, request.unknownConversationError()
	}
	return nil, nil
}

// readAfter reads one page of a session; a cursor beyond its end is an Invalid error.
func (node *Node) readAfter(ctx context.Context, request *request, after, limit uint64) (*wire.ReadReply, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	reply, err := node.stores.Read(ctx, wire.ReadQuery{Session: request.sessionName(), After: after, Limit: limit})
	if err != nil {
		return nil, err
	}
	if after > reply.Session.Head {
		return nil, apierror.New(apierror.Invalid, "the cursor is beyond the last event "+strconv.FormatUint(reply.Session.Head, 10), "use the seq of an existing event as the cursor")
	}
	return reply, nil
}
