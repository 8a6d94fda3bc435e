package controlplane

import (
	"context"
	"net/http"
	"time"

	goahttp "goa.design/goa/v3/http"

	"yardrock.example/system/api/gen/administration"
	administrationserver "yardrock.example/system/api/gen/http/administration/server"
	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/feed"
	"yardrock.example/system/httpapi"
	"yardrock.example/system/wire"
)

const (
	// administrationTimeout bounds a request; decommissionTimeout bounds one that may wait for
	// the decommission of a store.
	administrationTimeout = 5 * time.Second
	decommissionTimeout   = 2 * time.Minute
	// maxBodyBytes bounds a request body; the largest bodies carry a full config.
	maxBodyBytes = 8 << 20
)

// adminService implements the generated goa service interface of the admin API.
type adminService struct {
	node *Node
	// rootHash is the config.HashToken of the root token, which is accepted only while the
	// config names no operators.
	rootHash string
}

// ServeAdmin serves the admin API of a control node until the server is closed. RootHash is
// the config.HashToken of the root token, which is accepted only while the config names no
// operators. It fails with BadSettings if it cannot listen on the configured address.
//
//	server, err := controlplane.ServeAdmin(node, rootHash)
func ServeAdmin(node *Node, rootHash string) (*httpapi.Server, error) {
	listener, err := node.network.Listen(node.settings.AdminAddress)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.BadSettings, "cannot listen on "+node.settings.AdminAddress+": "+err.Error(), "use an address of this machine that is free")
	}
	return httpapi.Serve(listener, adminService{node: node, rootHash: rootHash}.handler(), func() int64 { return maxBodyBytes }), nil
}

// handler returns the HTTP handler of the admin API and the health checks.
func (service adminService) handler() http.Handler {
	mux := goahttp.NewMuxer()
	decoder, encoder := goahttp.RequestDecoder, goahttp.ResponseEncoder
	administrationserver.Mount(mux, administrationserver.New(administration.NewEndpoints(service), mux, decoder, encoder, nil, httpapi.FormatError))
	httpapi.MountHealth(mux, service.node.Ready)
	return mux
}

// authenticatedOperator is the operator who sent a request, with the state that a quorum
// confirmed as current after the request arrived.
type authenticatedOperator struct {
	name  string
	state *feedState
}

// beginRequest applies a timeout to a request and authenticates the operator who sent it. The
// caller must call the returned cancel function even if an error is returned.
func (service adminService) beginRequest(ctx context.Context, header *string, timeout time.Duration) (context.Context, context.CancelFunc, authenticatedOperator, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	operator, err := service.authenticate(ctx, header)
	return ctx, cancel, operator, err
}

// authenticate looks up the operator in a quorum-confirmed state: operators may have been added
// or removed while this node was partitioned from the control group.
func (service adminService) authenticate(ctx context.Context, header *string) (authenticatedOperator, error) {
	token, err := httpapi.BearerToken(header)
	if err != nil {
		return authenticatedOperator{}, err
	}
	confirmCtx, cancel := context.WithTimeout(ctx, administrationTimeout)
	defer cancel()
	state, err := service.node.confirmedState(confirmCtx)
	if err != nil {
		return authenticatedOperator{}, err
	}
	name, err := service.operatorName(state.view, token)
	return authenticatedOperator{name: name, state: state.feedState}, err
}

// operatorName returns the name of the operator that a token belongs to.
func (service adminService) operatorName(view *feed.View, token string) (string, error) {
	decoded, err := service.node.decodeConfig(view)
	if err != nil {
		return "", err
	}
	if name, known := config.PrincipalByToken(decoded.Operators, token); known {
		return name, nil
	}
	if len(decoded.Operators) == 0 && config.HashToken(token) == service.rootHash {
		return "root", nil
	}
	return "", apierror.New(apierror.Unauthorized, "the token does not belong to any operator", "send the token of an operator in the config, or the root token if the config has no operators")
}

// changeResult converts the outcome of an admin request to its API result.
func changeResult(reply *wire.ChangeReply, err error) (*administration.Changed, error) {
	if err != nil {
		return nil, leaderlessAsNoQuorum(err)
	}
	return &administration.Changed{Number: reply.Number, Acknowledged: reply.Acknowledged}, nil
}
