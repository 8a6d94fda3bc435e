package controlplane

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"cuelang.org/go/cue/format"
	cuejson "cuelang.org/go/encoding/json"
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
	administrationTimeout = 5 * time.Second
	decommissionTimeout   = 2 * time.Minute
	maxConfigBytes        = 8 << 20
)

// adminService is the operators' HTTP interface of a control node.
type adminService struct {
	node *Node
	root string
}

// ServeAdmin answers operators. RootHash is the hash of a token that may administer
// while no config names operators.
//
//	server, err := controlplane.ServeAdmin(node, rootHash)
func ServeAdmin(node *Node, rootHash string) (*httpapi.Server, error) {
	listener, err := node.network.Listen(node.settings.Administration)
	if err != nil {
		return nil, apierror.New(apierror.BadSettings, "cannot listen on "+node.settings.Administration+": "+err.Error(), "use an address of this machine that is free")
	}
	return httpapi.Serve(listener, adminService{node: node, root: rootHash}.handler(), func() int64 { return maxConfigBytes }), nil
}

func (service adminService) handler() http.Handler {
	mux := goahttp.NewMuxer()
	decoder, encoder := goahttp.RequestDecoder, goahttp.ResponseEncoder
	administrationserver.Mount(mux, administrationserver.New(administration.NewEndpoints(service), mux, decoder, encoder, nil, httpapi.FormatError))
	httpapi.MountHealth(mux, service.node.Ready)
	return mux
}

// authenticatedOperator is an operator who was admitted, with the state that a quorum confirmed as in
// force after the query came.
type authenticatedOperator struct {
	name  string
	state *feedState
}

// beginRequest bounds a query's time and finds the operator who asks.
func (service adminService) beginRequest(ctx context.Context, header *string, timeout time.Duration) (context.Context, context.CancelFunc, authenticatedOperator, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	from, err := service.authenticate(ctx, header)
	return ctx, cancel, from, err
}

// authenticate finds who asks, by what a quorum confirms: an operator may have been added or
// removed while this node was cut off.
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
	by, err := service.operatorName(state.view, token)
	return authenticatedOperator{name: by, state: state.feedState}, err
}

func (service adminService) operatorName(view *feed.View, token string) (string, error) {
	decoded, err := service.node.decodeConfig(view)
	if err != nil {
		return "", err
	}
	if name, known := config.PrincipalByToken(decoded.Operators, token); known {
		return name, nil
	}
	if len(decoded.Operators) == 0 && config.HashToken(token) == service.root {
		return "root", nil
	}
	return "", apierror.New(apierror.Unauthorized, "the token belongs to no operator", "send a token of an operator that the config names, or the root token while it names none")
}

// changeResult tells what became of an order.
func changeResult(reply *wire.ChangeReply, err error) (*administration.Changed, error) {
	if err != nil {
		return nil, leaderlessAsNoQuorum(err)
	}
	return &administration.Changed{Number: reply.Number, Acknowledged: reply.Acknowledged}, nil
}

// PutConfig puts a whole config.
func (service adminService) PutConfig(ctx context.Context, payload *administration.PutConfigPayload) (*administration.Changed, error) {
	ctx, cancel, from, err := service.beginRequest(ctx, payload.Authorization, administrationTimeout)
	defer cancel()
	if err != nil {
		return nil, err
	}
	decoded, _, err := config.Compile(payload.Source)
	if err != nil {
		return nil, err
	}
	request := newAdminRequest(from.name, &payload.Expected, "put config", payload.Source)
	return changeResult(service.node.execute(ctx, func(view *feed.View) (decision, error) {
		return request.decide(view, []uint64{view.ConfigNumber}, func() (*feed.Change, error) {
			return service.node.planConfig(view, payload.Source, decoded)
		})
	}))
}

// planConfig puts a config in force that an operator wrote.
func (node *Node) planConfig(view *feed.View, source string, decoded *config.Config) (*feed.Change, error) {
	compiled, err := node.compileWithRouting(view, decoded)
	if err != nil {
		return nil, err
	}
	return &feed.Change{Kind: feed.ChangeConfig, Expects: true, Expected: view.ConfigNumber, Source: source, Compiled: compiled}, nil
}

// Set changes one value of the config and writes it anew.
func (service adminService) Set(ctx context.Context, payload *administration.SetPayload) (*administration.Changed, error) {
	ctx, cancel, from, err := service.beginRequest(ctx, payload.Authorization, administrationTimeout)
	defer cancel()
	if err != nil {
		return nil, err
	}
	value, err := json.Marshal(payload.Value)
	if err != nil {
		return nil, err
	}
	request := newAdminRequest(from.name, payload.Expected, "set", payload.Path, string(value))
	return changeResult(service.node.execute(ctx, func(view *feed.View) (decision, error) {
		return request.decide(view, []uint64{view.ConfigNumber}, func() (*feed.Change, error) {
			return service.node.planValue(view, payload.Path, payload.Value)
		})
	}))
}

// planValue changes one value of the config in force.
func (node *Node) planValue(view *feed.View, path string, value any) (*feed.Change, error) {
	source, err := sourceWithValue(view.Compiled, path, value)
	if err != nil {
		return nil, err
	}
	decoded, _, err := config.Compile(source)
	if err != nil {
		return nil, err
	}
	return node.planConfig(view, source, decoded)
}

// sourceWithValue gives the config's source with one value replaced.
func sourceWithValue(compiled []byte, path string, value any) (string, error) {
	settings := map[string]any{}
	if len(compiled) > 0 {
		if err := json.Unmarshal(compiled, &settings); err != nil {
			return "", err
		}
	}
	steps := strings.Split(path, ".")
	at := settings
	for _, step := range steps[:len(steps)-1] {
		next, found := at[step].(map[string]any)
		if !found {
			return "", apierror.New(apierror.Invalid, fmt.Sprintf("the config has nothing at %s (no %q)", path, step), "read the config and name a path that is in it")
		}
		at = next
	}
	at[steps[len(steps)-1]] = value
	data, err := json.Marshal(settings)
	if err != nil {
		return "", err
	}
	expression, err := cuejson.Extract("config.json", data)
	if err != nil {
		return "", err
	}
	source, err := format.Node(expression)
	return string(source), err
}

// ReadConfig reads the newest config back.
func (service adminService) ReadConfig(ctx context.Context, payload *administration.ReadConfigPayload) (*administration.ReadConfigResult, error) {
	_, cancel, from, err := service.beginRequest(ctx, payload.Authorization, administrationTimeout)
	defer cancel()
	if err != nil {
		return nil, err
	}
	view := from.state.view
	return &administration.ReadConfigResult{Number: view.ConfigNumber, Source: view.Source}, nil
}

// SetDomain empties or refills a domain.
func (service adminService) SetDomain(ctx context.Context, payload *administration.SetDomainPayload) (*administration.Changed, error) {
	ctx, cancel, from, err := service.beginRequest(ctx, payload.Authorization, administrationTimeout)
	defer cancel()
	if err != nil {
		return nil, err
	}
	request := newAdminRequest(from.name, nil, "domain", payload.Name, payload.State)
	return changeResult(service.node.execute(ctx, func(view *feed.View) (decision, error) {
		return request.decide(view, nil, func() (*feed.Change, error) {
			return planDomain(view, payload.Name, payload.State, payload.Force)
		})
	}))
}

// planDomain makes the change that empties or refills a domain, none if that is its state
// already. The last domain that serves is emptied only by force.
func planDomain(view *feed.View, name, state string, force bool) (*feed.Change, error) {
	if view.DomainDrained(name) == (state == feed.StateDrained) {
		return nil, nil
	}
	if state == feed.StateDrained && !force && isLastServing(view, name) {
		return nil, apierror.New(apierror.Conflict, name+" is the last domain that serves", "refill another domain first, or say force")
	}
	change := newDomainChange(view, name, state)
	return &change, nil
}

func isLastServing(view *feed.View, name string) bool {
	for _, runner := range view.Runners {
		if runner.Domain != name && !view.DomainDrained(runner.Domain) {
			return false
		}
	}
	return true
}

// EnrolStore puts a live store into the store list.
func (service adminService) EnrolStore(ctx context.Context, payload *administration.EnrolStorePayload) (*administration.Changed, error) {
	ctx, cancel, from, err := service.beginRequest(ctx, payload.Authorization, administrationTimeout)
	defer cancel()
	if err != nil {
		return nil, err
	}
	return changeResult(service.node.EnrolStore(ctx, from.name, payload.Name))
}

// DecommissionStore empties a store and answers once its machine may be switched off.
func (service adminService) RetireStore(ctx context.Context, payload *administration.RetireStorePayload) (*administration.Changed, error) {
	ctx, cancel, from, err := service.beginRequest(ctx, payload.Authorization, decommissionTimeout)
	defer cancel()
	if err != nil {
		return nil, err
	}
	return changeResult(service.node.DecommissionStore(ctx, from.name, payload.Name))
}

// Fleet tells who is there and what is in force.
func (service adminService) Fleet(ctx context.Context, payload *administration.FleetPayload) (any, error) {
	ctx, cancel, from, err := service.beginRequest(ctx, payload.Authorization, administrationTimeout)
	defer cancel()
	if err != nil {
		return nil, err
	}
	view := from.state.view
	live := service.node.LiveMembers()
	sort.Slice(live, func(left, right int) bool {
		return live[left].Role+live[left].Domain < live[right].Role+live[right].Domain
	})
	unhealed := service.node.countUnhealedGroups(ctx, view)
	return map[string]any{
		"unhealed_groups": unhealed, "fleet": view.Fleet, "number": view.Number, "config_number": view.ConfigNumber, "groups": view.Groups,
		"leader": service.node.host.Statuses()[controlGroup].Leader, "members": live, "stores": view.Stores, "controls": view.Controls,
		"domains": view.Domains, "runners": view.Runners, "assignments": view.RoleLeases,
	}, nil
}
