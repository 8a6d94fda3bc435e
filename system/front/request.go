package front

import (
	"context"
	"slices"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/conversation"
	"yardrock.example/system/scheduler"
	"yardrock.example/system/sessionlog"
)

// request is one client request to the work API, with the state that its filters set.
type request struct {
	token          string // the client's bearer token
	program        string
	kind           string // name of the kind of work
	input          string
	idempotencyKey string
	// conversation names the session within its team; follows is the seq of the turn to
	// follow, or 0 to start a conversation; parent is the conversation that starts a helper.
	conversation string
	follows      uint64
	parent       string

	// recorded is set if the work is recorded in a session log. The request then fails with
	// NotRun only once the log proves it, and provenNotRun is set.
	recorded     bool
	provenNotRun bool

	current       *currentConfig
	team          string
	programConfig config.Program
	workKind      config.WorkKind
	history       *conversation.View
	sessionExists bool
	newlyNamed    bool // named at random by this request, so there is nothing to read
	// producer identifies the work in its session, for deduplication.
	producer    string
	slot        *scheduler.Slot
	dispatchID  string
	reservation string // "" if there is nothing to settle
	// reservedAt is when the reservation was requested; reservationDispatchWindow starts then.
	reservedAt time.Time
	// reservedWords is the number of words reserved for the answer.
	reservedWords uint64
	startEvent    sessionlog.Event
	// cleanups release what filters acquired. A filter that takes it over clears them.
	cleanups []func()
}

// filter is one step in the handling of a request; the chain ends with the first filter that
// returns an answer or an error.
type filter func(ctx context.Context, node *Node, request *request) (any, error)

// runChain passes a request through a chain, then runs the cleanups of the filters in reverse
// order, unless the last filter took over what they release.
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
	return nil, apierror.New(apierror.Unavailable, "no filter answered the request", "report this as a bug")
}

// chain appends filters to a chain.
func chain(first []filter, more ...filter) []filter { return slices.Concat(first, more) }

// The filter chains of the methods of the work API, and their common parts. For work that may
// already be recorded, draining is checked late, so that a repeated request is still answered.
var (
	authentication         = []filter{requireFreshView, authenticate}
	admission              = chain([]filter{rejectDraining}, authentication...)
	programAdmission       = chain(admission, findProgram, findKind)
	recordedAuthentication = chain([]filter{markRecorded}, authentication...)
	recordedAdmission      = chain(recordedAuthentication, findProgram, findKind)
	turnFilters            = []filter{checkTurn, rejectDraining, acquireSlot, reserveWords, recordTurnStart, confirmRunner, startRun}
	turnChain              = chain(chain(recordedAdmission, requireTurnKind, nameSession, readSession), turnFilters...)
	followChain            = chain(chain(recordedAuthentication, nameSession, readSession, requireSession, findProgram, findKind, requireTurnKind), turnFilters...)
	lookupChain            = chain(programAdmission, requireRepeatableKind, acquireSlot, confirmRunner, executeLookup)
	onceChain              = chain(recordedAdmission, requirePlainKind, nameOnceSession, readSession, checkOnce, rejectDraining, acquireSlot, recordOnceStart, confirmRunner, runOnce)
	toolChain              = chain(recordedAuthentication, nameSession, readSession, requireSession, findProgram, findKind, requirePlainKind,
		checkTool, rejectDraining, acquireSlot, recordToolStart, confirmRunner, runOnce)
	helperChain = chain(recordedAdmission, requireTurnKind, readParent, startHelper)
)
