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
