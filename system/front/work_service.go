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

// handler returns the HTTP handler of the work API and the health probes.
func (node *Node) handler() http.Handler {
	mux := goahttp.NewMuxer()
	decoder, encoder := goahttp.RequestDecoder, goahttp.ResponseEncoder
	workserver.Mount(mux, workserver.New(work.NewEndpoints(workService{node}), mux, decoder, encoder, nil, httpapi.FormatError))
	httpapi.MountHealth(mux, node.Ready)
	return mux
}

// workService implements the generated service interface by the filter chains.
type workService struct{ node *Node }

// stringValue returns the string that value points to, or "" if it is nil.
func stringValue(value *string) string {
	if value == nil {
		return ""
	}
	return *value
}

// runChain sets the request's bearer token and passes the request through a chain.
func (service workService) runChain(ctx context.Context, authorization *string, request *request, chain []filter) (any, error) {
	token, err := httpapi.BearerToken(authorization)
	if err != nil {
		return nil, err
	}
	request.token = token
	return service.node.runChain(ctx, request, chain)
}

// respondStream runs a chain that answers with a stream.
func (service workService) respondStream(ctx context.Context, authorization *string, request *request, chain []filter) (io.ReadCloser, error) {
	answer, err := service.runChain(ctx, authorization, request, chain)
	if err != nil {
		return nil, err
	}
	stream := answer.(*eventStream) // the only answer of the chains of turns, helpers and tails
	stream.context = ctx
	httpapi.SetContentType(ctx, "application/x-ndjson")
	return stream, nil
}

// respondOutcome runs a chain that answers with an outcome.
func (service workService) respondOutcome(ctx context.Context, authorization *string, request *request, chain []filter) (*work.Outcome, error) {
	answer, err := service.runChain(ctx, authorization, request, chain)
	if err != nil {
		return nil, err
	}
	return answer.(*work.Outcome), nil // the only answer of the chains of plain work
}

// Start starts a conversation with its first turn.
func (service workService) Start(ctx context.Context, payload *work.StartPayload) (io.ReadCloser, error) {
	return service.respondStream(ctx, payload.Authorization, &request{
		program: payload.Program, kind: payload.Kind, input: payload.Words, idempotencyKey: stringValue(payload.QueryKey),
	}, turnChain)
}

// Turn starts a turn that follows another one of its conversation.
func (service workService) Turn(ctx context.Context, payload *work.TurnPayload) (io.ReadCloser, error) {
	if payload.Follows == 0 {
		return nil, apierror.New(apierror.Invalid, "follows is 0", "set follows to the seq of the turn to follow")
	}
	return service.respondStream(ctx, payload.Authorization, &request{
		conversation: payload.Conversation, follows: payload.Follows, kind: payload.Kind, input: payload.Words, idempotencyKey: stringValue(payload.QueryKey),
	}, followChain)
}

// Tool calls a tool between turns.
func (service workService) Tool(ctx context.Context, payload *work.ToolPayload) (*work.Outcome, error) {
	return service.respondOutcome(ctx, payload.Authorization, &request{
		conversation: payload.Conversation, follows: payload.Follows, kind: payload.Kind, input: payload.Words, idempotencyKey: payload.QueryKey,
	}, toolChain)
}

// Helper starts a conversation that is recorded in the session of its parent.
func (service workService) Helper(ctx context.Context, payload *work.HelperPayload) (io.ReadCloser, error) {
	return service.respondStream(ctx, payload.Authorization, &request{
		parent: payload.Conversation, follows: payload.Follows, program: payload.Program, kind: payload.Kind, input: payload.Words, idempotencyKey: payload.QueryKey,
	}, helperChain)
}

// Lookup runs plain work that may run more than once.
func (service workService) Lookup(ctx context.Context, payload *work.LookupPayload) (*work.Outcome, error) {
	return service.respondOutcome(ctx, payload.Authorization, &request{
		program: payload.Program, kind: payload.Kind, input: payload.Words, idempotencyKey: stringValue(payload.QueryKey),
	}, lookupChain)
}

// Once runs plain work that must run at most once.
func (service workService) Once(ctx context.Context, payload *work.OncePayload) (*work.Outcome, error) {
	return service.respondOutcome(ctx, payload.Authorization, &request{
		program: payload.Program, kind: payload.Kind, input: payload.Words, idempotencyKey: payload.QueryKey,
	}, onceChain)
}

// Tail streams events after a cursor.
func (service workService) Tail(ctx context.Context, payload *work.TailPayload) (io.ReadCloser, error) {
	turn := uint64(0)
	if payload.Turn != nil {
		turn = *payload.Turn
	}
	return service.respondStream(ctx, payload.Authorization, &request{conversation: payload.Conversation}, chain(admission, tailAfter(payload.Cursor, turn)))
}

// tailAfter returns the last filter of Tail. It answers with the stream only if the cursor and
// the turn exist.
func tailAfter(cursor, turn uint64) filter {
	return func(ctx context.Context, node *Node, request *request) (any, error) {
		if _, err := node.readAfter(ctx, request, cursor, 1); err != nil {
			return nil, err
		}
		if turn != 0 {
			reply, err := node.readAfter(ctx, request, turn-1, 1)
			if err != nil {
				return nil, err
			}
			if len(reply.Events) == 0 || reply.Events[0].Kind != sessionlog.TurnBegun {
				return nil, apierror.New(apierror.NotFound, "the conversation has no turn "+strconv.FormatUint(turn, 10), "read the history and name one of its turns")
			}
		}
		return node.tail(request.sessionName(), request.conversation, cursor, turn), nil
	}
}

// History returns a page of the committed events of a conversation.
func (service workService) History(ctx context.Context, payload *work.HistoryPayload) (*work.Transcript, error) {
	answer, err := service.runChain(ctx, payload.Authorization, &request{conversation: payload.Conversation}, chain(admission, readPage(payload.After, payload.Limit)))
	if err != nil {
		return nil, err
	}
	reply := answer.(*wire.ReadReply) // the only answer of readPage
	transcript := &work.Transcript{Conversation: payload.Conversation, Program: reply.Session.Program, Head: reply.Session.Head, Events: []*work.Record{}}
	for _, event := range reply.Events {
		transcript.Events = append(transcript.Events, toRecord(event))
	}
	return transcript, nil
}

// readPage returns the last filter of History.
func readPage(after, limit uint64) filter {
	return func(ctx context.Context, node *Node, request *request) (any, error) {
		return node.readAfter(ctx, request, after, limit)
	}
}

// toRecord converts an event to a transcript record, which omits zero values.
func toRecord(event sessionlog.Event) *work.Record {
	return &work.Record{
		Seq: event.Seq, At: time.Unix(0, event.At).UTC().Format(time.RFC3339Nano), Kind: eventNames[event.Kind],
		Words: pointerOrNil(event.Text), Outcome: pointerOrNil(event.Outcome), Name: pointerOrNil(event.Name),
		Turn: pointerOrNil(event.Run), Follows: pointerOrNil(event.Follows),
	}
}

// pointerOrNil returns a pointer to value, or nil if it is zero.
func pointerOrNil[Value comparable](value Value) *Value {
	var zero Value
	if value == zero {
		return nil
	}
	return &value
}

// Tally returns how much of its quota a program has spent and reserved.
func (service workService) Tally(ctx context.Context, payload *work.TallyPayload) (*work.TallyResult, error) {
	answer, err := service.runChain(ctx, payload.Authorization, &request{program: payload.Program}, chain(admission, findProgram, readQuotaUsage))
	if err != nil {
		return nil, err
	}
	return answer.(*work.TallyResult), nil // the only answer of readQuotaUsage
}

// readQuotaUsage is the last filter of Tally.
func readQuotaUsage(ctx context.Context, node *Node, request *request) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	reply, err := node.stores.Read(ctx, wire.ReadQuery{Session: request.quotaName(), QuotaUsage: true})
	if err != nil {
		return nil, err
	}
	return &work.TallyResult{Program: request.program, Allowance: request.programConfig.Quota, Spent: reply.Spent, Reserved: reply.Reserved}, nil
}
