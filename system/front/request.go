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

// request is one request of a caller on its way through the filters.
type request struct {
	token          string // the caller's bearer token
	program        string
	kind           string
	input          string
	idempotencyKey string
	// conversation names the session within its team; follows is the seq of the turn to
	// follow, 0 starts a conversation; parent is the conversation that starts a helper.
	conversation string
	follows      uint64
	parent       string

	// recorded requests leave a record in a session log. They are answered with NotRun only
	// once the record proves it; then provenNotRun is set.
	recorded     bool
	provenNotRun bool

	active        *activeConfig
	team          string
	programConfig config.Program
	workKind      config.WorkKind
	history       *conversation.View
	sessionExists bool
	newlyNamed    bool // named at random just now, so there is nothing to read
	// producer identifies the work in its session; the sessions dedupe by it.
	producer    string
	slot        *scheduler.Slot
	dispatchID  string
	reservation string // "" if there is nothing to settle
	// reservedAt is when the reservation was requested; its lifetime counts from then.
	reservedAt time.Time
	// reservedWords is the longest answer that the reservation allows.
	reservedWords uint64
	startEvent    sessionlog.Event
	// cleanups give back what filters acquired, last first. Who takes it over clears them.
	cleanups []func()
}

// filter looks at a request and may answer it; the chain ends with the first filter that
// returns an answer or an error.
type filter func(ctx context.Context, node *Node, request *request) (any, error)

// runChain passes a request through a chain. What the filters acquired is given back by
// their cleanups, in reverse order, unless the last filter took it over.
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

// chain appends filters to a chain.
func chain(first []filter, more ...filter) []filter { return slices.Concat(first, more) }

// The chains of filters, one for each method of the work API and their common beginnings.
// Draining is checked late for work that may be recorded already: a repeat of it is still
// answered.
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
