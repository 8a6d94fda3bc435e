package front

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	goahttp "goa.design/goa/v3/http"

	workserver "yardrock.example/system/api/gen/http/work/server"
	"yardrock.example/system/api/gen/work"
	"yardrock.example/system/apierror"
	"yardrock.example/system/httpface"
	"yardrock.example/system/line"
	"yardrock.example/system/wire"
)

// handler mounts the generated servers.
func (node *Node) handler() http.Handler {
	mux := goahttp.NewMuxer()
	decoder, encoder := goahttp.RequestDecoder, goahttp.ResponseEncoder
	workserver.Mount(mux, workserver.New(work.NewEndpoints(service{node}), mux, decoder, encoder, nil, httpface.Format))
	httpface.MountHealth(mux, node.Ready)
	return mux
}

// service joins the generated interface to the chains.
type service struct{ node *Node }

func text(optional *string) string {
	if optional == nil {
		return ""
	}
	return *optional
}

func (service service) pass(ctx context.Context, authorization *string, query *query, chain []filter) (any, error) {
	token, err := httpface.Token(authorization)
	if err != nil {
		return nil, err
	}
	query.token = token
	return service.node.pass(ctx, query, chain)
}

func (service service) stream(ctx context.Context, authorization *string, query *query, chain []filter) (io.ReadCloser, error) {
	answer, err := service.pass(ctx, authorization, query, chain)
	if err != nil {
		return nil, err
	}
	streaming := answer.(*stream)
	streaming.context = ctx
	httpface.ContentType(ctx, "application/x-ndjson")
	return streaming, nil
}

func (service service) outcome(ctx context.Context, authorization *string, query *query, chain []filter) (*work.Outcome, error) {
	answer, err := service.pass(ctx, authorization, query, chain)
	if err != nil {
		return nil, err
	}
	return answer.(*work.Outcome), nil
}

// Start starts a conversation.
func (service service) Start(ctx context.Context, payload *work.StartPayload) (io.ReadCloser, error) {
	return service.stream(ctx, payload.Authorization, &query{program: payload.Program, kind: payload.Kind, words: payload.Words, queryKey: text(payload.QueryKey)}, turnChain)
}

// Turn follows a turn.
func (service service) Turn(ctx context.Context, payload *work.TurnPayload) (io.ReadCloser, error) {
	if payload.Follows == 0 {
		return nil, apierror.New(apierror.Invalid, "follows is 0", "name the turn to follow")
	}
	return service.stream(ctx, payload.Authorization, &query{conversation: payload.Conversation, follows: payload.Follows, kind: payload.Kind, words: payload.Words, queryKey: text(payload.QueryKey)}, followChain)
}

// Tool calls a tool between turns.
func (service service) Tool(ctx context.Context, payload *work.ToolPayload) (*work.Outcome, error) {
	return service.outcome(ctx, payload.Authorization, &query{conversation: payload.Conversation, follows: payload.Follows, kind: payload.Kind, words: payload.Words, queryKey: payload.QueryKey}, toolChain)
}

// Helper starts a conversation that its parent names.
func (service service) Helper(ctx context.Context, payload *work.HelperPayload) (io.ReadCloser, error) {
	return service.stream(ctx, payload.Authorization, &query{parent: payload.Conversation, follows: payload.Follows, program: payload.Program, kind: payload.Kind, words: payload.Words, queryKey: payload.QueryKey}, helperChain)
}

// Lookup asks what may be asked again.
func (service service) Lookup(ctx context.Context, payload *work.LookupPayload) (*work.Outcome, error) {
	return service.outcome(ctx, payload.Authorization, &query{program: payload.Program, kind: payload.Kind, words: payload.Words, queryKey: text(payload.QueryKey)}, lookupChain)
}

// Once runs what may not be repeated.
func (service service) Once(ctx context.Context, payload *work.OncePayload) (*work.Outcome, error) {
	return service.outcome(ctx, payload.Authorization, &query{program: payload.Program, kind: payload.Kind, words: payload.Words, queryKey: payload.QueryKey}, onceChain)
}

// Tail streams events after a cursor.
func (service service) Tail(ctx context.Context, payload *work.TailPayload) (io.ReadCloser, error) {
	turn := uint64(0)
	if payload.Turn != nil {
		turn = *payload.Turn
	}
	return service.stream(ctx, payload.Authorization, &query{conversation: payload.Conversation}, chain(admission, func(node *Node, ctx context.Context, query *query) (any, error) {
		if _, err := node.readAfter(ctx, query, payload.Cursor, 1); err != nil {
			return nil, err
		}
		if turn != 0 {
			reply, err := node.readAfter(ctx, query, turn-1, 1)
			if err != nil {
				return nil, err
			}
			if len(reply.Events) == 0 || reply.Events[0].Kind != line.TurnBegun {
				return nil, apierror.New(apierror.NotFound, "the conversation has no turn "+strconv.FormatUint(turn, 10), "read the history and name one of its turns")
			}
		}
		return node.tail(query.line(), query.conversation, payload.Cursor, turn), nil
	}))
}

// History reads committed events.
func (service service) History(ctx context.Context, payload *work.HistoryPayload) (*work.Transcript, error) {
	answer, err := service.pass(ctx, payload.Authorization, &query{conversation: payload.Conversation}, chain(admission, func(node *Node, ctx context.Context, query *query) (any, error) {
		return node.readAfter(ctx, query, payload.After, payload.Limit)
	}))
	if err != nil {
		return nil, err
	}
	reply := answer.(*wire.ReadReply)
	told := &work.Transcript{Conversation: payload.Conversation, Program: reply.Session.Program, Head: reply.Session.Head, Events: []*work.Record{}}
	for _, event := range reply.Events {
		told.Events = append(told.Events, toRecord(event))
	}
	return told, nil
}

func toRecord(event line.Event) *work.Record {
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

// readAfter reads a page of a line; a cursor beyond its end is refused.
func (node *Node) readAfter(ctx context.Context, query *query, after, limit uint64) (*wire.ReadReply, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	reply, err := node.stores.Read(ctx, wire.ReadQuery{Session: query.line(), After: after, Limit: limit})
	if err != nil {
		return nil, err
	}
	if after > reply.Session.Head {
		return nil, apierror.New(apierror.Invalid, "the cursor is beyond the last event "+strconv.FormatUint(reply.Session.Head, 10), "read from a seq that was given out")
	}
	return reply, nil
}

// QuotaUsage tells what a program has spent.
func (service service) Tally(ctx context.Context, payload *work.TallyPayload) (*work.TallyResult, error) {
	answer, err := service.pass(ctx, payload.Authorization, &query{program: payload.Program}, chain(admission, findProgram, func(node *Node, ctx context.Context, query *query) (any, error) {
		ctx, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		reply, err := node.stores.Read(ctx, wire.ReadQuery{Session: query.tallyName(), QuotaUsage: true})
		if err != nil {
			return nil, err
		}
		return &work.TallyResult{Program: query.program, Allowance: query.terms.Quota, Spent: reply.Spent, Reserved: reply.Reserved}, nil
	}))
	if err != nil {
		return nil, err
	}
	return answer.(*work.TallyResult), nil
}

// readParent reads the parent's line; the turn that starts the helper must be in it.
func readParent(node *Node, ctx context.Context, query *query) (any, error) {
	parent := *query
	parent.conversation = query.parent
	if answer, err := readLine(node, ctx, &parent); answer != nil || err != nil {
		return answer, err
	}
	if query.queryKey == "" {
		return nil, apierror.New(apierror.Invalid, "query_key is empty", "give each helper a key of its own")
	}
	return nil, checkFollowed(&parent)
}

// noteHelper names the helper in its parent's line, then starts it. A repeat
// finds both.
func noteHelper(node *Node, ctx context.Context, query *query) (any, error) {
	helper := *query
	helper.follows, helper.undo = 0, nil
	if _, err := nameLine(node, ctx, &helper); err != nil {
		return nil, err
	}
	committing, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	outcomes, err := node.stores.Command(committing, query.team+"/"+query.parent, line.Command{
		Kind: line.AppendEvent, Producer: strings.Join([]string{query.program, "helper", query.queryKey}, "/"), ProducerSeq: 1,
		Events: []line.Event{{Kind: line.HelperStarted, Follows: query.follows, Name: helper.conversation}},
	})
	if err != nil {
		return nil, asNotRun(err)
	}
	if outcomes[0].Status != line.Done {
		return nil, apierror.NewRetryable(apierror.NotRun, "the parent's line refused the helper", "ask again", time.Second)
	}
	answer, err := node.pass(ctx, &helper, turnChain)
	query.proven = helper.proven
	return answer, err
}
