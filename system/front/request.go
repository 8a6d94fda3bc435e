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
	"yardrock.example/system/runnerclient"
	"yardrock.example/system/scheduler"
	"yardrock.example/system/sessionlog"
)

// request is one caller's query on its way through the filters.
type request struct {
	token          string
	program        string
	kind           string
	words          string
	idempotencyKey string
	// conversation names the line; follows is the turn that is followed, 0 starts.
	conversation string
	follows      uint64
	parent       string

	// recorded queries leave a record; "not run" is told of them only once that is
	// proven in the record, and then proven is set.
	recorded     bool
	provenNotRun bool

	active        *activeConfig
	team          string
	programConfig config.Program
	workKind      config.WorkKind
	history       *conversation.View
	sessionExists bool
	newlyNamed    bool // named at random just now, so there is nothing to read
	producer      string
	slot          *scheduler.Slot
	dispatchID    string
	reservation   string
	// reservedAt is when the reservation was asked for; its life counts from then.
	reservedAt time.Time
	// reservedWords is the longest answer that the reservation holds.
	reservedWords uint64
	begun         sessionlog.Event
	cleanups      []func()
}

// filter looks at a query and may answer it; the chain ends with the first that
// does, or that fails.
type filter func(ctx context.Context, node *Node, request *request) (any, error)

// runChain sends a query through a chain. What filters took is given back unless the
// last one kept it.
func (node *Node) runChain(ctx context.Context, request *request, chain []filter) (any, error) {
	defer func() {
		for position := len(request.cleanups) - 1; position >= 0; position-- {
			request.cleanups[position]()
		}
	}()
	for _, step := range chain {
		answer, err := step(ctx, node, request)
		if err != nil {
			return nil, node.proveNotRun(request, err)
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
	authentication         = []filter{requireFreshView, authenticate}
	admission              = chain([]filter{refuseDraining}, authentication...)
	programAdmission       = chain(admission, findProgram, findKind)
	recordedAuthentication = chain([]filter{markRecorded}, authentication...)
	recordedAdmission      = chain(recordedAuthentication, findProgram, findKind)
	turnSteps              = []filter{checkTurn, refuseDraining, acquireSlot, reserveWords, beginTurn, confirmRunner, startRun}
	turnChain              = chain(chain(recordedAdmission, servesTurns, nameSession, readSession), turnSteps...)
	followChain            = chain(chain(recordedAuthentication, nameSession, readSession, requireSession, findProgram, findKind, servesTurns), turnSteps...)
	lookupChain            = chain(programAdmission, servesLookups, acquireSlot, confirmRunner, askRunner)
	onceChain              = chain(recordedAdmission, servesPlain, nameOnceSession, readSession, checkOnce, refuseDraining, acquireSlot, beginOnce, confirmRunner, runOnce)
	toolChain              = chain(recordedAuthentication, nameSession, readSession, requireSession, findProgram, findKind, servesPlain, checkTool, refuseDraining, acquireSlot, beginTool, confirmRunner, runOnce)
	helperChain            = chain(recordedAdmission, servesTurns, readParent, recordHelper)
)

func markRecorded(_ context.Context, _ *Node, request *request) (any, error) {
	request.recorded = true
	return nil, nil
}

func refuseDraining(_ context.Context, node *Node, _ *request) (any, error) {
	if node.draining.Load() {
		return nil, apierror.NewRetryable(apierror.NotRun, "this node is going away", "ask at another node", time.Second)
	}
	return nil, nil
}

func requireFreshView(_ context.Context, node *Node, request *request) (any, error) {
	if _, err := node.feedClient.Fresh(); err != nil {
		return nil, err
	}
	request.active = node.active.Load()
	return nil, nil
}

func authenticate(_ context.Context, _ *Node, request *request) (any, error) {
	team, known := config.PrincipalByToken(request.active.config.Teams, request.token)
	if !known {
		return nil, apierror.New(apierror.Unauthorized, "the token belongs to no team", "send a token of a team that the config names")
	}
	request.team = team
	return nil, nil
}

func findProgram(_ context.Context, _ *Node, request *request) (any, error) {
	program, found := request.active.config.Programs[request.program]
	if !found || program.Team != request.team {
		return nil, apierror.New(apierror.NotFound, "the team has no program named "+strconv.Quote(request.program), "name a program of the team, or have an operator add it to the config")
	}
	request.programConfig = program
	return nil, nil
}

func findKind(_ context.Context, _ *Node, request *request) (any, error) {
	workKind, found := request.active.config.Kinds[request.kind]
	if !found {
		return nil, apierror.New(apierror.NotFound, "no kind of work is named "+strconv.Quote(request.kind), "name a kind that the config has")
	}
	request.workKind = workKind
	return nil, nil
}

func servesTurns(_ context.Context, _ *Node, request *request) (any, error) {
	if request.workKind.Serves != "turn" {
		return nil, apierror.New(apierror.Invalid, "work of kind "+request.kind+" is no turn of a conversation", "send it as a lookup, a request or a tool call")
	}
	return nil, nil
}

func servesPlain(_ context.Context, _ *Node, request *request) (any, error) {
	if request.workKind.Serves != "plain" {
		return nil, apierror.New(apierror.Invalid, "work of kind "+request.kind+" is a turn of a conversation", "start or follow a conversation with it")
	}
	return nil, nil
}

func servesLookups(ctx context.Context, node *Node, request *request) (any, error) {
	if !request.workKind.Repeatable {
		return nil, apierror.New(apierror.Invalid, "work of kind "+request.kind+" may not be repeated", "send it as a request, with a query key")
	}
	return servesPlain(ctx, node, request)
}

func fingerprint(parts ...string) string {
	sum := sha256.Sum256([]byte(strings.Join(parts, "\x00")))
	return hex.EncodeToString(sum[:16])
}

func (request *request) digest() string {
	return fingerprint(request.kind, request.words, request.idempotencyKey)
}

// sessionName is the conversation's name with its team, so that no team can name
// another's.
func (request *request) sessionName() string { return request.team + "/" + request.conversation }

// nameSession names a new conversation by its query key, if it has one, so that a
// repeat on any front finds the same line.
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

func nameOnceSession(_ context.Context, _ *Node, request *request) (any, error) {
	if request.idempotencyKey == "" {
		return nil, apierror.New(apierror.Invalid, "query_key is empty", "give each piece of work a key of its own")
	}
	request.conversation = "q-" + fingerprint(request.team, request.program, request.idempotencyKey)
	return nil, nil
}

// readSession reads all events of the line by a quorum read, unless the line was
// named only now.
func readSession(ctx context.Context, node *Node, request *request) (any, error) {
	if request.newlyNamed {
		request.history, request.newlyNamed = conversation.Fold(nil), false
		return nil, nil
	}
	reading, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	events, last, err := node.stores.ReadAll(reading, request.sessionName())
	if apierror.Is(err, apierror.NotFound) {
		request.history = conversation.Fold(nil)
		if request.follows > 0 {
			return nil, apierror.New(apierror.NotFound, "no conversation is named "+strconv.Quote(request.conversation), "start a conversation; one is forgotten when its keeping time is over")
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

// asNotRun tells a refusal that came before anything was begun.
func asNotRun(err error) error {
	failure := apierror.Of(err)
	return &apierror.Error{Kind: apierror.NotRun, Message: failure.Message, Remedy: failure.Remedy, RetryAfter: max(failure.RetryAfter, time.Second)}
}

// requireSession refuses a line that is not there; its program was read with it.
func requireSession(_ context.Context, _ *Node, request *request) (any, error) {
	if !request.sessionExists {
		return nil, apierror.New(apierror.NotFound, "no conversation is named "+strconv.Quote(request.conversation), "start a conversation; one is forgotten when its keeping time is over")
	}
	return nil, nil
}

func checkFollowed(request *request) error {
	followed, found := request.history.Turn(request.follows)
	switch {
	case !found:
		return apierror.New(apierror.NotFound, "the conversation has no turn "+strconv.FormatUint(request.follows, 10), "read the history and name one of its turns")
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
func checkTurn(ctx context.Context, node *Node, request *request) (any, error) {
	if request.follows > 0 {
		if err := checkFollowed(request); err != nil {
			return nil, err
		}
	}
	for attempt := 0; ; attempt++ {
		request.producer = request.program + "/turn/" + strconv.FormatUint(request.follows, 10) + "#" + strconv.Itoa(attempt)
		begun, found := request.history.StartByProducer(request.producer)
		if !found {
			return nil, nil
		}
		same := begun.Digest == request.digest()
		if begun.Kind == sessionlog.Fenced {
			if same && request.idempotencyKey != "" {
				return nil, request.fencedEarlierError()
			}
			continue
		}
		turn, _ := request.history.Turn(begun.Seq)
		if turn.Overdue(request.history.Clock) || (turn.Ended == nil && node.ownerPresumedDead(ctx, begun)) {
			if err := node.closeOverdueRun(ctx, request.sessionName(), begun, sessionlog.OutcomeCut); err != nil {
				return nil, asNotRun(err)
			}
			return rereadAndCheckTurn(ctx, node, request)
		}
		switch {
		case turn.Ended != nil && turn.Ended.Outcome == sessionlog.OutcomeNotRun && same && request.idempotencyKey != "":
			return nil, request.recordedNotRun("this turn did not run: " + turn.Ended.Name)
		case turn.Ended != nil && !turn.Complete():
			continue
		case same:
			return node.tail(request.sessionName(), request.conversation, begun.Seq-1, begun.Seq), nil
		}
		return nil, apierror.New(apierror.Conflict, "another turn ("+strconv.FormatUint(begun.Seq, 10)+") already follows turn "+strconv.FormatUint(request.follows, 10), "read the history and follow its last complete turn")
	}
}

// recordedNotRun tells what the record proves: nothing ran, and nothing will, under this
// query key.
func (request *request) recordedNotRun(message string) error {
	request.provenNotRun = true
	return apierror.NewRetryable(apierror.NotRun, message, "send it under a new query key", time.Second)
}

func (request *request) fencedEarlierError() error {
	return request.recordedNotRun("an earlier query under this query key was refused, and the key fenced off")
}

// rereadAndCheckTurn rereads the line and decides anew.
func rereadAndCheckTurn(ctx context.Context, node *Node, request *request) (any, error) {
	if answer, err := readSession(ctx, node, request); answer != nil || err != nil {
		return answer, err
	}
	return checkTurn(ctx, node, request)
}

func acquireSlot(ctx context.Context, node *Node, request *request) (any, error) {
	slot, err := node.scheduler.Acquire(ctx, request.workKind, request.team)
	if err != nil {
		return nil, err
	}
	request.slot = slot
	request.cleanups = append(request.cleanups, func() { request.slot.Release(scheduler.NotSent) })
	return nil, nil
}

func (request *request) quotaName() string {
	return sessionlog.QuotaName(request.team, request.program, request.programConfig.Period)
}

// reserveWords reserves the new words and the longest answer before anything is
// dispatched. If the answer to that is lost, it is settled at once, so that it can't
// come to count later. What a front that died leaves, the stores settle.
func reserveWords(ctx context.Context, node *Node, request *request) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	request.dispatchID = node.newDispatchID()
	request.reservedWords = request.programConfig.TurnLimit
	request.reservation, request.reservedAt = sessionlog.ReservationName(request.sessionName(), request.dispatchID), time.Now()
	outcomes, err := node.stores.Command(ctx, request.quotaName(), sessionlog.Command{
		Kind: sessionlog.Reserve, Reservation: request.reservation, Words: conversation.CountWords(request.words) + request.reservedWords, Quota: request.programConfig.Quota,
		Lifetime: reservationDispatchWindow + time.Duration(request.workKind.Timeout) + deadlineMargin + reservationMargin,
	})
	request.cleanups = append(request.cleanups, func() { node.settle(request, 0) })
	if err != nil {
		return nil, asNotRun(err)
	}
	switch outcomes[0].Status {
	case sessionlog.Done:
		return nil, nil
	case sessionlog.QuotaExceeded:
		request.reservation = ""
		return nil, apierror.New(apierror.QuotaExhausted, "program "+request.program+" has "+strconv.FormatUint(outcomes[0].Spent, 10)+" words spent and "+strconv.FormatUint(outcomes[0].Reserved, 10)+" out, of "+strconv.FormatUint(request.programConfig.Quota, 10),
			"wait for the turns under way, or have an operator raise the allowance")
	}
	request.reservation = ""
	return nil, apierror.NewRetryable(apierror.NotRun, "the reservation came too late", "ask again", time.Second)
}

// settle books what a turn used; it is tried until it lasts or timeout ends, and
// what stays unsettled goes on counting as spent.
func (node *Node) settle(request *request, words uint64) {
	name, reservation := request.quotaName(), request.reservation
	if reservation == "" {
		return
	}
	request.reservation = ""
	node.background.start(func() {
		ctx, cancel := context.WithTimeout(node.context, settleTimeout)
		defer cancel()
		for ctx.Err() == nil {
			if _, err := node.stores.Command(ctx, name, sessionlog.Command{Kind: sessionlog.Settle, Reservation: reservation, Words: words}); err == nil {
				return
			}
			awaitRetry(ctx)
		}
	})
}

// awaitRetry keeps what is tried again in the background from doing so at once.
func awaitRetry(ctx context.Context) {
	select {
	case <-time.After(backgroundRetryInterval):
	case <-ctx.Done():
	}
}

// confirmRunner looks once more, just before the first byte: the view must still
// be fresh, the query allowed by the config now in force, and the runner one that
// it may be sent to.
func confirmRunner(ctx context.Context, node *Node, request *request) (any, error) {
	err := node.confirmDispatch(ctx, request)
	if err != nil && request.begun.Seq > 0 {
		return nil, node.recordNotRun(request, err)
	}
	return nil, err
}

func (node *Node) confirmDispatch(ctx context.Context, request *request) error {
	for {
		if err := node.recheckActiveConfig(ctx, request); err != nil {
			return err
		}
		if request.runnerUsable() {
			return nil
		}
		request.slot.Release(scheduler.NotSent)
		slot, err := node.scheduler.Acquire(ctx, request.workKind, request.team)
		if err != nil {
			return err
		}
		request.slot = slot
	}
}

// recheckActiveConfig judges the query by the config now in force, if that is known.
func (node *Node) recheckActiveConfig(ctx context.Context, request *request) error {
	if _, err := node.feedClient.Fresh(); err != nil {
		return err
	}
	request.active = node.active.Load()
	for _, check := range []filter{authenticate, findProgram, findKind} {
		if _, err := check(ctx, node, request); err != nil {
			return err
		}
	}
	return nil
}

// runnerUsable tells whether the chosen runner may still get the query.
func (request *request) runnerUsable() bool {
	weighed := request.active.config.Tables[request.workKind.Table][request.slot.Group] > 0
	return weighed && scheduler.Usable(request.active.view, request.slot.Runner)
}

// answerWordLimit is how many words the answer may hold: by the config in force, but never
// more than was reserved under the one before.
func (request *request) answerWordLimit() uint64 {
	return min(request.reservedWords, request.programConfig.TurnLimit)
}

// preSendCheck is what the first byte waits for: the dial may have been slow, or this
// process frozen, since the runner was chosen. It works on a copy, as the library
// may ask it after the query was given up.
func (node *Node) preSendCheck(request *request) runnerclient.PreSendCheck {
	chosen := *request
	return func() error {
		now := chosen
		if err := node.recheckActiveConfig(node.context, &now); err != nil {
			return err
		}
		if chosen.reservation != "" && time.Since(chosen.reservedAt) > reservationDispatchWindow {
			return apierror.NewRetryable(apierror.NotRun, "the reservation of words was not used in time", "ask again", time.Second)
		}
		if now.workKind != chosen.workKind || now.programConfig != chosen.programConfig || !now.runnerUsable() {
			return apierror.NewRetryable(apierror.NotRun, "what is in force changed before anything was sent", "ask again", time.Second)
		}
		return nil
	}
}

// outcomeOf tells what a failure says about the runner.
func (node *Node) outcomeOf(err error) scheduler.Outcome {
	if err == nil || errors.Is(err, errTurnLimit) {
		return scheduler.Answered
	}
	failure := apierror.Of(err)
	switch {
	case node.context.Err() != nil:
		return scheduler.NotSent
	case failure.Lost:
		return scheduler.Lost
	case failure.NeverSent:
		return scheduler.NotSent
	}
	return scheduler.Faulted
}

// switchRunner takes another runner after one that provably was sent nothing.
func (node *Node) switchRunner(ctx context.Context, request *request, failed error) error {
	request.slot.Release(node.outcomeOf(failed))
	slot, err := node.scheduler.Acquire(ctx, request.workKind, request.team)
	if err != nil {
		return err
	}
	request.slot = slot
	return node.confirmDispatch(ctx, request)
}
