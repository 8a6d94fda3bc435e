package front

import (
	"context"
	"strconv"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
)

// markRecorded marks the request as one whose work is recorded in a session log.
func markRecorded(_ context.Context, _ *Node, request *request) (any, error) {
	request.recorded = true
	return nil, nil
}

// rejectDraining rejects requests while the node is draining.
func rejectDraining(_ context.Context, node *Node, _ *request) (any, error) {
	if node.draining.Load() {
		return nil, apierror.NewRetryable(apierror.NotRun, "this node is shutting down", "retry at another node", time.Second)
	}
	return nil, nil
}

// requireFreshView sets the request's view and config to the current ones, if the view is fresh.
func requireFreshView(_ context.Context, node *Node, request *request) (any, error) {
	if _, err := node.feedClient.Fresh(); err != nil {
		return nil, err
	}
	request.current = node.current.Load()
	return nil, nil
}

// authenticate determines the team that the bearer token belongs to.
func authenticate(_ context.Context, _ *Node, request *request) (any, error) {
	team, known := config.PrincipalByToken(request.current.config.Teams, request.token)
	if !known {
		return nil, apierror.New(apierror.Unauthorized, "the token belongs to no team", "send the token of a team in the config")
	}
	request.team = team
	return nil, nil
}

// findProgram looks up the config of the request's program, which must belong to the team.
func findProgram(_ context.Context, _ *Node, request *request) (any, error) {
	program, found := request.current.config.Programs[request.program]
	if !found || program.Team != request.team {
		return nil, apierror.New(apierror.NotFound, "the team has no program named "+strconv.Quote(request.program), "use the name of one of the team's programs, or have an operator add it to the config")
	}
	request.programConfig = program
	return nil, nil
}

// findKind looks up the config of the request's kind of work.
func findKind(_ context.Context, _ *Node, request *request) (any, error) {
	workKind, found := request.current.config.WorkKinds[request.kind]
	if !found {
		return nil, apierror.New(apierror.NotFound, "no kind of work is named "+strconv.Quote(request.kind), "use a kind of work in the config")
	}
	request.workKind = workKind
	return nil, nil
}

// requireTurnKind rejects kinds of work that are not turns.
func requireTurnKind(_ context.Context, _ *Node, request *request) (any, error) {
	if request.workKind.Serves != config.ServesTurn {
		return nil, apierror.New(apierror.Invalid, "work of kind "+request.kind+" is not a turn of a conversation", "send it as a lookup, as work that runs once, or as a tool call")
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

// requireRepeatableKind rejects kinds of work that are turns or may not run more than once.
func requireRepeatableKind(ctx context.Context, node *Node, request *request) (any, error) {
	if !request.workKind.Repeatable {
		return nil, apierror.New(apierror.Invalid, "work of kind "+request.kind+" may not be repeated", "send it as work that runs once, with a query_key")
	}
	return requirePlainKind(ctx, node, request)
}
