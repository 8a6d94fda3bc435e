package front

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	goahttp "goa.design/goa/v3/http"

	workserver "yardrock.example/system/api/gen/http/work/server"
	"yardrock.example/system/api/gen/work"
	"yardrock.example/system/apierror"
	"yardrock.example/system/httpapi"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
)

// handler mounts the generated servers.
func (node *Node) handler() http.Handler {
	mux := goahttp.NewMuxer()
	decoder, encoder := goahttp.RequestDecoder, goahttp.ResponseEncoder
	workserver.Mount(mux, workserver.New(work.NewEndpoints(workService{node}), mux, decoder, encoder, nil, httpapi.FormatError))
	httpapi.MountHealth(mux, node.Ready)
	return mux
}

// workService implements the generated interface with the chains.
type workService struct{ node *Node }

// text returns an optional text, or "".
func text(optional *string) string {
	if optional == nil {
		return ""
	}
	return *optional
}

// runChain passes a request with its bearer token through a chain.
func (service workService) runChain(ctx context.Context, authorization *string, request *request, chain []filter) (any, error) {
	token, err := httpapi.BearerToken(authorization)
	if err != nil {
		return nil, err
	}
	request.token = token
	return service.node.runChain(ctx, request, chain)
}

// respondStream runs a chain whose answer is a stream.
func (service workService) respondStream(ctx context.Context, authorization *string, request *request, chain []filter) (io.ReadCloser, error) {
	answer, err := service.runChain(ctx, authorization, request, chain)
	if err != nil {
		return nil, err
	}
	streaming := answer.(*eventStream) // the chains of turns, helpers and tails answer with nothing else
	streaming.context = ctx
	httpapi.SetContentType(ctx, "application/x-ndjson")
	return streaming, nil
}

// respondOutcome runs a chain whose answer is an outcome.
func (service workService) respondOutcome(ctx context.Context, authorization *string, request *request, chain []filter) (*work.Outcome, error) {
	answer, err := service.runChain(ctx, authorization, request, chain)
	if err != nil {
		return nil, err
	}
	return answer.(*work.Outcome), nil // the chains of plain work answer with nothing else
}

// Start starts a conversation.
func (service workService) Start(ctx context.Context, payload *work.StartPayload) (io.ReadCloser, error) {
	return service.respondStream(ctx, payload.Authorization, &request{program: payload.Program, kind: payload.Kind, words: payload.Words, idempotencyKey: text(payload.QueryKey)}, turnChain)
}

// Turn follows a turn of a conversation.
func (service workService) Turn(ctx context.Context, payload *work.TurnPayload) (io.ReadCloser, error) {
	if payload.Follows == 0 {
		return nil, apierror.New(apierror.Invalid, "follows is 0", "name the turn to follow")
	}
	return service.respondStream(ctx, payload.Authorization, &request{conversation: payload.Conversation, follows: payload.Follows, kind: payload.Kind, words: payload.Words, idempotencyKey: text(payload.QueryKey)}, followChain)
}

// Tool calls a tool between turns.
func (service workService) Tool(ctx context.Context, payload *work.ToolPayload) (*work.Outcome, error) {
	return service.respondOutcome(ctx, payload.Authorization, &request{conversation: payload.Conversation, follows: payload.Follows, kind: payload.Kind, words: payload.Words, idempotencyKey: payload.QueryKey}, toolChain)
}

// Helper starts a conversation that its parent's session names.
func (service workService) Helper(ctx context.Context, payload *work.HelperPayload) (io.ReadCloser, error) {
	return service.respondStream(ctx, payload.Authorization, &request{parent: payload.Conversation, follows: payload.Follows, program: payload.Program, kind: payload.Kind, words: payload.Words, idempotencyKey: payload.QueryKey}, helperChain)
}

// Lookup sends plain work that may run more than once.
func (service workService) Lookup(ctx context.Context, payload *work.LookupPayload) (*work.Outcome, error) {
	return service.respondOutcome(ctx, payload.Authorization, &request{program: payload.Program, kind: payload.Kind, words: payload.Words, idempotencyKey: text(payload.QueryKey)}, lookupChain)
}

// Once sends plain work that must run at most once.
func (service workService) Once(ctx context.Context, payload *work.OncePayload) (*work.Outcome, error) {
	return service.respondOutcome(ctx, payload.Authorization, &request{program: payload.Program, kind: payload.Kind, words: payload.Words, idempotencyKey: payload.QueryKey}, onceChain)
}

// Tail streams events after a cursor.
func (service workService) Tail(ctx context.Context, payload *work.TailPayload) (io.ReadCloser, error) {
	turn := uint64(0)
	if payload.Turn != nil {
		turn = *payload.Turn
	}
	return service.respondStream(ctx, payload.Authorization, &request{conversation: payload.Conversation}, chain(admission, func(ctx context.Context, node *Node, call *request) (any, error) {
		if _, err := node.readAfter(ctx, call, payload.Cursor, 1); err != nil {
			return nil, err
		}
		if turn != 0 {
			reply, err := node.readAfter(ctx, call, turn-1, 1)
			if err != nil {
				return nil, err
			}
			if len(reply.Events) == 0 || reply.Events[0].Kind != sessionlog.TurnBegun {
				return nil, apierror.New(apierror.NotFound, "the conversation has no turn "+strconv.FormatUint(turn, 10), "read the history and name one of its turns")
			}
		}
		return node.tail(call.sessionName(), call.conversation, payload.Cursor, turn), nil
	}))
}

// History reads a page of committed events.
func (service workService) History(ctx context.Context, payload *work.HistoryPayload) (*work.Transcript, error) {
	answer, err := service.runChain(ctx, payload.Authorization, &request{conversation: payload.Conversation}, chain(admission, func(ctx context.Context, node *Node, call *request) (any, error) {
		return node.readAfter(ctx, call, payload.After, payload.Limit)
	}))
	if err != nil {
		return nil, err
	}
	reply := answer.(*wire.ReadReply) // the chain's last filter answers with nothing else
	transcript := &work.Transcript{Conversation: payload.Conversation, Program: reply.Session.Program, Head: reply.Session.Head, Events: []*work.Record{}}
	for _, event := range reply.Events {
		transcript.Events = append(transcript.Events, toRecord(event))
	}
	return transcript, nil
}

// toRecord converts an event to its form in a transcript.
func toRecord(event sessionlog.Event) *work.Record {
	record := &work.Record{Seq: event.Seq, At: time.Unix(0, event.At).UTC().Format(time.RFC3339Nano), Kind: eventNames[event.Kind]}
	for target, value := range map[**string]string{&record.Words: event.Text, &record.Outcome: event.Outcome, &record.Name: event.Name} {
		if value != "" {
			*target = &value
		}
	}
	for target, value := range map[**uint64]uint64{&record.Turn: event.Turn, &record.Follows: event.Follows} {
		if value != 0 {
			*target = &value
		}
	}
	return record
}

// Tally returns what a program has spent and reserved of its quota.
func (service workService) Tally(ctx context.Context, payload *work.TallyPayload) (*work.TallyResult, error) {
	answer, err := service.runChain(ctx, payload.Authorization, &request{program: payload.Program}, chain(admission, findProgram, func(ctx context.Context, node *Node, call *request) (any, error) {
		ctx, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		reply, err := node.stores.Read(ctx, wire.ReadQuery{Session: call.quotaName(), QuotaUsage: true})
		if err != nil {
			return nil, err
		}
		return &work.TallyResult{Program: call.program, Allowance: call.programConfig.Quota, Spent: reply.Spent, Reserved: reply.Reserved}, nil
	}))
	if err != nil {
		return nil, err
	}
	return answer.(*work.TallyResult), nil // the chain's last filter answers with nothing else
}
