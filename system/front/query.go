package front

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/conversation"
	"yardrock.example/system/line"
	"yardrock.example/system/runnerorigin"
	"yardrock.example/system/scheduling"
)

// query is one caller's query on its way through the filters.
type query struct {
	token    string
	program  string
	kind     string
	words    string
	queryKey string
	// conversation names the line; follows is the turn that is followed, 0 starts.
	conversation string
	follows      uint64
	parent       string

	// recorded queries leave a record; "not run" is told of them only once that is
	// proven in the record, and then proven is set.
	recorded bool
	proven   bool

	rules    *inForce
	team     string
	terms    config.Program
	work     config.WorkKind
	said     *conversation.View
	existed  bool
	unheard  bool // named at random just now, so there is nothing to read
	producer string
	slot     *scheduling.Slot
	dispatch string
	reserved string
	// reservedAt is when the reservation was asked for; its life counts from then.
	reservedAt time.Time
	// answerLimit is the longest answer that the reservation holds.
	answerLimit uint64
	begun       line.Event
	undo        []func()
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
		if err != nil {
			return nil, node.prove(query, err)
		}
		if answer != nil {
			return answer, nil
		}
	}
	return nil, apierror.New(apierror.Unavailable, "no filter answered", "report this")
}

// chain joins filters to the end of a chain.
func chain(first []filter, more ...filter) []filter { return slices.Concat(first, more) }

var (
	asking      = []filter{requireFresh, authenticate}
	admission   = chain([]filter{refuseDraining}, asking...)
	programmed  = chain(admission, findProgram, findKind)
	recording   = chain([]filter{willRecord}, asking...)
	starting    = chain(recording, findProgram, findKind)
	turnSteps   = []filter{checkTurn, refuseDraining, takeSlot, reserveWords, beginTurn, confirmRunner, startRun}
	turnChain   = chain(chain(starting, servesTurns, nameLine, readLine), turnSteps...)
	followChain = chain(chain(recording, nameLine, readLine, programOfLine, findProgram, findKind, servesTurns), turnSteps...)
	lookupChain = chain(programmed, servesLookups, takeSlot, confirmRunner, askRunner)
	onceChain   = chain(starting, servesPlain, nameOnceLine, readLine, checkOnce, refuseDraining, takeSlot, beginOnce, confirmRunner, runOnce)
	toolChain   = chain(recording, nameLine, readLine, programOfLine, findProgram, findKind, servesPlain, checkTool, refuseDraining, takeSlot, beginTool, confirmRunner, runOnce)
	helperChain = chain(starting, servesTurns, readParent, noteHelper)
)

func willRecord(_ *Node, _ context.Context, query *query) (any, error) {
	query.recorded = true
	return nil, nil
}

func refuseDraining(node *Node, _ context.Context, _ *query) (any, error) {
	if node.draining.Load() {
		return nil, apierror.NewRetryable(apierror.NotRun, "this node is going away", "ask at another node", time.Second)
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
	team, known := config.PrincipalByToken(query.rules.config.Teams, query.token)
	if !known {
		return nil, apierror.New(apierror.Unauthorized, "the token belongs to no team", "send a token of a team that the config names")
	}
	query.team = team
	return nil, nil
}

func findProgram(_ *Node, _ context.Context, query *query) (any, error) {
	terms, found := query.rules.config.Programs[query.program]
	if !found || terms.Team != query.team {
		return nil, apierror.New(apierror.NotFound, "the team has no program named "+strconv.Quote(query.program), "name a program of the team, or have an operator add it to the config")
	}
	query.terms = terms
	return nil, nil
}

func findKind(_ *Node, _ context.Context, query *query) (any, error) {
	work, found := query.rules.config.Kinds[query.kind]
	if !found {
		return nil, apierror.New(apierror.NotFound, "no kind of work is named "+strconv.Quote(query.kind), "name a kind that the config has")
	}
	query.work = work
	return nil, nil
}

func servesTurns(_ *Node, _ context.Context, query *query) (any, error) {
	if query.work.Serves != "turn" {
		return nil, apierror.New(apierror.Invalid, "work of kind "+query.kind+" is no turn of a conversation", "send it as a lookup, a request or a tool call")
	}
	return nil, nil
}

func servesPlain(_ *Node, _ context.Context, query *query) (any, error) {
	if query.work.Serves != "plain" {
		return nil, apierror.New(apierror.Invalid, "work of kind "+query.kind+" is a turn of a conversation", "start or follow a conversation with it")
	}
	return nil, nil
}

func servesLookups(node *Node, ctx context.Context, query *query) (any, error) {
	if !query.work.Repeatable {
		return nil, apierror.New(apierror.Invalid, "work of kind "+query.kind+" may not be repeated", "send it as a request, with a query key")
	}
	return servesPlain(node, ctx, query)
}

func fingerprint(parts ...string) string {
	sum := sha256.Sum256([]byte(strings.Join(parts, "\x00")))
	return hex.EncodeToString(sum[:16])
}

func (query *query) digest() string { return fingerprint(query.kind, query.words, query.queryKey) }

// line is the conversation's name with its team, so that no team can name
// another's.
func (query *query) line() string { return query.team + "/" + query.conversation }

// nameLine names a new conversation by its query key, if it has one, so that a
// repeat on any front finds the same line.
func nameLine(_ *Node, _ context.Context, query *query) (any, error) {
	switch {
	case query.conversation != "":
	case query.queryKey != "":
		query.conversation = "c-" + fingerprint(query.team, query.program, query.parent, query.queryKey)
	default:
		query.conversation = "c-" + uuid.NewString()
		query.unheard = true
	}
	return nil, nil
}

func nameOnceLine(_ *Node, _ context.Context, query *query) (any, error) {
	if query.queryKey == "" {
		return nil, apierror.New(apierror.Invalid, "query_key is empty", "give each piece of work a key of its own")
	}
	query.conversation = "q-" + fingerprint(query.team, query.program, query.queryKey)
	return nil, nil
}

// readLine reads all events of the line by a quorum read, unless the line was
// named only now.
func readLine(node *Node, ctx context.Context, query *query) (any, error) {
	if query.unheard {
		query.said, query.unheard = conversation.Fold(nil), false
		return nil, nil
	}
	reading, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	events, last, err := node.stores.ReadAll(reading, query.line())
	if apierror.Is(err, apierror.NotFound) {
		query.said = conversation.Fold(nil)
		if query.follows > 0 {
			return nil, apierror.New(apierror.NotFound, "no conversation is named "+strconv.Quote(query.conversation), "start a conversation; one is forgotten when its keeping time is over")
		}
		return nil, nil
	}
	if err != nil {
		return nil, asNotRun(err)
	}
	query.said, query.existed = conversation.Fold(events), true
	query.said.Clock = last.Clock
	if query.program == "" {
		query.program = last.Session.Program
	}
	return nil, nil
}

// asNotRun tells a refusal that came before anything was begun.
func asNotRun(err error) error {
	failed := apierror.Of(err)
	return &apierror.Error{Kind: apierror.NotRun, Message: failed.Message, Remedy: failed.Remedy, RetryAfter: max(failed.RetryAfter, time.Second)}
}

// programOfLine refuses a line that is not there; its program was read with it.
func programOfLine(_ *Node, _ context.Context, query *query) (any, error) {
	if !query.existed {
		return nil, apierror.New(apierror.NotFound, "no conversation is named "+strconv.Quote(query.conversation), "start a conversation; one is forgotten when its keeping time is over")
	}
	return nil, nil
}

func checkFollowed(query *query) error {
	followed, found := query.said.Turn(query.follows)
	switch {
	case !found:
		return apierror.New(apierror.NotFound, "the conversation has no turn "+strconv.FormatUint(query.follows, 10), "read the history and name one of its turns")
	case followed.Ended == nil:
		return apierror.NewRetryable(apierror.Conflict, "the turn to follow has not ended", "tail it to its end first", time.Second)
	case !followed.Complete():
		return apierror.New(apierror.Conflict, "the turn to follow ended as "+followed.Ended.Outcome, "follow the last complete turn before it")
	}
	return nil
}

// checkTurn decides whether a turn may begin: the followed one must be complete,
// and no other may follow it. A repeat is answered with the turn that is there. Each
// attempt at one place has a producer of its own; one that was closed without an
// answer, or fenced off, makes room for the next.
func checkTurn(node *Node, ctx context.Context, query *query) (any, error) {
	if query.follows > 0 {
		if err := checkFollowed(query); err != nil {
			return nil, err
		}
	}
	for attempt := 0; ; attempt++ {
		query.producer = query.program + "/turn/" + strconv.FormatUint(query.follows, 10) + "#" + strconv.Itoa(attempt)
		begun, found := query.said.StartByProducer(query.producer)
		if !found {
			return nil, nil
		}
		same := begun.Digest == query.digest()
		if begun.Kind == line.Fenced {
			if same && query.queryKey != "" {
				return nil, query.fencedOff()
			}
			continue
		}
		turn, _ := query.said.Turn(begun.Seq)
		if turn.Overdue(query.said.Clock) || (turn.Ended == nil && node.presumedGone(ctx, begun)) {
			if err := node.closeOverdue(ctx, query.line(), begun, line.OutcomeCut); err != nil {
				return nil, asNotRun(err)
			}
			return again(node, ctx, query)
		}
		switch {
		case turn.Ended != nil && turn.Ended.Outcome == line.OutcomeNotRun && same && query.queryKey != "":
			return nil, query.notRun("this turn did not run: " + turn.Ended.Name)
		case turn.Ended != nil && !turn.Complete():
			continue
		case same:
			return node.tail(query.line(), query.conversation, begun.Seq-1, begun.Seq), nil
		}
		return nil, apierror.New(apierror.Conflict, "another turn ("+strconv.FormatUint(begun.Seq, 10)+") already follows turn "+strconv.FormatUint(query.follows, 10), "read the history and follow its last complete turn")
	}
}

// notRun tells what the record proves: nothing ran, and nothing will, under this
// query key.
func (query *query) notRun(message string) error {
	query.proven = true
	return apierror.NewRetryable(apierror.NotRun, message, "send it under a new query key", time.Second)
}

func (query *query) fencedOff() error {
	return query.notRun("an earlier query under this query key was refused, and the key fenced off")
}

// again rereads the line and decides anew.
func again(node *Node, ctx context.Context, query *query) (any, error) {
	if answer, err := readLine(node, ctx, query); answer != nil || err != nil {
		return answer, err
	}
	return checkTurn(node, ctx, query)
}

func takeSlot(node *Node, ctx context.Context, query *query) (any, error) {
	slot, err := node.board.Acquire(ctx, query.work, query.team)
	if err != nil {
		return nil, err
	}
	query.slot = slot
	query.undo = append(query.undo, func() { query.slot.Release(scheduling.Unused) })
	return nil, nil
}

func (query *query) tallyName() string {
	return line.QuotaName(query.team, query.program, query.terms.Period)
}

// reserveWords reserves the new words and the longest answer before anything is
// dispatched. If the answer to that is lost, it is settled at once, so that it can't
// come to count later. What a front that died leaves, the stores settle.
func reserveWords(node *Node, ctx context.Context, query *query) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	query.dispatch = node.newDispatch()
	query.answerLimit = query.terms.TurnLimit
	query.reserved, query.reservedAt = line.ReservationName(query.line(), query.dispatch), time.Now()
	outcomes, err := node.stores.Command(ctx, query.tallyName(), line.Command{
		Kind: line.Reserve, Reservation: query.reserved, Words: conversation.CountWords(query.words) + query.answerLimit, Quota: query.terms.Quota,
		Lifetime: reservationUse + time.Duration(query.work.Timeout) + deadlineMargin + reservationMargin,
	})
	query.undo = append(query.undo, func() { node.settle(query, 0) })
	if err != nil {
		return nil, asNotRun(err)
	}
	switch outcomes[0].Status {
	case line.Done:
		return nil, nil
	case line.QuotaExceeded:
		query.reserved = ""
		return nil, apierror.New(apierror.QuotaExhausted, "program "+query.program+" has "+strconv.FormatUint(outcomes[0].Spent, 10)+" words spent and "+strconv.FormatUint(outcomes[0].Reserved, 10)+" out, of "+strconv.FormatUint(query.terms.Quota, 10),
			"wait for the turns under way, or have an operator raise the allowance")
	}
	query.reserved = ""
	return nil, apierror.NewRetryable(apierror.NotRun, "the reservation came too late", "ask again", time.Second)
}

// settle books what a turn used; it is tried until it lasts or timeout ends, and
// what stays unsettled goes on counting as spent.
func (node *Node) settle(query *query, words uint64) {
	name, reservation := query.tallyName(), query.reserved
	if reservation == "" {
		return
	}
	query.reserved = ""
	node.runs.start(func() {
		ctx, cancel := context.WithTimeout(node.context, settleTimeout)
		defer cancel()
		for ctx.Err() == nil {
			if _, err := node.stores.Command(ctx, name, line.Command{Kind: line.Settle, Reservation: reservation, Words: words}); err == nil {
				return
			}
			pauseAWhile(ctx)
		}
	})
}

// pauseAWhile keeps what is tried again in the background from doing so at once.
func pauseAWhile(ctx context.Context) {
	select {
	case <-time.After(backgroundPause):
	case <-ctx.Done():
	}
}

// confirmRunner looks once more, just before the first byte: the view must still
// be fresh, the query allowed by the config now in force, and the runner one that
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
		query.slot.Release(scheduling.Unused)
		slot, err := node.board.Acquire(ctx, query.work, query.team)
		if err != nil {
			return err
		}
		query.slot = slot
	}
}

// lookAgain judges the query by the config now in force, if that is known.
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
	weighed := query.rules.config.Tables[query.work.Table][query.slot.Group] > 0
	return weighed && scheduling.Usable(query.rules.view, query.slot.Runner)
}

// limit is how many words the answer may hold: by the config in force, but never
// more than was reserved under the one before.
func (query *query) limit() uint64 { return min(query.answerLimit, query.terms.TurnLimit) }

// lastLook is what the first byte waits for: the dial may have been slow, or this
// process frozen, since the runner was chosen. It works on a copy, as the library
// may ask it after the query was given up.
func (node *Node) lastLook(query *query) runnerorigin.Look {
	chosen := *query
	return func() error {
		now := chosen
		if err := node.lookAgain(node.context, &now); err != nil {
			return err
		}
		if chosen.reserved != "" && time.Since(chosen.reservedAt) > reservationUse {
			return apierror.NewRetryable(apierror.NotRun, "the reservation of words was not used in time", "ask again", time.Second)
		}
		if now.work != chosen.work || now.terms != chosen.terms || !now.runnerStands() {
			return apierror.NewRetryable(apierror.NotRun, "what is in force changed before anything was sent", "ask again", time.Second)
		}
		return nil
	}
}

// endingOf tells what a failure says about the runner.
func (node *Node) endingOf(err error) scheduling.Ending {
	if err == nil || errors.Is(err, errCutAtLimit) {
		return scheduling.Answered
	}
	failed := apierror.Of(err)
	switch {
	case node.context.Err() != nil:
		return scheduling.Unused
	case failed.Lost:
		return scheduling.Lost
	case failed.NeverSent:
		return scheduling.Unused
	}
	return scheduling.Troubled
}

// nextRunner takes another runner after one that provably was sent nothing.
func (node *Node) nextRunner(ctx context.Context, query *query, failed error) error {
	query.slot.Release(node.endingOf(failed))
	slot, err := node.board.Acquire(ctx, query.work, query.team)
	if err != nil {
		return err
	}
	query.slot = slot
	return node.confirm(ctx, query)
}
