package front

import (
	"context"
	"strconv"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
)

// markRecorded marks a request whose work is recorded in a session log.
func markRecorded(_ context.Context, _ *Node, request *request) (any, error) {
	request.recorded = true
	return nil, nil
}

// rejectDraining rejects a request while the node drains.
func rejectDraining(_ context.Context, node *Node, _ *request) (any, error) {
	if node.draining.Load() {
		return nil, apierror.NewRetryable(apierror.NotRun, "this node is going away", "ask at another node", time.Second)
	}
	return nil, nil
}

// requireFreshView takes the configuration in force, if the view is fresh.
func requireFreshView(_ context.Context, node *Node, request *request) (any, error) {
	if _, err := node.feedClient.Fresh(); err != nil {
		return nil, err
	}
	request.active = node.active.Load()
	return nil, nil
}

// authenticate finds the team that the bearer token belongs to.
func authenticate(_ context.Context, _ *Node, request *request) (any, error) {
	team, known := config.PrincipalByToken(request.active.config.Teams, request.token)
	if !known {
		return nil, apierror.New(apierror.Unauthorized, "the token belongs to no team", "send a token of a team that the config names")
	}
	request.team = team
	return nil, nil
}

// findProgram finds the configuration of the request's program, which must be the team's.
func findProgram(_ context.Context, _ *Node, request *request) (any, error) {
	program, found := request.active.config.Programs[request.program]
	if !found || program.Team != request.team {
		return nil, apierror.New(apierror.NotFound, "the team has no program named "+strconv.Quote(request.program), "name a program of the team, or have an operator add it to the config")
	}
	request.programConfig = program
	return nil, nil
}

// findKind finds the configuration of the request's kind of work.
func findKind(_ context.Context, _ *Node, request *request) (any, error) {
	workKind, found := request.active.config.Kinds[request.kind]
	if !found {
		return nil, apierror.New(apierror.NotFound, "no kind of work is named "+strconv.Quote(request.kind), "name a kind that the config has")
	}
	request.workKind = workKind
	return nil, nil
}

// requireTurnKind rejects kinds of work that are no turns.
func requireTurnKind(_ context.Context, _ *Node, request *request) (any, error) {
	if request.workKind.Serves != config.ServesTurn {
		return nil, apierror.New(apierror.Invalid, "work of kind "+request.kind+" is no turn of a conversation", "send it as a lookup, a request or a tool call")
	}
	return nil, nil
}

// requirePlainKind rejects kinds of work that are turns.
func requirePlainKind(_ context.Context, _ *Node, request *request) (any, error) {
	if request.workKind.Serves != config.ServesPlain {
		return nil, apierror.New(apierror.Invalid, "work of kind "+request.kind+" is a turn of a conversation", "start or follow a conversation with it")
	}
	return nil, nil
}

// requireRepeatableKind rejects kinds of work that may not run more than once.
func requireRepeatableKind(ctx context.Context, node *Node, request *request) (any, error) {
	if !request.workKind.Repeatable {
		return nil, apierror.New(apierror.Invalid, "work of kind "+request.kind+" may not be repeated", "send it as a request, with a query key")
	}
	return requirePlainKind(ctx, node, request)
}
