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
	// administrationTimeout bounds a request, and decommissionTimeout one that may wait until
	// a store is decommissioned.
	administrationTimeout = 5 * time.Second
	decommissionTimeout   = 2 * time.Minute
	// maxBodyBytes bounds the body of a request; the largest has a complete config.
	maxBodyBytes = 8 << 20
)

// adminService is the admin API of a control node, as the generated goa server calls it.
type adminService struct {
	node *Node
	// rootHash is the config.HashToken of the token that is accepted while no config names
	// operators.
	rootHash string
}

// ServeAdmin serves the admin API of a control node until the server is closed. RootHash is
// the config.HashToken of a token that may administer while no config names operators. It fails with
// BadSettings if the address cannot be listened on.
//
//	server, err := controlplane.ServeAdmin(node, rootHash)
func ServeAdmin(node *Node, rootHash string) (*httpapi.Server, error) {
	listener, err := node.network.Listen(node.settings.Administration)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.BadSettings, "cannot listen on "+node.settings.Administration+": "+err.Error(), "use an address of this machine that is free")
	}
	return httpapi.Serve(listener, adminService{node: node, rootHash: rootHash}.handler(), func() int64 { return maxBodyBytes }), nil
}

// handler routes the admin API's requests and the health checks.
func (service adminService) handler() http.Handler {
	mux := goahttp.NewMuxer()
	decoder, encoder := goahttp.RequestDecoder, goahttp.ResponseEncoder
	administrationserver.Mount(mux, administrationserver.New(administration.NewEndpoints(service), mux, decoder, encoder, nil, httpapi.FormatError))
	httpapi.MountHealth(mux, service.node.Ready)
	return mux
}

// authenticatedOperator is the operator who sent a request, with the state that a quorum
// confirmed as in force after the request came.
type authenticatedOperator struct {
	name  string
	state *feedState
}

// beginRequest bounds the time of a request and authenticates the operator who sent it. The
// caller must call cancel, also on an error.
func (service adminService) beginRequest(ctx context.Context, header *string, timeout time.Duration) (context.Context, context.CancelFunc, authenticatedOperator, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	from, err := service.authenticate(ctx, header)
	return ctx, cancel, from, err
}

// authenticate finds the operator by a state that a quorum confirms: an operator may have been
// added or removed while this node was cut off.
func (service adminService) authenticate(ctx context.Context, header *string) (authenticatedOperator, error) {
	token, err := httpapi.BearerToken(header)
	if err != nil {
		return authenticatedOperator{}, err
	}
	limited, cancel := context.WithTimeout(ctx, administrationTimeout)
	defer cancel()
	state, err := service.node.confirmedState(limited)
	if err != nil {
		return authenticatedOperator{}, err
	}
	name, err := service.operatorName(state.view, token)
	return authenticatedOperator{name: name, state: state.feedState}, err
}

// operatorName returns the name of the operator to whom a token belongs.
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
	return "", apierror.New(apierror.Unauthorized, "the token belongs to no operator", "send a token of an operator that the config names, or the root token while it names none")
}

// changeResult converts the outcome of an admin request.
func changeResult(reply *wire.ChangeReply, err error) (*administration.Changed, error) {
	if err != nil {
		return nil, leaderlessAsNoQuorum(err)
	}
	return &administration.Changed{Number: reply.Number, Acknowledged: reply.Acknowledged}, nil
}
