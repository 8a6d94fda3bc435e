package front

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"yardrock.example/system/charter"
	"yardrock.example/system/conversation"
	"yardrock.example/system/line"
	"yardrock.example/system/mishap"
	"yardrock.example/system/runnerclient"
	"yardrock.example/system/scheduling"
	"yardrock.example/system/wire"
)

// query is one caller's query on its way through the filters.
type query struct {
	token      string
	program    string
	kind       string
	words      string
	requestKey string
	// conversation names the line; follows is the turn that is followed, 0 starts.
	conversation string
	follows      uint64
	parent       string

	rules    *inForce
	team     string
	terms    charter.Program
	work     charter.WorkKind
	said     *conversation.View
	existed  bool
	unheard  bool // named at random just now, so there is nothing to read
	producer string
	slot     *scheduling.Slot
	reserved string
	begun    line.Event
	undo     []func()
}

// filter looks at a query and may answer it; the chain ends with the first that
// does, or that fails.
type filter func(node *Node, ctx context.Context, query *query) (any, error)

// pass sends a query through a chain. What filters took is given back unless the
// last one kept it.
func (node *Node) pass(ctx context.Context, query *query, chain []filter) (any, error) {
	defer func() {
		for position := len(query.undo) - 1; position >= 0; position-- {
			query.undo[position]()
		}
	}()
	for _, step := range chain {
		answer, err := step(node, ctx, query)
		if err != nil || answer != nil {
			return answer, err
		}
	}
	return nil, mishap.New(mishap.Unavailable, "no filter answered", "report this")
}

// chain joins filters to the end of a chain.
func chain(first []filter, more ...filter) []filter { return slices.Concat(first, more) }

var (
	admission   = []filter{refuseDraining, requireFresh, authenticate}
	programmed  = chain(admission, findProgram, findKind)
	turnSteps   = []filter{checkTurn, takeSlot, reserveWords, beginTurn, confirmRunner, startRun}
	turnChain   = chain(chain(programmed, servesTurns, nameLine, readLine), turnSteps...)
	followChain = chain(chain(admission, nameLine, readLine, programOfLine, findProgram, findKind, servesTurns), turnSteps...)
	lookupChain = chain(programmed, servesLookups, takeSlot, confirmRunner, askRunner)
	onceChain   = chain(programmed, servesPlain, nameOnceLine, readLine, checkOnce, takeSlot, beginOnce, confirmRunner, runOnce)
	toolChain   = chain(admission, nameLine, readLine, programOfLine, findProgram, findKind, servesPlain, checkTool, takeSlot, beginTool, confirmRunner, runOnce)
	helperChain = chain(programmed, servesTurns, readParent, noteHelper)
)

func refuseDraining(node *Node, _ context.Context, _ *query) (any, error) {
	if node.draining.Load() {
		return nil, mishap.Later(mishap.NotRun, "this node is going away", "ask at another node", time.Second)
	}
	return nil, nil
}

func requireFresh(node *Node, _ context.Context, query *query) (any, error) {
	if _, err := node.follow.Fresh(); err != nil {
		return nil, err
	}
	query.rules = node.rules.Load()
	return nil, nil
}

func authenticate(_ *Node, _ context.Context, query *query) (any, error) {
	team, known := charter.PartyOf(query.rules.charter.Teams, query.token)
	if !known {
		return nil, mishap.New(mishap.Unauthorized, "the token belongs to no team", "send a token of a team that the charter names")
	}
	query.team = team
	return nil, nil
}

func findProgram(_ *Node, _ context.Context, query *query) (any, error) {
	terms, found := query.rules.charter.Programs[query.program]
	if !found || terms.Team != query.team {
		return nil, mishap.New(mishap.NotFound, "the team has no program named "+strconv.Quote(query.program), "name a program of the team, or have an operator add it to the charter")
	}
	query.terms = terms
	return nil, nil
}

func findKind(_ *Node, _ context.Context, query *query) (any, error) {
	work, found := query.rules.charter.Kinds[query.kind]
	if !found {
		return nil, mishap.New(mishap.NotFound, "no kind of work is named "+strconv.Quote(query.kind), "name a kind that the charter has")
	}
	query.work = work
	return nil, nil
}

func servesTurns(_ *Node, _ context.Context, query *query) (any, error) {
	if query.work.Serves != "turn" {
		return nil, mishap.New(mishap.Invalid, "work of kind "+query.kind+" is no turn of a conversation", "send it as a lookup, a request or a tool call")
	}
	return nil, nil
}

func servesPlain(_ *Node, _ context.Context, query *query) (any, error) {
	if query.work.Serves != "plain" {
		return nil, mishap.New(mishap.Invalid, "work of kind "+query.kind+" is a turn of a conversation", "start or follow a conversation with it")
	}
	return nil, nil
}

func servesLookups(node *Node, ctx context.Context, query *query) (any, error) {
	if !query.work.Repeatable {
		return nil, mishap.New(mishap.Invalid, "work of kind "+query.kind+" may not be repeated", "send it as a request, with a request key")
	}
	return servesPlain(node, ctx, query)
}

func fingerprint(parts ...string) string {
	sum := sha256.Sum256([]byte(strings.Join(parts, "\x00")))
	return hex.EncodeToString(sum[:16])
}

func (query *query) digest() string { return fingerprint(query.kind, query.words, query.requestKey) }

// line is the conversation's name with its team, so that no team can name
// another's.
func (query *query) line() string { return query.team + "/" + query.conversation }

// nameLine names a new conversation by its request key, if it has one, so that a
// repeat on any front finds the same line.
func nameLine(_ *Node, _ context.Context, query *query) (any, error) {
	switch {
	case query.conversation != "":
	case query.requestKey != "":
		query.conversation = "c-" + fingerprint(query.team, query.program, query.parent, query.requestKey)
	default:
		query.conversation = "c-" + uuid.NewString()
		query.unheard = true
	}
	return nil, nil
}

func nameOnceLine(_ *Node, _ context.Context, query *query) (any, error) {
	if query.requestKey == "" {
		return nil, mishap.New(mishap.Invalid, "request_key is empty", "give each piece of work a key of its own")
	}
	query.conversation = "q-" + fingerprint(query.team, query.program, query.requestKey)
	return nil, nil
}

// readLine reads all events of the line by a quorum read, unless the line was
// named only now.
func readLine(node *Node, ctx context.Context, query *query) (any, error) {
	if query.unheard {
		query.said, query.unheard = conversation.Fold(nil), false
		return nil, nil
	}
	events, session, err := node.readAll(ctx, query.line())
	if mishap.Is(err, mishap.NotFound) {
		query.said = conversation.Fold(nil)
		if query.follows > 0 {
			return nil, mishap.New(mishap.NotFound, "no conversation is named "+strconv.Quote(query.conversation), "start a conversation; one is forgotten when its keeping time is over")
		}
		return nil, nil
	}
	if err != nil {
		return nil, asNotRun(err)
	}
	query.said, query.existed = conversation.Fold(events), true
	if query.program == "" {
		query.program = session.Program
	}
	return nil, nil
}

// asNotRun tells a refusal that came before anything was begun.
func asNotRun(err error) error {
	failed := mishap.Of(err)
	return &mishap.Mishap{Kind: mishap.NotRun, Message: failed.Message, Remedy: failed.Remedy, RetryAfter: max(failed.RetryAfter, time.Second)}
}

const eventsAtOnce = 2048

func (node *Node) readAll(ctx context.Context, name string) ([]line.Event, line.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, commitPatience)
	defer cancel()
	events := []line.Event{}
	for {
		reply, err := node.stores.Read(ctx, wire.ReadQuery{Line: name, After: uint64(len(events)), Limit: eventsAtOnce})
		if err != nil {
			return nil, line.Session{}, err
		}
		events = append(events, reply.Events...)
		if uint64(len(events)) >= reply.Session.Head || len(reply.Events) == 0 {
			return events, reply.Session, nil
		}
	}
}

// programOfLine refuses a line that is not there; its program was read with it.
func programOfLine(_ *Node, _ context.Context, query *query) (any, error) {
	if !query.existed {
		return nil, mishap.New(mishap.NotFound, "no conversation is named "+strconv.Quote(query.conversation), "start a conversation; one is forgotten when its keeping time is over")
	}
	return nil, nil
}

func checkFollowed(query *query) error {
	followed, found := query.said.Turn(query.follows)
	switch {
	case !found:
		return mishap.New(mishap.NotFound, "the conversation has no turn "+strconv.FormatUint(query.follows, 10), "read the history and name one of its turns")
	case followed.Ended == nil:
		return mishap.Later(mishap.Conflict, "the turn to follow has not ended", "tail it to its end first", time.Second)
	case !followed.Complete():
		return mishap.New(mishap.Conflict, "the turn to follow ended as "+followed.Ended.Outcome, "follow the last complete turn before it")
	}
	return nil
}

// checkTurn decides whether a turn may begin: the followed one must be complete,
// and no other may follow it. A repeat is answered with the turn that is there.
func checkTurn(node *Node, ctx context.Context, query *query) (any, error) {
	if query.follows > 0 {
		if err := checkFollowed(query); err != nil {
			return nil, err
		}
	}
	failed := 0
	for _, sibling := range query.said.Followers(query.follows) {
		if sibling.Overdue(time.Now()) {
			if err := node.closeOverdue(ctx, query.line(), sibling.Begun, line.OutcomeCut); err != nil {
				return nil, asNotRun(err)
			}
			return again(node, ctx, query)
		}
		if sibling.Ended != nil && !sibling.Complete() {
			failed++
			continue
		}
		if sibling.Begun.Digest == query.digest() {
			return node.tail(query.line(), query.conversation, sibling.Begun.Seq-1, sibling.Begun.Seq), nil
		}
		return nil, mishap.New(mishap.Conflict, "another turn ("+strconv.FormatUint(sibling.Begun.Seq, 10)+") already follows turn "+strconv.FormatUint(query.follows, 10), "read the history and follow its last complete turn")
	}
	query.producer = strings.Join([]string{query.program, "turn", strconv.FormatUint(query.follows, 10), strconv.Itoa(failed)}, "/")
	return nil, nil
}

// again rereads the line and decides anew.
func again(node *Node, ctx context.Context, query *query) (any, error) {
	if answer, err := readLine(node, ctx, query); answer != nil || err != nil {
		return answer, err
	}
	return checkTurn(node, ctx, query)
}

func takeSlot(node *Node, ctx context.Context, query *query) (any, error) {
	slot, err := node.board.Acquire(ctx, query.work)
	if err != nil {
		return nil, err
	}
	query.slot = slot
	query.undo = append(query.undo, func() { query.slot.Release(false) })
	return nil, nil
}

func (query *query) tallyName() string {
	return "tally:" + query.team + "/" + query.program + "/" + query.terms.Period
}

// reserveWords reserves the new words and the longest answer before anything is
// dispatched. What is never settled counts as spent.
func reserveWords(node *Node, ctx context.Context, query *query) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, commitPatience)
	defer cancel()
	name := query.line() + "/" + uuid.NewString()
	outcomes, err := node.stores.Command(ctx, query.tallyName(), line.Command{
		Kind: line.Reserve, Reservation: name, Words: conversation.CountWords(query.words) + query.terms.TurnLimit, Allowance: query.terms.Allowance,
	})
	if err != nil {
		return nil, asNotRun(err)
	}
	if outcomes[0].Status == line.AllowanceExhausted {
		return nil, mishap.New(mishap.Exhausted, "program "+query.program+" has "+strconv.FormatUint(outcomes[0].Spent, 10)+" words spent and "+strconv.FormatUint(outcomes[0].Reserved, 10)+" out, of "+strconv.FormatUint(query.terms.Allowance, 10),
			"wait for the turns under way, or have an operator raise the allowance")
	}
	query.reserved = name
	query.undo = append(query.undo, func() { node.settle(query, 0) })
	return nil, nil
}

// settle books what a turn used; it is tried until it lasts or patience ends, and
// what stays unsettled goes on counting as spent.
func (node *Node) settle(query *query, words uint64) {
	name, reservation := query.tallyName(), query.reserved
	if reservation == "" {
		return
	}
	query.reserved = ""
	node.runs.start(func() {
		ctx, cancel := context.WithTimeout(node.context, settlePatience)
		defer cancel()
		for ctx.Err() == nil {
			if _, err := node.stores.Command(ctx, name, line.Command{Kind: line.Settle, Reservation: reservation, Words: words}); err == nil {
				return
			}
		}
	})
}

// confirmRunner looks once more, just before the first byte: the view must still
// be fresh, the query allowed by the charter now in force, and the runner one that
// it may be sent to.
func confirmRunner(node *Node, ctx context.Context, query *query) (any, error) {
	err := node.confirm(ctx, query)
	if err != nil && query.begun.Seq > 0 {
		return nil, node.closeNotRun(query, err)
	}
	return nil, err
}

func (node *Node) confirm(ctx context.Context, query *query) error {
	for {
		if err := node.lookAgain(ctx, query); err != nil {
			return err
		}
		if query.runnerStands() {
			return nil
		}
		query.slot.Release(false)
		slot, err := node.board.Acquire(ctx, query.work)
		if err != nil {
			return err
		}
		query.slot = slot
	}
}

// lookAgain judges the query by the charter now in force, if that is known.
func (node *Node) lookAgain(ctx context.Context, query *query) error {
	if _, err := node.follow.Fresh(); err != nil {
		return err
	}
	query.rules = node.rules.Load()
	for _, still := range []filter{authenticate, findProgram, findKind} {
		if _, err := still(node, ctx, query); err != nil {
			return err
		}
	}
	return nil
}

// runnerStands tells whether the chosen runner may still get the query.
func (query *query) runnerStands() bool {
	weighed := query.rules.charter.Tables[query.work.Table][query.slot.Group] > 0
	return weighed && scheduling.Usable(query.rules.view, query.slot.Runner)
}

// lastLook is what the first byte waits for: the dial may have been slow, or this
// process frozen, since the runner was chosen. It works on a copy, as the library
// may ask it after the query was given up.
func (node *Node) lastLook(query *query) runnerclient.Look {
	chosen := *query
	return func() error {
		now := chosen
		if err := node.lookAgain(node.context, &now); err != nil {
			return err
		}
		if now.work != chosen.work || now.terms != chosen.terms || !now.runnerStands() {
			return mishap.Later(mishap.NotRun, "what is in force changed before anything was sent", "ask again", time.Second)
		}
		return nil
	}
}

// nextRunner takes another runner after one that provably was sent nothing.
func (node *Node) nextRunner(ctx context.Context, query *query) error {
	query.slot.Release(true)
	slot, err := node.board.Acquire(ctx, query.work)
	if err != nil {
		return err
	}
	query.slot = slot
	return node.confirm(ctx, query)
}
